#include "core_machine.h"

namespace driftlug::test
{
namespace
{
constexpr int kFramePort = 7000;
constexpr int kRelayPort = 7001;
constexpr int kHttpPort = 8000;
constexpr size_t kLeastVoters = 5;
constexpr base::Duration kRelayHeartbeat = base::milliseconds(400);
constexpr base::Duration kEndpointLease = base::seconds(30);

}  // namespace

core_machine::core_machine(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network,
						   const std::string& _host, const std::string& _zone, std::vector<std::string> _seeds,
						   double _share, uint64_t _seed)
	: m_simulated(_network)
	, m_processor(_queue, allocation_meter(_share))
	, m_controllerProcess(_queue, _host, {_zone, "region"}, {_host, kFramePort})
	, m_relayProcess(_queue, _host + "-relay", {_zone, "region"}, relayAddress(_host))
	, m_disk(m_controllerProcess, base::RandomSource(_seed), simulation::DiskOptions{})
	, m_seeds(std::move(_seeds))
	, m_random(_seed)
{
	m_controllerProcess.useProcessor(&m_processor);
	m_relayProcess.useProcessor(&m_processor);
}

base::Address core_machine::relayAddress(const std::string& _host)
{
	return {_host, kRelayPort};
}

void core_machine::start(bool _founding)
{
	m_controllerProcess.start();
	m_relayProcess.start();
	startController(_founding);
}

void core_machine::startController(bool _founding)
{
	m_controllerSockets = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_controllerProcess);
	controller::ControllerOptions options;
	options.name = m_controllerProcess.name();
	options.zone = m_controllerProcess.placement().zone;
	options.mayBootstrap = _founding;
	options.self = {options.name, m_controllerProcess.address(), kHttpPort};
	options.relayPort = kRelayPort;
	options.membership.automatic = true;
	options.membership.minVoters = kLeastVoters;
	options.raft.heartbeatInterval = base::milliseconds(100);
	options.raft.electionTimeout = base::milliseconds(400);
	options.raft.announceCommits = true;
	options.relayHeartbeat = kRelayHeartbeat;
	for (const auto& seed : m_seeds)
	{
		options.controllers.push_back({seed, {seed, kFramePort}, kHttpPort});
	}
	m_controller = std::make_unique<controller::Controller>(
		options, m_controllerProcess, base::RandomSource(m_random.bits()), *m_controllerSockets, m_disk);
	m_pages = std::make_unique<platform::ConfigApi>(*m_controller);
	m_controllerSockets->setHandler(m_controller.get());
	m_controller->start(
		[this](const absl::Status& _status)
		{
			if (!_status.ok())
			{
				return;
			}
			m_ready = true;
			m_simulated.listen(m_controllerSockets.get());
			startRelay();
		});
}

void core_machine::startRelay()
{
	m_relaySockets = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_relayProcess);
	relay::RelayOptions options;
	options.id = m_relayProcess.name();
	options.zone = m_relayProcess.placement().zone;
	options.controllers = {m_controllerProcess.address()};
	options.everyZone = true;
	options.nodeHeartbeat = kRelayHeartbeat;
	options.listening = m_relayProcess.address();
	options.endpointLease = kEndpointLease;
	options.peerLease = kEndpointLease;
	m_relay =
		std::make_unique<relay::Relay>(options, m_relayProcess, base::RandomSource(m_random.bits()), *m_relaySockets);
	m_relaySockets->setHandler(m_relay.get());
	m_relay->shareTable(m_controller->state().table());
	m_controller->setTableObserver(m_relay.get());
	m_simulated.listen(m_relaySockets.get());
	m_relay->start();
}

void core_machine::request(const transport::HttpRequest& _request, const platform::Respond& _respond)
{
	m_controllerProcess.run(m_controllerProcess.incarnation(),
							[this, _request, _respond]
							{
								(void)m_pages->handle(_request, _respond);
							});
}

void core_machine::kill()
{
	m_simulated.onProcessExit(m_controllerSockets.get(), false);
	m_controllerProcess.kill();
	m_relayProcess.kill();
	if (m_relaySockets)
	{
		m_simulated.onProcessExit(m_relaySockets.get(), false);
	}
	m_ready = false;
	m_relay.reset();
	m_pages.reset();
	m_controller.reset();
	m_relaySockets.reset();
	m_controllerSockets.reset();
}

}  // namespace driftlug::test
