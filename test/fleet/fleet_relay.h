/// A relay of a simulated fleet.
#ifndef DRIFTLUG_TEST_FLEET_FLEET_RELAY_H_HEADER_GUARD
#define DRIFTLUG_TEST_FLEET_FLEET_RELAY_H_HEADER_GUARD

#include <memory>
#include <vector>

#include "relay/relay.h"
#include "simulation/simulated_network.h"

namespace driftlug::test
{
/// A relay that serves the nodes of every zone.
class fleet_relay
{
public:
	/// @param[in] _position Index of its address in `_relays`.
	fleet_relay(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, size_t _position,
				std::vector<base::Address> _relays, std::vector<base::Address> _controllers);

	void start();

	void kill();

	relay::Relay& relay()
	{
		return *m_relay;
	}

	const simulation::ProcessNetwork& network() const
	{
		return *m_network;
	}

	simulation::Process& process()
	{
		return m_process;
	}

private:
	simulation::SimulatedNetwork& m_simulated;
	simulation::Process m_process;
	std::vector<base::Address> m_relays;
	std::vector<base::Address> m_controllers;
	size_t m_position;
	std::unique_ptr<simulation::ProcessNetwork> m_network;
	std::unique_ptr<relay::Relay> m_relay;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_FLEET_FLEET_RELAY_H_HEADER_GUARD
