#include <catch2/catch.hpp>

#include "node/recording_network.h"
#include "relay/relay.h"
#include "simulation/process.h"
#include "table/row_change.h"
#include "table_rows.h"

namespace driftlug::relay {
namespace {

constexpr base::ConnectionId kNode = 100;

/// A relay that serves the table of a controller in the same process; the test plays the controller.
struct Fixture {
  Fixture() : process(queue, "relay", {"zone-1", "region"}, {"10.0.0.1", 7001}) {
    process.start();
    RelayOptions options;
    options.id = "relay";
    options.zone = "zone-1";
    options.controllers = {{"10.0.0.1", 7000}};
    options.everyZone = true;
    options.nodeHeartbeat = base::milliseconds(400);
    options.listening = {"10.0.0.1", 7001};
    relay = std::make_unique<Relay>(options, process, base::RandomSource(3), network);
    relay->shareTable(table);
    put(test::serviceRow("s", 1));
    relay->start();
    runFor(base::milliseconds(10));
    source = network.connected.begin()->first;
    relay->onOpen(source, {});
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  void put(const table::RowPtr& row) {
    table::RowChange change(&table);
    change.put(row);
    relay->onTableChange(change.commit());
  }

  /// Sends the relay a heartbeat of the leader with the revision of its table.
  void heartbeat(int64_t round, int64_t revision) {
    wire::ControllerHeartbeat heartbeat;
    heartbeat.revision = revision;
    heartbeat.freshness.term = 1;
    heartbeat.freshness.round = round;
    relay->onMessage(source, heartbeat);
  }

  void attach(int64_t revision, const table::Digest& digest) {
    wire::Hello hello;
    hello.role = wire::Role::NODE;
    hello.id = "node";
    hello.zone = "zone-2";
    relay->onOpen(kNode, hello);
    wire::NodeSubscribe subscribe;
    subscribe.hosts = {"*"};
    subscribe.revision = revision;
    subscribe.digest = digest;
    relay->onMessage(kNode, subscribe);
  }

  void answerConfirms(int64_t revision) {
    for (const auto& question : network.all<wire::ConfirmRequest>()) {
      wire::ConfirmReply reply;
      reply.token = question.token;
      reply.revision = revision;
      relay->onMessage(source, reply);
    }
  }

  std::vector<int64_t> revisionsSent() const {
    std::vector<int64_t> revisions;
    for (const auto& update : network.all<wire::SliceUpdate>()) revisions.push_back(update.toRevision);
    return revisions;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  table::Table table;
  std::unique_ptr<Relay> relay;
  base::ConnectionId source = 0;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a relay in a controller's process serves its versions while no leader is known") {
  attach(1, table.digest());
  relay->onClose(source);
  put(test::routeRow("r", "h", "/", {{"s", 100}}, 2));
  runFor(base::milliseconds(1));
  CHECK(revisionsSent().back() == 2);
}

TEST_CASE_METHOD(Fixture, "a relay in a controller's process requests no updates from the leader") {
  heartbeat(1, 1);
  const auto subscribed = network.all<wire::RelaySubscribe>();
  REQUIRE(subscribed.size() == 1);
  CHECK(subscribed.front().sharesTable);
}

TEST_CASE_METHOD(Fixture, "a relay whose table is behind the leader's does not forward newer freshness") {
  heartbeat(1, 1);
  attach(1, table.digest());
  CHECK(network.all<wire::NodeHeartbeat>().back().freshness.round == 1);
  heartbeat(2, 2);
  runFor(base::milliseconds(450));
  CHECK(network.all<wire::NodeHeartbeat>().back().freshness.round == 1);
  put(test::routeRow("r", "h", "/", {{"s", 100}}, 2));
  runFor(base::milliseconds(450));
  CHECK(network.all<wire::NodeHeartbeat>().back().freshness.round == 2);
}

TEST_CASE_METHOD(Fixture, "a relay reports the age of the controllers' freshness") {
  heartbeat(1, 1);
  attach(1, table.digest());
  CHECK(network.all<wire::NodeHeartbeat>().back().ageMs == 0);
  runFor(base::milliseconds(1300));
  const auto& last = network.all<wire::NodeHeartbeat>().back();
  CHECK(last.ageMs >= 1100);
  CHECK(last.ageMs <= 1300);
}

TEST_CASE_METHOD(Fixture, "freshness that a controller repeats does not become younger") {
  heartbeat(1, 1);
  attach(1, table.digest());
  for (int i = 0; i < 13; ++i) {
    runFor(base::milliseconds(100));
    heartbeat(1, 1);
  }
  runFor(base::milliseconds(200));
  // Nodes are sent a heartbeat every 400 ms.
  CHECK(network.all<wire::NodeHeartbeat>().back().ageMs >= 1100);
}

TEST_CASE_METHOD(Fixture, "a relay whose table stays behind the leader's redirects its nodes") {
  runFor(base::seconds(6));
  heartbeat(1, 1);
  attach(1, table.digest());
  runFor(base::seconds(2));
  CHECK(network.all<wire::RetryLater>().empty());
  heartbeat(2, 2);
  runFor(base::milliseconds(1300));
  CHECK(network.all<wire::RetryLater>().size() == 1);
}

TEST_CASE_METHOD(Fixture, "a node without a version waits until the shared table is confirmed to be recent") {
  heartbeat(1, 2);
  attach(0, {});
  answerConfirms(2);
  runFor(base::milliseconds(1));
  CHECK(revisionsSent().empty());
  put(test::routeRow("r", "h", "/", {{"s", 100}}, 2));
  runFor(base::milliseconds(1));
  CHECK(revisionsSent() == std::vector<int64_t>{2});
}

TEST_CASE_METHOD(Fixture, "a table that a snapshot replaced reaches the nodes") {
  attach(1, table.digest());
  table = table::Table();
  table.put(test::serviceRow("s", 1));
  table.put(test::routeRow("r", "h", "/", {{"s", 100}}, 7));
  relay->onTableReplaced();
  runFor(base::milliseconds(1));
  CHECK(revisionsSent().back() == 7);
}

}  // namespace driftlug::relay
