/// A loopback proxy of one server that harms the connections to it.
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

/// Forwards connections to one server.
///
/// Bytes of one direction keep their order, also when the delay changes. What a silent link holds back is delivered
/// after the fault, as TCP would, unless one of the sides has given the connection up by then. A throttled link is
/// shared by its connections, piece by piece, in the order in which these have something to send.
class fault_proxy
{
public:
	///
	/// @param[in] _loop Event loop; outlives the proxy.
	/// @param[in] _target Address of the server.
	///
	fault_proxy(transport::EventLoop& _loop, const base::Address& _target);
	~fault_proxy();

	/// Listens on a port of loopback.
	absl::Status listen(int _port);

	/// @returns The port it listens on.
	int port() const;

	/// What a fault needs beside its kind.
	struct fault_parameters
	{
		base::Duration delay{0};     //!< Of each direction, with `link_fault::delay`.
		int64_t bytesPerSecond = 0;  //!< Of each direction, with `link_fault::throttle`.
	};

	/// Puts another fault in force.
	void setFault(link_fault _fault, const fault_parameters& _parameters);

	/// Sets what the link carries in each direction while no fault throttles it.
	/// @param[in] _bytesPerSecond 0 for any number.
	void setCapacity(int64_t _bytesPerSecond);

	/// @returns Open connections.
	size_t connections() const;

private:
	friend class relayed_connection;

	void onAccepted(std::shared_ptr<transport::TcpStream> _client);
	void scheduleRemoval(uint64_t _id);

	/// @returns What the link carries in each direction, in bytes a second; 0 for any number.
	int64_t bytesPerSecond() const;

	/// Takes the link's next time to send some bytes.
	/// @returns When they have passed.
	base::TimePoint reserve(bool _toServer, size_t _bytes);

	transport::EventLoop& m_loop;
	base::Address m_target;
	transport::TcpListener m_listener;
	link_fault m_fault = link_fault::none;
	fault_parameters m_parameters;
	int64_t m_capacity = 0;
	base::TimePoint m_freeToServer{};  // when the link has passed all that was reserved
	base::TimePoint m_freeToClient{};
	uint64_t m_nextId = 1;
	std::map<uint64_t, std::unique_ptr<relayed_connection>> m_connections;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_FAULT_PROXY_H_HEADER_GUARD
