/// The table client of a node, on a slow processor.
#ifndef DRIFTLUG_TEST_SLOW_FLEET_SLOW_NODE_H_HEADER_GUARD
#define DRIFTLUG_TEST_SLOW_FLEET_SLOW_NODE_H_HEADER_GUARD

#include <memory>
#include <string>
#include <vector>

#include "node/control_client.h"
#include "simulation/simulated_network.h"
#include "work/allocation_meter.h"

namespace driftlug::test
{
class slow_node
{
public:
	/// @param[in] _relays Relays that it connects to first.
	slow_node(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, const std::string& _host,
			  const std::string& _zone, const std::string& _service, std::vector<base::Address> _relays, double _share,
			  uint64_t _seed);

	void start();

	void kill();

	/// @returns Revision of the active version; 0 for none.
	int64_t revision() const
	{
		return m_control ? m_control->slices().revision() : 0;
	}

private:
	simulation::SimulatedNetwork& m_simulated;
	simulation::Processor m_processor;
	simulation::Process m_process;
	std::string m_service;
	std::vector<base::Address> m_relays;
	base::RandomSource m_random;
	std::unique_ptr<simulation::ProcessNetwork> m_sockets;
	std::unique_ptr<node::ControlClient> m_control;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_SLOW_FLEET_SLOW_NODE_H_HEADER_GUARD
