// Decoders of frames and files return a value or a typed error for any input, and no decoded message crashes a
// receiver.
#include <catch2/catch.hpp>

#include <cmath>
#include <memory>
#include <utility>

#include "fuzz/mutator.h"
#include "manual_time.h"
#include "memory_disk.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"
#include "node/local_backend.h"
#include "node/recording_network.h"
#include "quarantine/fingerprint_bytes.h"
#include "relay/relay.h"
#include "rollout/rollout_driver.h"
#include "simulation/process.h"
#include "storage/log_store.h"
#include "storage/record_file.h"
#include "wire/frame.h"

namespace driftlug::test
{
namespace
{
wire::Row routeRow()
{
	wire::Row row;
	row.key = table::makeKey(wire::RowKind::ROUTE, "route");
	row.revision = 1;
	row.__isset.routeRow = true;
	row.routeRow.host = "a.example";
	row.routeRow.pathPrefix = "/";
	row.routeRow.timeoutMs = 100;
	wire::WeightedService share;
	share.serviceName = "tiles";
	share.weight = 100;
	row.routeRow.shares = {share};
	return row;
}

wire::Row serviceRow()
{
	wire::Row row;
	row.key = table::makeKey(wire::RowKind::SERVICE, "tiles");
	row.revision = 1;
	row.__isset.serviceRow = true;
	return row;
}

/// A rollout of version v2 in progress.
wire::Row rolloutRow()
{
	wire::Row row;
	row.key = table::makeKey(wire::RowKind::ROLLOUT, "tiles");
	row.revision = 1;
	row.__isset.rolloutRow = true;
	row.rolloutRow.standing = "v1";
	row.rolloutRow.target = "v2";
	row.rolloutRow.state = wire::RolloutState::RUNNING;
	row.rolloutRow.targetPermille = 100;
	row.rolloutRow.groupSize = 1;
	row.rolloutRow.finishByMs = 10'000;
	return row;
}

template <typename T>
T updateOfRows()
{
	T update;
	update.toRevision = 1;
	update.full = true;
	table::Table rows;
	for (const auto& row : {routeRow(), serviceRow(), rolloutRow()})
	{
		update.rows.push_back(row);
		rows.put(table::storeRow(row));
	}
	update.digest = rows.digest();
	return update;
}

wire::CallRequest callRequest()
{
	wire::CallRequest request;
	request.callId = 1;
	request.serviceName = "tiles";
	request.method = "GET";
	request.path = "/tiles/7";
	request.remainingMs = 1000;
	request.endpoint = "i-1";
	request.largeAnswer = true;
	return request;
}

wire::EndpointStates endpointStates()
{
	wire::EndpointState state;
	state.serviceName = "tiles";
	state.endpoint = "i-2";
	state.condition = wire::EndpointCondition::LIVE;
	state.incarnation = 1;
	state.sequence = 1;
	state.address = "10.0.0.2";
	state.port = 7000;
	state.zone = "zone";
	state.slots = 9;
	state.version = "v1";
	wire::EndpointStates states;
	states.states = {state};
	return states;
}

wire::CrashReports crashReports()
{
	wire::CrashedRequest request;
	request.fingerprint = quarantine::toBytes({1, 2});
	wire::CrashReport report;
	report.id = 10;
	report.serviceName = "tiles";
	report.endpoint = "i-2";
	report.ageMs = 5;
	report.requests = {request};
	wire::CrashReports reports;
	reports.reports = {report};
	return reports;
}

wire::VersionReports versionReports()
{
	wire::RouteFigures figures;
	figures.route = 3;
	figures.answered = 20;
	figures.failed = 1;
	figures.firstBucket = 5;
	figures.runs = {1, 2, 3, 4};
	wire::VersionReport report;
	report.serviceName = "tiles";
	report.endpoint = "i-2";
	report.version = "v2";
	report.life = 1;
	report.sequence = 1;
	report.revision = 1;
	report.active = 2;
	report.slots = 9;
	report.routes = {figures};
	wire::VersionReports reports;
	reports.reports = {report};
	return reports;
}

wire::SeenVersions seenVersions()
{
	wire::SeenVersion seen;
	seen.serviceName = "tiles";
	seen.version = "v1";
	seen.endpoints = 4;
	wire::SeenVersions all;
	all.versions = {seen};
	return all;
}

/// @returns The head of a response whose body follows in pieces.
wire::CallResponse largeAnswerHead()
{
	wire::CallResponse head;
	head.callId = 1;
	head.outcome = wire::CallOutcome::COMPLETED;
	head.httpStatus = 200;
	head.bodyBytes = 10;
	return head;
}

template <size_t... Index>
std::vector<wire::Message> emptyMessages(std::index_sequence<Index...>)
{
	return {wire::Message(std::in_place_index<Index>)...};
}

/// @returns An empty frame of every kind, and some frames with content.
std::vector<std::string> frames()
{
	auto messages = emptyMessages(std::make_index_sequence<std::variant_size_v<wire::Message>>());
	messages.emplace_back(updateOfRows<wire::TableUpdate>());
	messages.emplace_back(updateOfRows<wire::SliceUpdate>());
	messages.emplace_back(callRequest());
	messages.emplace_back(endpointStates());
	messages.emplace_back(crashReports());
	messages.emplace_back(versionReports());
	messages.emplace_back(seenVersions());
	wire::CallResponse answer;
	answer.callId = 1;
	answer.outcome = wire::CallOutcome::UNKNOWN;
	answer.errorCode = 52;
	answer.crashId = 10;
	messages.emplace_back(answer);
	answer.outcome = wire::CallOutcome::NOT_RUN;
	answer.errorCode = 42;
	answer.fullForMs = 100;
	messages.emplace_back(answer);
	messages.emplace_back(largeAnswerHead());
	wire::CallAnswerPiece piece;
	piece.callId = 1;
	piece.data = "12345";
	messages.emplace_back(piece);
	wire::CallAnswerCredit credit;
	credit.callId = 1;
	credit.upToBytes = 100;
	messages.emplace_back(credit);
	wire::RelayList relays;
	relays.relays.resize(2);
	messages.emplace_back(relays);
	wire::AppendRequest append;
	append.entries.resize(2);
	messages.emplace_back(append);
	std::vector<std::string> samples;
	for (const auto& message : messages)
	{
		samples.push_back(wire::encodeFrame(message)->substr(wire::kLengthBytes));
	}
	return samples;
}

/// All message handlers of a node and a relay, with the state needed to process messages.
class message_receivers
{
public:
	message_receivers()
		: m_process(m_queue, "node", {"zone", "region"}, {"10.0.0.1", 7000})
	{
		m_process.start();
		m_quarantine = std::make_unique<quarantine::request_quarantine>(m_process);
		startNode();
		startRelay();
	}

	/// Delivers a message to each handler, as if from each kind of peer.
	void sendToAll(const wire::Message& _message)
	{
		m_entry->onMessage(1, _message);
		m_client->onMessage(m_control.connected.begin()->first, _message);
		for (const auto peer : {kNode, kRelay})
		{
			m_relay->onMessage(peer, _message);
		}
		if (const auto* request = std::get_if<wire::CallRequest>(&_message))
		{
			m_endpoint->onRequest(5, *request);
		}
		else if (const auto* piece = std::get_if<wire::CallBodyPiece>(&_message))
		{
			m_endpoint->onBodyPiece(5, *piece);
		}
		else if (const auto* cancel = std::get_if<wire::CallCancel>(&_message))
		{
			m_endpoint->onCancel(5, cancel->callId);
		}
		else if (const auto* withdraw = std::get_if<wire::CallWithdraw>(&_message))
		{
			m_endpoint->onWithdraw(5, withdraw->callId);
		}
		else if (const auto* credit = std::get_if<wire::CallAnswerCredit>(&_message))
		{
			m_endpoint->onAnswerCredit(5, *credit);
		}
		m_calls.sent.clear();
		m_control.sent.clear();
		m_relayNetwork.sent.clear();
	}

	void begin()
	{
		node::InboundCall call;
		call.method = "GET";
		call.host = "a.example";
		call.path = "/tiles/7";
		call.deadlineMs = 50;
		m_entry->begin(std::move(call),
					   [this](const node::CallAnswer&)
					   {
						   ++m_answers;
					   });
	}

	void runFor(base::Duration _duration)
	{
		const auto until = m_queue.now() + _duration;
		while (m_queue.runNext(until))
		{
		}
	}

	int answers() const
	{
		return m_answers;
	}

private:
	static constexpr base::ConnectionId kNode = 100;
	static constexpr base::ConnectionId kRelay = 101;

	/// Answers every second request with a large body, and the others never.
	class half_idle_back_end : public node::BackendClient
	{
	public:
		explicit half_idle_back_end(base::Scheduler& _scheduler)
			: m_scheduler(_scheduler)
		{
		}

		uint64_t send(const wire::CallRequest&, base::Duration, std::function<void(node::BackendAnswer)> _done) override
		{
			if (0 == ++m_last % 2)
			{
				m_scheduler.schedule(
					base::milliseconds(1),
					[_done]
					{
						_done({node::BackendOutcome::kCompleted, false, 200, {}, std::string(5000, 'x')});
					});
			}
			return m_last;
		}

		void cancel(uint64_t) override
		{
		}

	private:
		base::Scheduler& m_scheduler;
		uint64_t m_last = 0;
	};

	void startNode()
	{
		node::EntryOptions entry;
		entry.nodeId = "node";
		entry.zone = "zone";
		m_entry = std::make_unique<node::EntryCalls>(entry, m_process, base::RandomSource(1), m_calls);
		m_entry->useQuarantine(m_quarantine.get());
		node::EndpointOptions endpoint;
		endpoint.service = "tiles";
		endpoint.dynamicEndpoint = true;
		m_endpoint = std::make_unique<node::EndpointCalls>(endpoint, m_process, m_calls, m_backEnd, nullptr);
		m_endpoint->useQuarantine(m_quarantine.get(), nullptr);
		m_endpoint->useIncarnation("i-1", 9);
		wire::Hello caller;
		caller.role = wire::Role::NODE;
		caller.id = "other";
		caller.takesAnswerPieces = true;
		m_endpoint->onOpen(5, caller);
		node::ControlOptions control;
		control.nodeId = "node";
		control.zone = "zone";
		control.relays = {{"10.0.0.3", 1}};
		control.hosts = {"*"};
		m_client = std::make_unique<node::ControlClient>(
			control, m_process, base::RandomSource(2), m_control,
			[this](const routing::RoutingTablePtr& _table)
			{
				m_entry->useTable(_table);
			},
			[this](const std::vector<wire::EndpointState>& _states)
			{
				m_entry->onEndpointStates(_states);
			});
		m_client->useQuarantine(m_quarantine.get());
		m_client->start(nullptr);
		wire::Hello hello;
		hello.role = wire::Role::RELAY;
		hello.takesCrashReports = true;
		m_client->onOpen(m_control.connected.begin()->first, hello);
	}

	void startRelay()
	{
		relay::RelayOptions options;
		options.id = "relay";
		options.zone = "zone";
		options.everyZone = true;
		options.controllers = {{"10.0.0.4", 1}};
		options.confirmRestartedNodes = false;
		m_relay = std::make_unique<relay::Relay>(options, m_process, base::RandomSource(3), m_relayNetwork);
		m_relay->start();
		wire::Hello hello;
		hello.role = wire::Role::NODE;
		hello.id = "other";
		hello.zone = "zone";
		hello.takesCrashReports = true;
		m_relay->onOpen(kNode, hello);
		hello.role = wire::Role::RELAY;
		hello.id = "peer";
		m_relay->onOpen(kRelay, hello);
		wire::NodeSubscribe subscribe;
		subscribe.hosts = {"*"};
		m_relay->onMessage(kNode, subscribe);
	}

	simulation::EventQueue m_queue;
	simulation::Process m_process;
	RecordingNetwork m_calls;
	RecordingNetwork m_control;
	RecordingNetwork m_relayNetwork;
	half_idle_back_end m_backEnd{m_process};
	std::unique_ptr<quarantine::request_quarantine> m_quarantine;
	std::unique_ptr<node::EntryCalls> m_entry;
	std::unique_ptr<node::EndpointCalls> m_endpoint;
	std::unique_ptr<node::ControlClient> m_client;
	std::unique_ptr<relay::Relay> m_relay;
	int m_answers = 0;
};

}  // namespace

TEST_CASE("frames between processes, and what they do to a node and a relay")
{
	mutator inputs(fuzzSeed());
	const auto samples = frames();
	constexpr int kMessagesOfEach = 500;
	std::unique_ptr<message_receivers> receivers;
	int decoded = 0;
	const int rounds = fuzzRounds(100'000);
	for (int i = 0; i < rounds; ++i)
	{
		if (0 == i % kMessagesOfEach)
		{
			receivers = std::make_unique<message_receivers>();
		}
		const auto message = wire::decodeFrame(inputs.next(samples));
		if (!message.ok())
		{
			continue;
		}
		++decoded;
		if (0 == i % 3)
		{
			receivers->begin();
		}
		receivers->sendToAll(*message);
		receivers->runFor(base::milliseconds(5));
	}
	CHECK(rounds / 10 < decoded);
}

TEST_CASE("mutated version reports lead to valid rollout decisions")
{
	mutator inputs(fuzzSeed());
	const std::vector<std::string> samples = {
		wire::encodeFrame(wire::Message(versionReports()))->substr(wire::kLengthBytes)};
	ManualTime time;
	const auto row = rolloutRow().rolloutRow;
	const auto policy = rollout::policyOf(row);
	const rollout::rollout_driver driver({0.1, 50});
	rollout::version_evidence evidence(time);
	int taken = 0;
	for (int i = 0; i < fuzzRounds(20'000); ++i)
	{
		const auto message = wire::decodeFrame(inputs.next(samples));
		const auto* reports = message.ok() ? std::get_if<wire::VersionReports>(&*message) : nullptr;
		if (nullptr == reports)
		{
			continue;
		}
		for (const auto& report : reports->reports)
		{
			evidence.onReport(report, policy);
			++taken;
		}
		time.advance(base::milliseconds(50));
		rollout::rollout_situation situation;
		situation.elapsed = base::seconds(2);
		situation.leadershipAge = base::seconds(5);
		situation.verdict = evidence.evaluate(policy);
		situation.p99RunTime = evidence.p99RunTime();
		situation.answersPerSecond = evidence.answersPerSecond();
		situation.target.count = evidence.reportsOf(row.target, base::seconds(2)).size();
		if (const auto next = driver.next(row, situation))
		{
			CHECK(0 <= next->targetPermille);
			CHECK(1000 >= next->targetPermille);
		}
		CHECK(std::isfinite(situation.answersPerSecond));
		CHECK(base::Duration(0) <= situation.p99RunTime);
		if (0 == i % 500)
		{
			evidence.clear();
		}
	}
	CHECK(0 < taken);
}

TEST_CASE("files of a log")
{
	mutator inputs(fuzzSeed());
	MemoryDisk written;
	storage::LogStore store(written);
	REQUIRE(store.open().ok());
	std::vector<wire::LogEntry> log(4);
	for (size_t i = 0; i < log.size(); ++i)
	{
		log[i].index = static_cast<int64_t>(i) + 1;
		log[i].term = 1;
		log[i].kind = wire::EntryKind::NOOP;
	}
	REQUIRE(store.append(log).ok());
	wire::LogSnapshot snapshot;
	snapshot.index = 2;
	snapshot.term = 1;
	store.saveSnapshot(
		snapshot,
		[&]
		{
			return storage::CarriedState{{}, {log.begin() + 2, log.end()}};
		},
		[](const absl::Status&) {});
	written.finishSyncs();
	int good = 0;
	for (int i = 0; i < fuzzRounds(50'000); ++i)
	{
		MemoryDisk disk;
		for (const auto& [name, bytes] : written.files)
		{
			disk.files[name] = inputs.next({bytes});
		}
		storage::LogStore damaged(disk);
		good += damaged.open().ok() ? 1 : 0;
	}
	CHECK(0 < good);
}

TEST_CASE("a mutated table slice on a node's disk is loaded or rejected")
{
	mutator inputs(fuzzSeed());
	const auto frame = wire::encodeFrame(updateOfRows<wire::SliceUpdate>());
	const auto record = storage::encodeRecord(storage::RecordType::kSnapshot, *frame, 0);
	for (int i = 0; i < fuzzRounds(20'000); ++i)
	{
		simulation::EventQueue queue;
		simulation::Process process(queue, "node", {"zone", "region"}, {"10.0.0.1", 7000});
		process.start();
		RecordingNetwork network;
		MemoryDisk disk;
		disk.files["slice"] = inputs.next({record});
		node::ControlOptions options;
		options.relays = {{"10.0.0.3", 1}};
		node::ControlClient client(
			options, process, base::RandomSource(2), network, [](const routing::RoutingTablePtr&) {}, nullptr);
		client.start(&disk);
		disk.finishSyncs();
	}
}

}  // namespace driftlug::test
