#include <catch2/catch.hpp>

#include "membership/slow_network.h"
#include "node/recording_network.h"
#include "relay/controller_links.h"
#include "simulation/process.h"

namespace driftlug::relay {
namespace {

wire::Freshness freshnessOf(int64_t round) {
  wire::Freshness freshness;
  freshness.term = 1;
  freshness.round = round;
  return freshness;
}

/// A relay's links to two controllers; the first is the leader.
struct Fixture {
  Fixture()
      : process(queue, "relay", {"zone", "region"}, {"10.0.0.9", 7001}),
        links(network, process, base::RandomSource(3), {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}}) {
    process.start();
    links.start();
    for (const auto& [connection, address] : network.connected) links.onOpen(connection);
    links.onLeader(network.connected.begin()->first, freshnessOf(1));
    process.onResumed([this] { links.onResumed(); });
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  bool fresh() const { return process.now() - links.freshnessAdvancedAt() <= base::seconds(3); }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  ControllerLinks links;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a relay that was suspended ignores queued controller messages and reconnects") {
  CHECK(fresh());
  process.setFrozen(true);
  const auto leader = links.source();
  process.run(process.incarnation(), [this, leader] {
    if (links.owns(leader)) links.onLeader(leader, freshnessOf(2));
  });
  runFor(base::seconds(10));
  process.setFrozen(false);
  CHECK_FALSE(fresh());
  CHECK(links.source() == 0);
  CHECK(network.connected.empty());
  runFor(base::milliseconds(250));
  REQUIRE(network.connected.size() == 2);
  const auto again = network.connected.begin()->first;
  links.onOpen(again);
  CHECK(links.onLeader(again, freshnessOf(9)));
  CHECK(fresh());
}

TEST_CASE_METHOD(Fixture, "a relay whose clock stops while the machine is suspended treats stale messages as fresh") {
  process.setClockStopsWhileFrozen(true);
  process.setFrozen(true);
  runFor(base::seconds(10));
  process.setFrozen(false);
  CHECK(fresh());
}

namespace {

/// A relay's link to one controller over a network with a configurable connection delay.
struct SlowFixture : public base::ConnectionHandler {
  SlowFixture()
      : process(queue, "relay", {"zone", "region"}, {"10.0.0.9", 7001}),
        network(process),
        links(network, process, base::RandomSource(3), {{"10.0.0.1", 7000}}) {
    process.start();
    network.handler = this;
  }

  void onOpen(base::ConnectionId connection, const wire::Hello& /*peer*/) override {
    REQUIRE(links.owns(connection));
    links.onOpen(connection);
    open.insert(connection);
  }
  void onMessage(base::ConnectionId /*connection*/, wire::Message /*message*/) override {}
  void onClose(base::ConnectionId connection) override { links.onClose(connection); }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::SlowNetwork network;
  ControllerLinks links;
  std::set<base::ConnectionId> open;
};

}  // namespace

TEST_CASE_METHOD(SlowFixture, "a controller behind a link on which openings take 1.5 s is reached") {
  network.openDelay = base::milliseconds(1500);
  links.start();
  runFor(base::milliseconds(1600));
  CHECK(open.size() == 1);
  CHECK(network.connected.size() == 1);
  runFor(base::seconds(10));
  CHECK(open.size() == 1);
}

}  // namespace driftlug::relay
