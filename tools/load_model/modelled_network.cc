#include "load_model/modelled_network.h"

namespace driftlug::load_model
{
namespace
{
/// TCP and IP headers of each frame.
constexpr size_t kPacketBytes = 40;

}  // namespace

void modelled_network::add(machine_network* _machine)
{
	m_machines[_machine->host()] = _machine;
}

machine_network* modelled_network::find(const base::Address& _address)
{
	const auto found = m_machines.find(_address.host);
	return m_machines.end() == found ? nullptr : found->second;
}

machine_network::machine_network(modelled_network& _network, std::string _host, std::string _zone)
	: m_network(_network)
	, m_host(std::move(_host))
	, m_zone(std::move(_zone))
	, m_out(_network.linkMbps())
	, m_in(_network.linkMbps())
{
	m_network.add(this);
}

base::ConnectionId machine_network::connect(const base::Address& _address)
{
	const auto connection = m_network.nextConnection();
	auto* peer = m_network.find(_address);
	if (nullptr == peer)
	{
		m_network.queue().after(base::milliseconds(1),
								[this, connection]
								{
									m_handler->onClose(connection);
								});
		return connection;
	}
	m_network.queue().after(2 * m_network.delay(m_zone, peer->m_zone),
							[this, connection, peer]
							{
								// Both ends of a loopback connection share one id; the message type identifies the
								// receiving end.
								m_peers[connection] = peer;
								m_handler->onOpen(connection, peer->m_hello);
								if (peer != this)
								{
									peer->m_peers[connection] = this;
									peer->m_handler->onOpen(connection, m_hello);
								}
							});
	return connection;
}

void machine_network::send(base::ConnectionId _connection, const wire::FramePtr& _frame)
{
	const auto found = m_peers.find(_connection);
	if (m_peers.end() == found)
	{
		return;
	}
	auto* peer = found->second;
	if (peer == this)
	{
		m_network.queue().after(base::microseconds(50),
								[this, _connection, _frame]
								{
									receive(_connection, _frame);
								});
		return;
	}
	const size_t bytes = _frame->size() + kPacketBytes;
	m_unacknowledged[_connection] += bytes;
	const auto leftAt = m_out.transmit(bytes, m_network.queue().now());
	m_network.queue().at(leftAt + m_network.delay(m_zone, peer->m_zone),
						 [this, peer, bytes, _connection, _frame]
						 {
							 const auto hereAt = peer->m_in.transmit(bytes, m_network.queue().now());
							 m_network.queue().at(hereAt + m_network.delay(m_zone, peer->m_zone),
												  [this, bytes, _connection]
												  {
													  m_unacknowledged[_connection] -= bytes;
												  });
							 m_network.queue().at(hereAt,
												  [peer, _connection, _frame]
												  {
													  peer->receive(_connection, _frame);
												  });
						 });
}

void machine_network::receive(base::ConnectionId _connection, const wire::FramePtr& _frame)
{
	if (0 == m_peers.count(_connection))
	{
		return;
	}
	auto message = wire::decodeFrame(std::string_view(*_frame).substr(wire::kLengthBytes));
	if (message.ok())
	{
		m_handler->onMessage(_connection, std::move(*message));
	}
}

void machine_network::close(base::ConnectionId _connection)
{
	const auto found = m_peers.find(_connection);
	if (m_peers.end() == found)
	{
		return;
	}
	auto* peer = found->second;
	m_peers.erase(found);
	if (peer != this)
	{
		m_network.queue().after(m_network.delay(m_zone, peer->m_zone),
								[peer, _connection]
								{
									peer->closed(_connection);
								});
	}
}

void machine_network::closed(base::ConnectionId _connection)
{
	if (0 < m_peers.erase(_connection))
	{
		m_handler->onClose(_connection);
	}
}

}  // namespace driftlug::load_model
