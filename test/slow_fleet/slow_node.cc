#include "slow_node.h"

namespace driftlug::test
{
slow_node::slow_node(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, const std::string& _host,
					 const std::string& _zone, const std::string& _service, std::vector<base::Address> _relays,
					 double _share, uint64_t _seed)
	: m_simulated(_network)
	, m_processor(_queue, allocation_meter(_share))
	, m_process(_queue, _host, {_zone, "region"}, {_host, 0})
	, m_service(_service)
	, m_relays(std::move(_relays))
	, m_random(_seed)
{
	m_process.useProcessor(&m_processor);
}

void slow_node::start()
{
	constexpr base::Duration kStaleAfter = base::milliseconds(1600);
	m_process.start();
	m_sockets = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
	node::ControlOptions options;
	options.nodeId = m_process.name();
	options.zone = m_process.placement().zone;
	options.relays = m_relays;
	options.nearRelays = m_relays.size();
	options.hosts = {"*"};
	options.services = {m_service};
	options.staleAfter = kStaleAfter;
	m_control = std::make_unique<node::ControlClient>(options, m_process, base::RandomSource(m_random.bits()),
													  *m_sockets, nullptr, nullptr);
	m_sockets->setHandler(m_control.get());
	m_control->start(nullptr);
}

void slow_node::kill()
{
	m_simulated.onProcessExit(m_sockets.get(), false);
	m_process.kill();
	m_control.reset();
	m_sockets.reset();
}

}  // namespace driftlug::test
