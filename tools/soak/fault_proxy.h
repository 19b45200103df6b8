/// A loopback proxy that injects faults into the connections to a server.
#ifndef DRIFTLUG_SOAK_FAULT_PROXY_H_HEADER_GUARD
#define DRIFTLUG_SOAK_FAULT_PROXY_H_HEADER_GUARD

#include <absl/status/status.h>

#include <map>
#include <memory>

#include "base/network.h"
#include "base/time.h"
#include "soak/link_fault.h"
#include "transport/tcp_stream.h"

namespace driftlug::soak
{
class relayed_connection;

/// Forwards connections to a server and applies the current fault to them.
///
/// Bytes of one direction keep their order, even when the delay changes. Bytes held back by a silent link are delivered
/// after the fault, as with TCP retransmission, unless one of the sides has closed the connection by then. The
/// connections of a throttled link share its bandwidth piece by piece, in the order in which they have data to send.
class fault_proxy
{
public:
	///
	/// @param[in] _loop Event loop; outlives the proxy.
	/// @param[in] _target Address of the server.
	///
	fault_proxy(transport::EventLoop& _loop, const base::Address& _target);
	~fault_proxy();

	/// Listens on a loopback port; 0 for any free port.
	absl::Status listen(int _port);

	/// @returns The port it listens on.
	int port() const;

	/// Parameters of a fault.
	struct fault_parameters
	{
		base::Duration delay{0};     //!< Delay of each direction with `link_fault::delay`.
		int64_t bytesPerSecond = 0;  //!< Bandwidth of each direction with `link_fault::throttle`.
	};

	/// Replaces the current fault.
	void setFault(link_fault _fault, const fault_parameters& _parameters);

	/// Sets the bandwidth of each direction while no fault throttles the link.
	/// @param[in] _bytesPerSecond Bandwidth in bytes per second; 0 for unlimited.
	void setCapacity(int64_t _bytesPerSecond);

	/// @returns The number of open connections.
	size_t connections() const;

private:
	friend class relayed_connection;

	void onAccepted(std::shared_ptr<transport::TcpStream> _client);
	void scheduleRemoval(uint64_t _id);

	/// @returns The current bandwidth of each direction, in bytes per second; 0 for unlimited.
	int64_t bytesPerSecond() const;

	/// Reserves the link's next time slot for some bytes.
	/// @returns The time at which they have been transmitted.
	base::TimePoint reserve(bool _toServer, size_t _bytes);

	transport::EventLoop& m_loop;
	base::Address m_target;
	transport::TcpListener m_listener;
	link_fault m_fault = link_fault::none;
	fault_parameters m_parameters;
	int64_t m_capacity = 0;
	base::TimePoint m_freeToServer{};  // end of the last reservation
	base::TimePoint m_freeToClient{};
	uint64_t m_nextId = 1;
	std::map<uint64_t, std::unique_ptr<relayed_connection>> m_connections;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_FAULT_PROXY_H_HEADER_GUARD
