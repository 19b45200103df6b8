#include "controller_stub.h"

namespace driftlug::test
{
controller_stub::controller_stub(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network,
								 std::vector<wire::Row> _rows)
	: m_process(_queue, "controller", {"a", "region"}, {"controller", 1})
	, m_network(_network, m_process)
{
	m_process.start();
	m_network.setHandler(this);
	wire::Hello hello;
	hello.role = wire::Role::CONTROLLER;
	hello.id = "controller";
	m_network.setHello(hello);
	_network.listen(&m_network);
	fillTable(std::move(_rows));
	sendHeartbeats();
}

void controller_stub::onOpen(base::ConnectionId _connection, const wire::Hello&)
{
	m_relays.push_back(_connection);
	sendHeartbeat(_connection);
}

void controller_stub::onMessage(base::ConnectionId _connection, wire::Message _message)
{
	if (const auto* subscribe = std::get_if<wire::RelaySubscribe>(&_message))
	{
		if (subscribe->revision != m_update.toRevision)
		{
			m_network.send(_connection, wire::encodeFrame(m_update));
		}
	}
	else if (const auto* confirm = std::get_if<wire::ConfirmRequest>(&_message))
	{
		wire::ConfirmReply reply;
		reply.token = confirm->token;
		reply.revision = m_update.toRevision;
		m_network.send(_connection, wire::encodeFrame(reply));
	}
}

void controller_stub::fillTable(std::vector<wire::Row> _rows)
{
	table::Table rows;
	for (auto& row : _rows)
	{
		row.revision = 1;
		m_update.rows.push_back(row);
		rows.put(table::storeRow(row));
	}
	m_update.toRevision = 1;
	m_update.full = true;
	m_update.digest = rows.digest();
}

void controller_stub::sendHeartbeats()
{
	++m_round;
	for (const auto relay : m_relays)
	{
		sendHeartbeat(relay);
	}
	m_process.schedule(base::milliseconds(200),
					   [this]
					   {
						   sendHeartbeats();
					   });
}

void controller_stub::sendHeartbeat(base::ConnectionId _relay)
{
	wire::ControllerHeartbeat heartbeat;
	heartbeat.revision = m_update.toRevision;
	heartbeat.freshness.term = 1;
	heartbeat.freshness.round = m_round;
	m_network.send(_relay, wire::encodeFrame(heartbeat));
}

}  // namespace driftlug::test
