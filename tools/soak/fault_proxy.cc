#include "soak/fault_proxy.h"

#include <algorithm>
#include <vector>

#include "soak/relayed_connection.h"

namespace driftlug::soak
{
namespace
{
constexpr char kLoopback[] = "127.0.0.1";

}  // namespace

fault_proxy::fault_proxy(transport::EventLoop& _loop, const base::Address& _target)
	: m_loop(_loop)
	, m_target(_target)
	, m_listener(_loop,
				 [this](std::shared_ptr<transport::TcpStream> _client)
				 {
					 onAccepted(std::move(_client));
				 })
{
}

fault_proxy::~fault_proxy()
{
	m_alive.reset();
}

absl::Status fault_proxy::listen(int _port)
{
	return m_listener.listen(kLoopback, _port, {});
}

int fault_proxy::port() const
{
	return m_listener.port();
}

size_t fault_proxy::connections() const
{
	return m_connections.size();
}

void fault_proxy::onAccepted(std::shared_ptr<transport::TcpStream> _client)
{
	if (link_fault::reset == m_fault)
	{
		return _client->close();
	}
	const auto id = m_nextId++;
	m_connections[id] = std::make_unique<relayed_connection>(*this, id, std::move(_client));
}

void fault_proxy::setFault(link_fault _fault, const fault_parameters& _parameters)
{
	m_fault = _fault;
	m_parameters = _parameters;
	std::vector<relayed_connection*> all;
	for (const auto& [id, connection] : m_connections)
	{
		all.push_back(connection.get());
	}
	// scheduleRemoval() removes connections in a later event, so all of these pointers stay valid here.
	for (auto* connection : all)
	{
		if (link_fault::mute == _fault)
		{
			connection->mute();
		}
		connection->pump();
	}
}

void fault_proxy::setCapacity(int64_t _bytesPerSecond)
{
	m_capacity = _bytesPerSecond;
}

int64_t fault_proxy::bytesPerSecond() const
{
	return link_fault::throttle == m_fault ? m_parameters.bytesPerSecond : m_capacity;
}

base::TimePoint fault_proxy::reserve(bool _toServer, size_t _bytes)
{
	constexpr int64_t kUsPerSecond = 1'000'000;
	auto& free = _toServer ? m_freeToServer : m_freeToClient;
	free = std::max(free, m_loop.now())
		   + base::Duration(static_cast<int64_t>(_bytes) * kUsPerSecond / std::max<int64_t>(1, bytesPerSecond()));
	return free;
}

void fault_proxy::scheduleRemoval(uint64_t _id)
{
	m_loop.schedule(base::Duration(0),
					[this, alive = std::weak_ptr<bool>(m_alive), _id]
					{
						if (!alive.expired())
						{
							m_connections.erase(_id);
						}
					});
}

}  // namespace driftlug::soak
