#include "fleet_node.h"

#include <algorithm>

namespace driftlug::test
{
/// Checks the local back end directly.
class fleet_node::back_end_probe : public quarantine::back_end_presence
{
public:
	explicit back_end_probe(fleet_node& _node)
		: m_node(_node)
	{
	}

	void check(std::function<void(quarantine::presence)> _done) override
	{
		const bool up = m_node.m_backEnd->up();
		m_node.m_process.schedule(base::milliseconds(1),
								  [_done, up]
								  {
									  _done(up ? quarantine::presence::listening : quarantine::presence::gone);
								  });
	}

private:
	fleet_node& m_node;
};

/// Null object for nodes without a back end.
class fleet_node::no_back_end : public node::BackendClient
{
public:
	uint64_t send(const wire::CallRequest&, base::Duration, std::function<void(node::BackendAnswer)>) override
	{
		return 0;
	}

	void cancel(uint64_t) override
	{
	}
};

fleet_node::fleet_node(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, size_t _position,
					   const std::string& _zone, std::vector<base::Address> _relays, const fleet_node_options& _options)
	: m_simulated(_network)
	, m_options(_options)
	, m_process(_queue, "node-" + std::to_string(_position), {_zone, "region"},
				{"10.0.0." + std::to_string(_position + 1), 7000})
	, m_backEndProcess(_queue, "back-end-" + std::to_string(_position), {_zone, "region"}, {"", 0})
	, m_relays(std::move(_relays))
	, m_position(_position)
	, m_noBackEnd(std::make_unique<no_back_end>())
	, m_presence(std::make_unique<back_end_probe>(*this))
{
	// Rotates the list so that the preferred relay alternates between nodes.
	std::rotate(m_relays.begin(), m_relays.begin() + static_cast<int>(_position % m_relays.size()), m_relays.end());
	if (m_options.hasBackEnd)
	{
		m_backEndProcess.start();
	}
}

fleet_node::~fleet_node() = default;

void fleet_node::useBackEnd(std::unique_ptr<fleet_back_end> _backEnd)
{
	m_backEnd = std::move(_backEnd);
	m_backEnd->onReport = [this](const node::BackendReport& _report)
	{
		if (m_local)
		{
			(void)m_local->onReport(_report);
		}
	};
}

void fleet_node::start()
{
	m_process.start();
	++m_startCount;
	m_control = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
	m_calls = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
	base::RandomSource random(m_position * 1000 + m_startCount);
	m_quarantine = std::make_unique<quarantine::request_quarantine>(m_process);
	m_quarantine->onChange(
		[this]
		{
			m_endpoint->onQuarantineChange();
		});
	startEntry(random);
	startEndpoint();
	startControl(random);
	if (m_backEnd)
	{
		startLocal(random);
	}
	if (m_backEnd && 1 == m_startCount)
	{
		m_process.schedule(base::milliseconds(1),
						   [this]
						   {
							   m_backEnd->heartbeat();
						   });
	}
}

void fleet_node::kill()
{
	m_simulated.onProcessExit(m_calls.get(), false);
	m_simulated.onProcessExit(m_control.get(), false);
	m_process.kill();
	if (m_backEnd)
	{
		m_backEnd->dropConnections();
	}
	m_reporter.reset();
	m_client.reset();
	m_local.reset();
	m_watch.reset();
	m_endpoint.reset();
	m_entry.reset();
	m_quarantine.reset();
	m_calls.reset();
	m_control.reset();
}

void fleet_node::onOpen(base::ConnectionId _connection, const wire::Hello& _peer)
{
	m_entry->onOpen(_connection, _peer);
	m_endpoint->onOpen(_connection, _peer);
}

void fleet_node::onMessage(base::ConnectionId _connection, wire::Message _message)
{
	if (const auto* request = std::get_if<wire::CallRequest>(&_message))
	{
		m_endpoint->onRequest(_connection, *request);
	}
	else if (const auto* cancel = std::get_if<wire::CallCancel>(&_message))
	{
		m_endpoint->onCancel(_connection, cancel->callId);
	}
	else if (std::holds_alternative<wire::KeepAlive>(_message) && !m_entry->isOutbound(_connection))
	{
		m_endpoint->onKeepAlive(_connection);
	}
	else
	{
		m_entry->onMessage(_connection, std::move(_message));
	}
}

void fleet_node::onClose(base::ConnectionId _connection)
{
	m_endpoint->onClose(_connection);
	m_entry->onClose(_connection);
}

void fleet_node::startEntry(base::RandomSource _random)
{
	node::EntryOptions options;
	options.nodeId = m_process.name();
	options.zone = m_process.placement().zone;
	options.generateIdempotencyKeys = false;
	options.notices = {{kRateLimitHeader}, {kLeavingHeader}};
	options.picker.policy = routing::PickPolicy::kNearestIdle;
	options.defaultRetry = {2, 8};
	options.retryBurst = 3;
	options.fullFor = base::milliseconds(100);
	options.overloadRetryAfter = base::milliseconds(1000);
	m_entry = std::make_unique<node::EntryCalls>(options, m_process, base::RandomSource(_random.bits()), *m_calls);
	m_entry->useQuarantine(m_quarantine.get());
	m_entry->setFreshnessCheck(
		[this]
		{
			return m_client->fresh();
		});
}

void fleet_node::startEndpoint()
{
	node::EndpointOptions options;
	options.service = m_backEnd ? m_options.service : "";
	options.defaultSlots = m_options.slots;
	options.dynamicEndpoint = true;
	options.notices = {{kRateLimitHeader}, {kLeavingHeader}};
	options.waitWithinTarget = true;
	options.overloadRetryAfter = base::milliseconds(1000);
	node::BackendClient& backEnd = m_backEnd ? static_cast<node::BackendClient&>(*m_backEnd) : *m_noBackEnd;
	m_endpoint = std::make_unique<node::EndpointCalls>(options, m_process, *m_calls, backEnd, nullptr);
	if (m_backEnd)
	{
		m_watch = std::make_unique<quarantine::crash_detector>(
			m_process, base::RandomSource(m_position * 1000 + m_startCount + 500), *m_presence,
			[this](uint64_t _crash, const std::vector<quarantine::crashed_run>& _runs)
			{
				m_quarantine->onCrash(_crash, m_options.service, m_local->incarnation(), _runs);
				m_local->onCrash();
			});
	}
	m_endpoint->useQuarantine(m_quarantine.get(), m_watch.get());
	wire::Hello hello;
	hello.role = wire::Role::NODE;
	hello.id = m_process.name();
	hello.zone = m_process.placement().zone;
	hello.serviceName = m_backEnd ? m_options.service : "other";
	hello.acknowledgesCalls = true;
	m_calls->setHello(hello);
	m_calls->setHandler(this);
	m_simulated.listen(m_calls.get());
}

void fleet_node::startControl(base::RandomSource _random)
{
	node::ControlOptions options;
	options.nodeId = m_process.name();
	options.zone = m_process.placement().zone;
	options.relays = m_relays;
	options.hosts = {"*"};
	m_client = std::make_unique<node::ControlClient>(
		options, m_process, base::RandomSource(_random.bits()), *m_control,
		[this](const routing::RoutingTablePtr& _table)
		{
			m_entry->useTable(_table);
			m_endpoint->useTable(*_table);
			if (m_reporter)
			{
				m_reporter->useTable(*_table);
			}
		},
		[this](const std::vector<wire::EndpointState>& _states)
		{
			m_entry->onEndpointStates(_states);
		});
	m_client->useQuarantine(m_quarantine.get());
	m_control->setHandler(m_client.get());
	m_client->start(nullptr);
}

void fleet_node::startLocal(base::RandomSource _random)
{
	wire::EndpointState place;
	place.serviceName = m_options.service;
	place.address = m_process.address().host;
	place.port = m_process.address().port;
	place.zone = m_process.placement().zone;
	m_local = std::make_unique<node::LocalBackend>(place, m_process, *m_endpoint,
												   [this](const wire::EndpointState& _state)
												   {
													   m_client->announce(_state);
												   });
	m_endpoint->onBackendContact(
		[this](bool _reached)
		{
			m_local->onContact(_reached);
		});
	m_endpoint->onBackendLeaving(
		[this](const std::string& _endpoint)
		{
			m_local->onLeaving(_endpoint);
		});
	m_reporter = std::make_unique<node::VersionReporter>(m_options.service, m_process, _random, *m_endpoint,
														 [this](const wire::Message& _message)
														 {
															 return m_client->sendVersions(_message);
														 });
	m_endpoint->onRunEnded(
		[this](const node::BackendRunResult& _run)
		{
			m_reporter->onRun(_run);
		});
	m_local->onBackend(
		[this](const std::string& _endpoint, const node::BackendReport& _report)
		{
			m_reporter->useBackend(_endpoint, _report.version, _report.slots, _report.coldMs);
		});
}

}  // namespace driftlug::test
