#include "fleet_relay.h"

namespace driftlug::test
{
fleet_relay::fleet_relay(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, size_t _position,
						 std::vector<base::Address> _relays, std::vector<base::Address> _controllers)
	: m_simulated(_network)
	, m_process(_queue, "relay-" + std::to_string(_position), {"a", "region"}, _relays[_position])
	, m_relays(std::move(_relays))
	, m_controllers(std::move(_controllers))
	, m_position(_position)
{
}

void fleet_relay::start()
{
	m_process.start();
	m_network = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
	relay::RelayOptions options;
	options.id = m_process.name();
	options.zone = "a";
	options.everyZone = true;
	options.controllers = m_controllers;
	options.listening = m_process.address();
	for (const auto& peer : m_relays)
	{
		if (peer != m_process.address())
		{
			options.peers.push_back(peer);
		}
	}
	m_relay = std::make_unique<relay::Relay>(options, m_process, base::RandomSource(m_position + 100), *m_network);
	m_network->setHandler(m_relay.get());
	m_simulated.listen(m_network.get());
	m_relay->start();
}

void fleet_relay::kill()
{
	m_simulated.onProcessExit(m_network.get(), false);
	m_process.kill();
	m_relay.reset();
	m_network.reset();
}

}  // namespace driftlug::test
