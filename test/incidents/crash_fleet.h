/// A small fleet on the virtual clock whose back ends crash: the true relays, entry and endpoint sides of calls.
#ifndef DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD
#define DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"
#include "node/local_backend.h"
#include "quarantine/back_end_presence.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_quarantine.h"
#include "relay/relay.h"
#include "simulation/simulated_network.h"
#include "table/table.h"

namespace driftlug::test
{
constexpr char kService[] = "tiles";
constexpr char kHost[] = "maps.example";
constexpr int kSlots = 9;
constexpr int kDeadlineMs = 1200;
constexpr int kTargetMs = 300;
constexpr int64_t kClockAtStart = 1'764'720'000'000;  // Unix milliseconds, of the clocks of back ends

inline base::TimePoint at(base::Duration _sinceStart)
{
	return base::TimePoint{} + _sinceStart;
}

/// Something that a back end saw.
struct arrival
{
	base::TimePoint time;
	std::string path;
	size_t node = 0;
};

/// What all back ends of the fleet saw, and which requests crash them.
struct back_end_record
{
	std::vector<arrival> arrivals;
	std::vector<arrival> crashes;        //!< By requests.
	std::vector<base::TimePoint> plain;  //!< From outside.
	std::vector<std::string> fatal;      //!< Paths of requests that crash what runs them.
	std::vector<arrival> starts;         //!< First reports of back ends that have started again.
	bool sameName = false;               //!< Back ends start again under the name that they had.
	base::Duration clockStep{0};         //!< Between two starts, on the clock that they tell their starts by.

	/// @returns How long after its first report each back end that started again got its first call.
	std::vector<base::Duration> untilFirstCall() const
	{
		std::vector<base::Duration> times;
		for (const auto& start : starts)
		{
			const auto first = std::find_if(arrivals.begin(), arrivals.end(),
											[&](const arrival& _arrival)
											{
												return _arrival.node == start.node && _arrival.time >= start.time;
											});
			times.push_back(arrivals.end() == first ? base::Duration::max() : first->time - start.time);
		}
		return times;
	}

	bool isFatal(const std::string& _path) const
	{
		return fatal.end() != std::find(fatal.begin(), fatal.end(), _path);
	}

	size_t crashesBy(const std::string& _path) const
	{
		return static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(),
												 [&](const arrival& _crash)
												 {
													 return _crash.path == _path;
												 }));
	}

	/// @returns How often a request reached a back end later than _slack after it had crashed the third.
	size_t arrivalsPastThird(const std::string& _path, base::Duration _slack) const
	{
		size_t seen = 0;
		base::TimePoint third = base::TimePoint::max() - _slack;
		for (const auto& crash : crashes)
		{
			if (crash.path == _path && 3 == ++seen)
			{
				third = crash.time;
			}
		}
		return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(),
												 [&](const arrival& _arrival)
												 {
													 return _arrival.path == _path && _arrival.time > third + _slack;
												 }));
	}
};

/// A back end that works on some requests at once, and is away for some seconds when one of them crashes it.
class crashing_back_end : public node::BackendClient
{
public:
	static constexpr base::Duration kRun = base::milliseconds(90);       //!< Mean; drawn from a third to five thirds.
	static constexpr base::Duration kFatalRun = base::milliseconds(40);  //!< Until the crash.
	static constexpr base::Duration kNotices = base::milliseconds(1);    //!< Until its node sees a closed connection.
	static constexpr base::Duration kBackAfter = base::milliseconds(3000);  //!< The next incarnation.

	crashing_back_end(simulation::Process& _process, uint64_t _seed, size_t _node, back_end_record& _record)
		: m_process(_process)
		, m_random(_seed)
		, m_node(_node)
		, m_record(_record)
	{
	}

	uint64_t send(const wire::CallRequest& _request, base::Duration,
				  std::function<void(node::BackendAnswer)> _done) override
	{
		const auto id = ++m_last;
		if (!m_up)
		{
			m_process.schedule(kNotices,
							   [_done]
							   {
								   _done({node::BackendOutcome::kNotSent, false, 0, {}, {}});
							   });
			return id;
		}
		m_record.arrivals.push_back({m_process.now(), _request.path, m_node});
		m_running[id] = {_done, _request.path};
		const bool fatal = m_record.isFatal(_request.path);
		const auto run = fatal ? kFatalRun : kRun / 3 + m_random.duration(kRun * 4 / 3);
		m_process.schedule(run,
						   [this, id, fatal]
						   {
							   if (0 == m_running.count(id))
							   {
								   return;
							   }
							   if (!fatal)
							   {
								   return complete(id);
							   }
							   m_record.crashes.push_back({m_process.now(), m_running[id].path, m_node});
							   crash();
						   });
		return id;
	}

	void cancel(uint64_t _id) override
	{
		m_running.erase(_id);
	}

	/// All connections are lost; it works on nothing more.
	void dropAll()
	{
		m_running.clear();
	}

	/// Ends, with all that it works on.
	void crash()
	{
		m_up = false;
		auto running = std::move(m_running);
		m_running.clear();
		for (auto& [id, run] : running)
		{
			m_process.schedule(kNotices,
							   [done = run.done]
							   {
								   done({node::BackendOutcome::kUnknown, false, 0, {}, {}});
							   });
		}
		m_process.schedule(kBackAfter,
						   [this]
						   {
							   m_up = true;
							   ++m_incarnation;
							   m_sequence = 0;
							   m_startedAt = m_process.now() + m_record.clockStep * m_incarnation;
							   m_record.starts.push_back({m_process.now(), {}, m_node});
							   report();
						   });
	}

	void crashPlainly()
	{
		if (m_up)
		{
			m_record.plain.push_back(m_process.now());
			crash();
		}
	}

	/// Tells its node of itself, now and then.
	void heartbeat()
	{
		if (m_up)
		{
			report();
		}
		m_process.schedule(base::milliseconds(1500),
						   [this]
						   {
							   heartbeat();
						   });
	}

	bool up() const
	{
		return m_up;
	}

	std::function<void(const node::BackendReport&)> onReport;

private:
	struct running
	{
		std::function<void(node::BackendAnswer)> done;
		std::string path;
	};

	void complete(uint64_t _id)
	{
		const auto run = m_running.extract(_id);
		run.mapped().done({node::BackendOutcome::kCompleted, false, 200, {}, "whole"});
	}

	void report()
	{
		node::BackendReport report;
		report.incarnation = "i-" + std::to_string(m_node);
		report.incarnation += m_record.sameName ? "" : "-" + std::to_string(m_incarnation);
		report.startedAtMs = kClockAtStart + m_startedAt.time_since_epoch() / base::milliseconds(1);
		report.sequence = ++m_sequence;
		report.slots = kSlots;
		onReport(report);
	}

	simulation::Process& m_process;
	base::RandomSource m_random;
	size_t m_node;
	back_end_record& m_record;
	std::map<uint64_t, running> m_running;
	uint64_t m_last = 0;
	int m_incarnation = 1;
	base::TimePoint m_startedAt{};
	int64_t m_sequence = 0;
	bool m_up = true;
};

/// Plays the leading controller for relays: one table, always fresh.
class table_source : public base::ConnectionHandler
{
public:
	table_source(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network)
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
		fillTable();
		beat();
	}

	const base::Address& address() const
	{
		return m_process.address();
	}

	void onOpen(base::ConnectionId _connection, const wire::Hello&) override
	{
		m_relays.push_back(_connection);
		tell(_connection);
	}

	void onMessage(base::ConnectionId _connection, wire::Message _message) override
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

	void onClose(base::ConnectionId _connection) override
	{
		std::erase(m_relays, _connection);
	}

private:
	void fillTable()
	{
		table::Table rows;
		const auto add = [&](wire::Row _row)
		{
			_row.revision = 1;
			m_update.rows.push_back(_row);
			rows.put(std::make_shared<wire::Row>(_row));
		};
		wire::Row service;
		service.key = table::makeKey(wire::RowKind::SERVICE, kService);
		service.__isset.serviceRow = true;
		add(service);
		wire::Row route;
		route.key = table::makeKey(wire::RowKind::ROUTE, "route");
		route.__isset.routeRow = true;
		route.routeRow.host = kHost;
		route.routeRow.pathPrefix = "/";
		route.routeRow.timeoutMs = kDeadlineMs;
		route.routeRow.targetLatencyMs = kTargetMs;
		route.routeRow.maxAttempts = 2;
		route.routeRow.repeatable = true;
		route.routeRow.priority = 2;
		wire::WeightedService share;
		share.serviceName = kService;
		share.weight = 100;
		route.routeRow.shares.push_back(share);
		add(route);
		m_update.toRevision = 1;
		m_update.full = true;
		m_update.digest = rows.digest();
	}

	void beat()
	{
		++m_round;
		for (const auto relay : m_relays)
		{
			tell(relay);
		}
		m_process.schedule(base::milliseconds(200),
						   [this]
						   {
							   beat();
						   });
	}

	void tell(base::ConnectionId _relay)
	{
		wire::ControllerHeartbeat heartbeat;
		heartbeat.revision = m_update.toRevision;
		heartbeat.freshness.term = 1;
		heartbeat.freshness.round = m_round;
		m_network.send(_relay, wire::encodeFrame(heartbeat));
	}

	simulation::Process m_process;
	simulation::ProcessNetwork m_network;
	wire::TableUpdate m_update;
	std::vector<base::ConnectionId> m_relays;
	int64_t m_round = 0;
};

/// A relay that serves the nodes of every zone.
class fleet_relay
{
public:
	fleet_relay(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, size_t _position,
				std::vector<base::Address> _relays, base::Address _source)
		: m_simulated(_network)
		, m_process(_queue, "relay-" + std::to_string(_position), {"a", "region"}, _relays[_position])
		, m_relays(std::move(_relays))
		, m_source(std::move(_source))
		, m_position(_position)
	{
	}

	void start()
	{
		m_process.start();
		m_network = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
		relay::RelayOptions options;
		options.id = m_process.name();
		options.zone = "a";
		options.everyZone = true;
		options.controllers = {m_source};
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

	void kill()
	{
		m_simulated.onDeath(m_network.get(), false);
		m_process.kill();
		m_relay.reset();
		m_network.reset();
	}

	relay::Relay& relay()
	{
		return *m_relay;
	}

	const simulation::ProcessNetwork& network() const
	{
		return *m_network;
	}

private:
	simulation::SimulatedNetwork& m_simulated;
	simulation::Process m_process;
	std::vector<base::Address> m_relays;
	base::Address m_source;
	size_t m_position;
	std::unique_ptr<simulation::ProcessNetwork> m_network;
	std::unique_ptr<relay::Relay> m_relay;
};

/// One node with both sides of calls and, for some, a back end beside it.
class fleet_node : public base::ConnectionHandler
{
public:
	fleet_node(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, size_t _position,
			   const std::string& _zone, std::vector<base::Address> _relays, back_end_record* _record)
		: m_simulated(_network)
		, m_process(_queue, "node-" + std::to_string(_position), {_zone, "region"},
					{"10.0.0." + std::to_string(_position + 1), 7000})
		, m_backEndProcess(_queue, "back-end-" + std::to_string(_position), {_zone, "region"}, {"", 0})
		, m_relays(std::move(_relays))
		, m_position(_position)
	{
		// A node prefers one relay, half of them the second.
		std::rotate(m_relays.begin(), m_relays.begin() + static_cast<int>(_position % m_relays.size()), m_relays.end());
		if (nullptr == _record)
		{
			return;
		}
		m_backEndProcess.start();
		m_backEnd = std::make_unique<crashing_back_end>(m_backEndProcess, _position + 1, _position, *_record);
		m_backEnd->onReport = [this](const node::BackendReport& _report)
		{
			if (m_local)
			{
				(void)m_local->onReport(_report);
			}
		};
	}

	void start()
	{
		m_process.start();
		++m_lives;
		m_control = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
		m_calls = std::make_unique<simulation::ProcessNetwork>(m_simulated, m_process);
		const base::RandomSource random(m_position * 1000 + m_lives);
		m_quarantine = std::make_unique<quarantine::request_quarantine>(m_process);
		m_quarantine->onChange(
			[this]
			{
				m_endpoint->onQuarantineChange();
			});
		startEntry(random);
		startEndpoint();
		startControl(random);
		if (m_backEnd && 1 == m_lives)
		{
			m_process.schedule(base::milliseconds(1),
							   [this]
							   {
								   m_backEnd->heartbeat();
							   });
		}
	}

	void kill()
	{
		m_simulated.onDeath(m_calls.get(), false);
		m_simulated.onDeath(m_control.get(), false);
		m_process.kill();
		if (m_backEnd)
		{
			m_backEnd->dropAll();
		}
		m_client.reset();
		m_local.reset();
		m_watch.reset();
		m_endpoint.reset();
		m_entry.reset();
		m_quarantine.reset();
		m_calls.reset();
		m_control.reset();
	}

	node::EntryCalls* entry()
	{
		return m_entry.get();
	}

	node::EndpointCalls* endpoint()
	{
		return m_endpoint.get();
	}

	quarantine::request_quarantine* quarantine()
	{
		return m_quarantine.get();
	}

	node::ControlClient* control()
	{
		return m_client.get();
	}

	crashing_back_end* backEnd()
	{
		return m_backEnd.get();
	}

	simulation::Process& process()
	{
		return m_process;
	}

	void onOpen(base::ConnectionId _connection, const wire::Hello& _peer) override
	{
		m_entry->onOpen(_connection, _peer);
		m_endpoint->onOpen(_connection, _peer);
	}

	void onMessage(base::ConnectionId _connection, wire::Message _message) override
	{
		if (const auto* request = std::get_if<wire::CallRequest>(&_message))
		{
			m_endpoint->onRequest(_connection, *request);
		}
		else if (const auto* cancel = std::get_if<wire::CallCancel>(&_message))
		{
			m_endpoint->onCancel(_connection, cancel->callId);
		}
		else if (std::holds_alternative<wire::KeepAlive>(_message) && !m_entry->leadsFrom(_connection))
		{
			m_endpoint->onKeepAlive(_connection);
		}
		else
		{
			m_entry->onMessage(_connection, std::move(_message));
		}
	}

	void onClose(base::ConnectionId _connection) override
	{
		m_endpoint->onClose(_connection);
		m_entry->onClose(_connection);
	}

private:
	/// Asks the back end beside the node.
	class asked_presence : public quarantine::back_end_presence
	{
	public:
		explicit asked_presence(fleet_node& _node)
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

	/// For nodes without a back end.
	class no_back_end : public node::BackendClient
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

	std::string service() const
	{
		return m_backEnd ? kService : "other";
	}

	void startEntry(base::RandomSource _random)
	{
		node::EntryOptions options;
		options.nodeId = m_process.name();
		options.zone = m_process.placement().zone;
		options.mintKeys = false;
		options.picker.policy = routing::PickPolicy::kNearestIdle;
		options.defaultRetry = {2, 8};
		options.retryBurst = 3;
		options.fullFor = base::milliseconds(100);
		options.overloadRetryAfter = base::milliseconds(1000);
		m_entry = std::make_unique<node::EntryCalls>(options, m_process, base::RandomSource(_random.bits()), *m_calls);
		m_entry->useQuarantine(m_quarantine.get());
	}

	void startEndpoint()
	{
		node::EndpointOptions options;
		options.service = m_backEnd ? kService : "";
		options.defaultSlots = kSlots;
		options.dynamicEndpoint = true;
		options.waitWithinTarget = true;
		options.overloadRetryAfter = base::milliseconds(1000);
		node::BackendClient& backEnd = m_backEnd ? static_cast<node::BackendClient&>(*m_backEnd) : m_noBackEnd;
		m_endpoint = std::make_unique<node::EndpointCalls>(options, m_process, *m_calls, backEnd, nullptr);
		if (m_backEnd)
		{
			m_watch = std::make_unique<quarantine::crash_watch>(
				m_process, base::RandomSource(m_position * 1000 + m_lives + 500), m_presence,
				[this](uint64_t _crash, const std::vector<quarantine::crashed_run>& _runs)
				{
					m_quarantine->onCrash(_crash, kService, m_local->incarnation(), _runs);
					m_local->onCrash();
				});
		}
		m_endpoint->useQuarantine(m_quarantine.get(), m_watch.get());
		wire::Hello hello;
		hello.role = wire::Role::NODE;
		hello.id = m_process.name();
		hello.zone = m_process.placement().zone;
		hello.serviceName = service();
		hello.acknowledgesCalls = true;
		m_calls->setHello(hello);
		m_calls->setHandler(this);
		m_simulated.listen(m_calls.get());
	}

	void startControl(base::RandomSource _random)
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
			},
			[this](const std::vector<wire::EndpointState>& _states)
			{
				m_entry->onEndpointStates(_states);
			});
		m_client->useQuarantine(m_quarantine.get());
		m_control->setHandler(m_client.get());
		m_client->start(nullptr);
		if (!m_backEnd)
		{
			return;
		}
		wire::EndpointState place;
		place.serviceName = kService;
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
	}

	simulation::SimulatedNetwork& m_simulated;
	simulation::Process m_process;
	simulation::Process m_backEndProcess;  //!< Of the back end, which lives longer than the node.
	std::vector<base::Address> m_relays;
	size_t m_position;
	uint64_t m_lives = 0;
	no_back_end m_noBackEnd;
	std::unique_ptr<crashing_back_end> m_backEnd;
	std::unique_ptr<simulation::ProcessNetwork> m_control;
	std::unique_ptr<simulation::ProcessNetwork> m_calls;
	asked_presence m_presence{*this};
	std::unique_ptr<quarantine::request_quarantine> m_quarantine;
	std::unique_ptr<quarantine::crash_watch> m_watch;
	std::unique_ptr<node::EntryCalls> m_entry;
	std::unique_ptr<node::EndpointCalls> m_endpoint;
	std::unique_ptr<node::ControlClient> m_client;
	std::unique_ptr<node::LocalBackend> m_local;
};

/// What became of the requests of callers, with the tries that they made themselves.
struct caller_record
{
	int asked = 0;
	int served = 0;
	int inTime = 0;
	std::vector<std::pair<base::TimePoint, std::string>> lost;  //!< Requests that were not served.
	std::vector<node::CallAnswer> fatalAnswers;                 //!< To requests that crash what runs them.
	int heldOthers = 0;                                         //!< Answers to others that were held back.

	/// @returns How many requests that crash nothing were not served.
	size_t lostOthers(const back_end_record& _record) const
	{
		return static_cast<size_t>(std::count_if(lost.begin(), lost.end(),
												 [&](const auto& _request)
												 {
													 return !_record.isFatal(_request.second);
												 }));
	}
};

/// Relays, nodes, back ends and callers.
class crash_fleet
{
public:
	/// @param[in] _seed Of all that is drawn.
	/// @param[in] _backEnds Of the service; four run at half of their slots under the traffic of callers.
	explicit crash_fleet(uint64_t _seed, size_t _backEnds = 4, size_t _others = 6)
		: m_random(_seed)
		, m_network(m_queue, base::RandomSource(m_random.bits()), {})
		, m_source(m_queue, m_network)
	{
		const std::vector<base::Address> addresses{{"relay", 1}, {"relay", 2}};
		for (size_t i = 0; i < addresses.size(); ++i)
		{
			m_relays.push_back(std::make_unique<fleet_relay>(m_queue, m_network, i, addresses, m_source.address()));
			m_relays.back()->start();
		}
		const std::vector<std::string> zones{"a", "b", "c"};
		for (size_t i = 0; i < _backEnds + _others; ++i)
		{
			auto* record = i < _backEnds ? &backEnds : nullptr;
			m_nodes.push_back(
				std::make_unique<fleet_node>(m_queue, m_network, i, zones[i % zones.size()], addresses, record));
			m_nodes.back()->start();
		}
		runUntil(base::seconds(2));
	}

	void runUntil(base::Duration _sinceStart)
	{
		base::showLogTime(&m_queue);
		while (m_queue.runNext(at(_sinceStart)))
		{
		}
		base::showLogTime(nullptr);
	}

	base::Duration now() const
	{
		return m_queue.now() - base::TimePoint{};
	}

	/// Callers ask for different things all the time, at all nodes.
	void callAllTheTime(double _perSecond, base::Duration _until)
	{
		const auto gap = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / _perSecond));
		m_queue.after(m_random.duration(gap * 2),
					  [this, _perSecond, _until]
					  {
						  if (m_queue.now() > at(_until))
						  {
							  return;
						  }
						  call("/tiles/" + std::to_string(++m_paths));
						  callAllTheTime(_perSecond, _until);
					  });
	}

	/// The same request comes again and again, at any node.
	void repeat(const std::string& _path, base::Duration _gap, base::Duration _until)
	{
		if (m_queue.now() > at(_until))
		{
			return;
		}
		call(_path);
		m_queue.after(_gap / 2 + m_random.duration(_gap),
					  [this, _path, _gap, _until]
					  {
						  repeat(_path, _gap, _until);
					  });
	}

	/// A caller asks at any node, and once more when it is not served in time.
	void call(const std::string& _path)
	{
		++callers.asked;
		ask(_path, m_random.below(m_nodes.size()), m_queue.now(), 1);
	}

	fleet_node& node(size_t _position)
	{
		return *m_nodes[_position];
	}

	fleet_relay& relay(size_t _position)
	{
		return *m_relays[_position];
	}

	size_t nodes() const
	{
		return m_nodes.size();
	}

	simulation::SimulatedNetwork& network()
	{
		return m_network;
	}

	simulation::EventQueue& queue()
	{
		return m_queue;
	}

	base::RandomSource& random()
	{
		return m_random;
	}

	back_end_record backEnds;
	caller_record callers;

private:
	void ask(const std::string& _path, size_t _node, base::TimePoint _begunAt, int _triesLeft)
	{
		auto* entry = m_nodes[_node]->entry();
		const auto waited = std::chrono::duration_cast<base::milliseconds>(m_queue.now() - _begunAt);
		if (nullptr == entry || waited.count() >= kDeadlineMs)
		{
			return lose(_path);
		}
		node::InboundCall inbound;
		inbound.method = "GET";
		inbound.host = kHost;
		inbound.path = _path;
		inbound.deadlineMs = kDeadlineMs - static_cast<int>(waited.count());
		wire::HttpHeader host;
		host.name = "host";
		host.value = kHost;
		inbound.headers = {host};
		entry->begin(std::move(inbound),
					 [this, _path, _begunAt, _triesLeft](const node::CallAnswer& _answer)
					 {
						 onAnswer(_path, _begunAt, _triesLeft, _answer);
					 });
	}

	void onAnswer(const std::string& _path, base::TimePoint _begunAt, int _triesLeft, const node::CallAnswer& _answer)
	{
		const auto waited = m_queue.now() - _begunAt;
		if (backEnds.isFatal(_path))
		{
			callers.fatalAnswers.push_back(_answer);
		}
		else if (base::ErrorCode::kRequestHeld == _answer.error)
		{
			++callers.heldOthers;
		}
		if (wire::CallOutcome::COMPLETED == _answer.outcome)
		{
			++callers.served;
			callers.inTime += waited <= base::milliseconds(kTargetMs) ? 1 : 0;
			return;
		}
		if (0 == _triesLeft)
		{
			return lose(_path);
		}
		const auto left = base::milliseconds(kDeadlineMs) - waited;
		const auto pause = std::min<base::Duration>(base::milliseconds(_answer.retryAfterMs), left / 3);
		m_queue.after(pause + base::milliseconds(2),
					  [this, _path, _begunAt, _triesLeft]
					  {
						  ask(_path, m_random.below(m_nodes.size()), _begunAt, _triesLeft - 1);
					  });
	}

	void lose(const std::string& _path)
	{
		callers.lost.emplace_back(m_queue.now(), _path);
	}

	simulation::EventQueue m_queue;
	base::RandomSource m_random;
	simulation::SimulatedNetwork m_network;
	table_source m_source;
	std::vector<std::unique_ptr<fleet_relay>> m_relays;
	std::vector<std::unique_ptr<fleet_node>> m_nodes;
	int m_paths = 0;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD
