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
/// after the fault, as TCP would, unless one of the sides has given the connection up by then.
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

	/// Puts another fault in force.
	/// @param[in] _delay Delay of each direction, with `link_fault::delay`.
	void setFault(link_fault _fault, base::Duration _delay);

	/// @returns Open connections.
	size_t connections() const;

private:
	friend class relayed_connection;

	void onAccepted(std::shared_ptr<transport::TcpStream> _client);
	void forget(uint64_t _id);

	transport::EventLoop& m_loop;
	base::Address m_target;
	transport::TcpListener m_listener;
	link_fault m_fault = link_fault::none;
	base::Duration m_delay{0};
	uint64_t m_nextId = 1;
	std::map<uint64_t, std::unique_ptr<relayed_connection>> m_connections;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_FAULT_PROXY_H_HEADER_GUARD
