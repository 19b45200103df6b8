/// Stands in for the controllers of a simulated fleet.
#ifndef DRIFTLUG_TEST_FLEET_CONTROLLER_STUB_H_HEADER_GUARD
#define DRIFTLUG_TEST_FLEET_CONTROLLER_STUB_H_HEADER_GUARD

#include <vector>

#include "simulation/simulated_network.h"
#include "table/table.h"

namespace driftlug::test
{
/// Acts as the leader for relays, with a constant table and heartbeats that keep it fresh.
class controller_stub : public base::ConnectionHandler
{
public:
	/// @param[in] _rows Rows of the table; their revisions are set to 1.
	controller_stub(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network,
					std::vector<wire::Row> _rows);

	const base::Address& address() const
	{
		return m_process.address();
	}

	void onOpen(base::ConnectionId _connection, const wire::Hello&) override;

	void onMessage(base::ConnectionId _connection, wire::Message _message) override;

	void onClose(base::ConnectionId _connection) override
	{
		std::erase(m_relays, _connection);
	}

private:
	void fillTable(std::vector<wire::Row> _rows);

	void sendHeartbeats();

	void sendHeartbeat(base::ConnectionId _relay);

	simulation::Process m_process;
	simulation::ProcessNetwork m_network;
	wire::TableUpdate m_update;
	std::vector<base::ConnectionId> m_relays;
	int64_t m_round = 0;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_FLEET_CONTROLLER_STUB_H_HEADER_GUARD
