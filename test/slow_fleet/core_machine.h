/// A machine that runs a controller and a relay in one process, on a slow processor.
#ifndef DRIFTLUG_TEST_SLOW_FLEET_CORE_MACHINE_H_HEADER_GUARD
#define DRIFTLUG_TEST_SLOW_FLEET_CORE_MACHINE_H_HEADER_GUARD

#include <memory>
#include <string>
#include <vector>

#include "config_api.h"
#include "controller/controller.h"
#include "relay/relay.h"
#include "simulation/simulated_disk.h"
#include "simulation/simulated_network.h"
#include "work/allocation_meter.h"

namespace driftlug::test
{
class core_machine
{
public:
	/// @param[in] _seeds Hosts of the controllers that all machines are configured with.
	core_machine(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, const std::string& _host,
				 const std::string& _zone, std::vector<std::string> _seeds, double _share, uint64_t _seed);

	void start(bool _founding);

	/// Sends a request to the operators' API; `_respond` may never be called.
	void request(const transport::HttpRequest& _request, const platform::Respond& _respond);

	/// Ends the process; the disk is kept.
	void kill();

	/// @returns The controller; null until it has recovered.
	controller::Controller* controller()
	{
		return m_ready ? m_controller.get() : nullptr;
	}

	relay::Relay* relay()
	{
		return m_relay.get();
	}

	const simulation::Processor& processor() const
	{
		return m_processor;
	}

	/// @returns Address at which the relay of a host listens.
	static base::Address relayAddress(const std::string& _host);

private:
	void startController(bool _founding);
	void startRelay();

	simulation::SimulatedNetwork& m_simulated;
	simulation::Processor m_processor;
	simulation::Process m_controllerProcess;
	simulation::Process m_relayProcess;
	simulation::SimulatedDisk m_disk;
	std::vector<std::string> m_seeds;
	base::RandomSource m_random;
	std::unique_ptr<simulation::ProcessNetwork> m_controllerSockets;
	std::unique_ptr<simulation::ProcessNetwork> m_relaySockets;
	std::unique_ptr<controller::Controller> m_controller;
	std::unique_ptr<platform::ConfigApi> m_pages;
	std::unique_ptr<relay::Relay> m_relay;
	bool m_ready = false;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_SLOW_FLEET_CORE_MACHINE_H_HEADER_GUARD
