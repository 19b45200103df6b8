#include <catch2/catch.hpp>

#include "node/recording_network.h"
#include "relay/relay.h"
#include "simulation/process.h"

namespace driftlug::relay {
namespace {

/// A relay that serves every zone; the test plays its controller, a peer and the nodes.
struct Fixture {
  explicit Fixture(bool confirmRestartedNodes = false)
      : process(queue, "relay", {"zone-1", "region"}, {"10.0.0.1", 7001}) {
    process.start();
    RelayOptions options;
    options.id = "relay";
    options.zone = "zone-1";
    options.controllers = {{"10.0.0.1", 7000}};
    options.everyZone = true;
    options.confirmRestartedNodes = confirmRestartedNodes;
    options.listening = {"10.0.0.1", 7001};
    relay = std::make_unique<Relay>(options, process, base::RandomSource(3), network);
    relay->start();
    runFor(base::milliseconds(10));
    source = connectionTo({"10.0.0.1", 7000});
    relay->onOpen(source, {});
    wire::ControllerHeartbeat heartbeat;
    heartbeat.freshness.term = 1;
    heartbeat.freshness.round = 1;
    if (!confirmRestartedNodes) relay->onMessage(source, heartbeat);
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  base::ConnectionId connectionTo(const base::Address& address) {
    for (const auto& [connection, target] : network.connected) {
      if (target == address) return connection;
    }
    return 0;
  }

  base::ConnectionId attach(base::ConnectionId connection, const std::string& id) {
    wire::Hello hello;
    hello.role = wire::Role::NODE;
    hello.id = id;
    hello.zone = "zone-2";
    relay->onOpen(connection, hello);
    wire::NodeSubscribe subscribe;
    subscribe.hosts = {"*"};
    relay->onMessage(connection, subscribe);
    return connection;
  }

  /// Sends the relay a table with a route to a service, as the leader.
  void update(int64_t revision, const std::string& service) {
    wire::TableUpdate update;
    update.toRevision = revision;
    update.full = true;
    table::Table rows;
    const auto add = [&](wire::Row row) {
      row.revision = revision;
      update.rows.push_back(row);
      rows.put(table::storeRow(row));
    };
    wire::Row serviceRow;
    serviceRow.key = table::makeKey(wire::RowKind::SERVICE, service);
    serviceRow.__isset.serviceRow = true;
    add(serviceRow);
    wire::Row route;
    route.key = table::makeKey(wire::RowKind::ROUTE, "route");
    route.__isset.routeRow = true;
    route.routeRow.host = "a.example";
    route.routeRow.pathPrefix = "/";
    route.routeRow.timeoutMs = 100;
    wire::WeightedService share;
    share.serviceName = service;
    share.weight = 100;
    route.routeRow.shares.push_back(share);
    add(route);
    update.digest = rows.digest();
    relay->onMessage(source, update);
    runFor(base::milliseconds(10));
  }

  void announce(base::ConnectionId node, const std::string& service, wire::EndpointCondition::type condition) {
    wire::EndpointState state;
    state.endpoint = "i-1";
    state.serviceName = service;
    state.condition = condition;
    state.incarnation = 1;
    state.sequence = ++sequence;
    state.address = "10.0.0.5";
    state.port = 7000;
    wire::EndpointStates states;
    states.states.push_back(state);
    relay->onMessage(node, states);
  }

  /// @return the endpoint conditions that were sent on a connection.
  std::vector<wire::EndpointCondition::type> receivedConditions(base::ConnectionId connection) {
    std::vector<wire::EndpointCondition::type> conditions;
    for (const auto& sent : network.sent) {
      const auto* states = std::get_if<wire::EndpointStates>(&sent.message);
      if (states == nullptr || sent.connection != connection) continue;
      for (const auto& state : states->states) conditions.push_back(state.condition);
    }
    return conditions;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  std::unique_ptr<Relay> relay;
  base::ConnectionId source = 0;
  int64_t sequence = 0;
};

using wire::EndpointCondition;

/// No leader is known yet, so nodes without a version wait for a confirmation.
struct LeaderlessFixture : public Fixture {
  LeaderlessFixture() : Fixture(true) {}
};

}  // namespace

TEST_CASE_METHOD(LeaderlessFixture, "confirmation for waiting nodes is requested as soon as a leader is found") {
  attach(100, "waiting");
  runFor(base::milliseconds(1100));
  const auto before = network.all<wire::ConfirmRequest>().size();
  wire::ControllerHeartbeat heartbeat;
  heartbeat.freshness.term = 2;
  heartbeat.freshness.round = 1;
  relay->onMessage(source, heartbeat);
  // One request for the relay's own table, one for the waiting nodes.
  CHECK(network.all<wire::ConfirmRequest>().size() == before + 2);
}

TEST_CASE_METHOD(LeaderlessFixture,
                 "a node that waits for its first version receives freshness only while there is a leader") {
  wire::ControllerHeartbeat leaderHeartbeat;
  leaderHeartbeat.freshness.term = 2;
  leaderHeartbeat.freshness.round = 1;
  relay->onMessage(source, leaderHeartbeat);
  const auto waiting = attach(100, "waiting");
  const auto lastTerm = [&] {
    int64_t term = -1;
    for (const auto& item : network.sent) {
      const auto* heartbeat = std::get_if<wire::NodeHeartbeat>(&item.message);
      if (heartbeat != nullptr && item.connection == waiting) term = heartbeat->freshness.term;
    }
    return term;
  };
  CHECK(lastTerm() == 2);
  relay->onClose(source);
  runFor(base::milliseconds(700));
  CHECK(lastTerm() == 0);
  attach(100, "again");
  CHECK(lastTerm() == 0);
}

TEST_CASE_METHOD(Fixture, "a node receives the announced endpoints of the services that its routes need") {
  update(1, "records");
  const auto reader = attach(100, "reader");
  const auto announcer = attach(101, "announcer");
  announce(announcer, "other", EndpointCondition::LIVE);
  CHECK(receivedConditions(reader).empty());
  announce(announcer, "records", EndpointCondition::LIVE);
  CHECK(receivedConditions(reader) == std::vector<EndpointCondition::type>{EndpointCondition::LIVE});
  announce(announcer, "records", EndpointCondition::DRAINING);
  CHECK(receivedConditions(reader).back() == EndpointCondition::DRAINING);
}

TEST_CASE_METHOD(Fixture, "a node that attaches later receives the endpoints announced before") {
  update(1, "records");
  const auto announcer = attach(101, "announcer");
  announce(announcer, "records", EndpointCondition::LIVE);
  const auto late = attach(102, "late");
  CHECK(receivedConditions(late) == std::vector<EndpointCondition::type>{EndpointCondition::LIVE});
}

TEST_CASE_METHOD(Fixture, "when routes begin to need a service, its endpoints are sent") {
  update(1, "records");
  const auto reader = attach(100, "reader");
  const auto announcer = attach(101, "announcer");
  announce(announcer, "archive", EndpointCondition::LIVE);
  CHECK(receivedConditions(reader).empty());
  update(2, "archive");
  CHECK(receivedConditions(reader) == std::vector<EndpointCondition::type>{EndpointCondition::LIVE});
}

TEST_CASE_METHOD(Fixture,
                 "the member list of the controllers sets the relay's peers and the relays announced to nodes") {
  const auto reader = attach(100, "reader");
  wire::MemberList list;
  for (int i = 1; i <= 3; ++i) {
    wire::Member member;
    member.id = "c-" + std::to_string(i);
    member.address = "10.0.0." + std::to_string(i);
    member.framePort = 7000;
    member.relayPort = 7001;
    member.zone = "zone-" + std::to_string(i);
    list.members.push_back(member);
  }
  relay->onMessage(source, list);
  const auto lists = network.all<wire::RelayList>();
  REQUIRE(lists.size() == 1);
  CHECK(lists[0].relays.size() == 3);
  CHECK(network.sent.back().connection == reader);
  CHECK(connectionTo({"10.0.0.2", 7000}) != 0);
  CHECK(connectionTo({"10.0.0.2", 7001}) != 0);
  CHECK(connectionTo({"10.0.0.1", 7001}) == 0);
  relay->onMessage(source, list);
  CHECK(network.all<wire::RelayList>().size() == 1);
  // A node that attaches later is sent the list at once.
  attach(103, "late");
  CHECK(network.all<wire::RelayList>().size() == 2);
}

/// A node announces its endpoint on one connection, opens a second one and sends its hello on it. The first connection
/// then closes, and the second stays silent.
struct SilentConnectionFixture : public Fixture {
  SilentConnectionFixture() {
    update(1, "records");
    attach(kReader, "reader");
    attach(kFirst, "announcer");
    announce(kFirst, "records", EndpointCondition::LIVE);
    wire::Hello hello;
    hello.role = wire::Role::NODE;
    hello.id = "announcer";
    hello.zone = "zone-2";
    relay->onOpen(kSecond, hello);
    relay->onClose(kFirst);
  }

  /// Advances the clock while the reader sends keep-alives.
  void runWithReaderAlive(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      relay->onMessage(kReader, wire::KeepAlive());
      runFor(base::seconds(1));
    }
  }

  static constexpr base::ConnectionId kReader = 100;
  static constexpr base::ConnectionId kFirst = 101;
  static constexpr base::ConnectionId kSecond = 102;
};

TEST_CASE_METHOD(SilentConnectionFixture,
                 "the endpoints of a node that is lost right after its hello are not kept alive") {
  runWithReaderAlive(3);
  CHECK(receivedConditions(kReader).back() == EndpointCondition::LIVE);
  CHECK(network.closed.count(kSecond) == 0);
  runWithReaderAlive(4);
  CHECK(receivedConditions(kReader).back() == EndpointCondition::GONE);
  CHECK(network.closed.count(kSecond) == 1);
}

TEST_CASE_METHOD(SilentConnectionFixture,
                 "the end of a connection without a subscription starts the lease of endpoints too") {
  runWithReaderAlive(3);
  relay->onClose(kSecond);
  runWithReaderAlive(3);
  CHECK(receivedConditions(kReader).back() == EndpointCondition::GONE);
}

}  // namespace driftlug::relay
