#include <catch2/catch.hpp>

#include "../node/recording_network.h"
#include "relay/source.h"
#include "simulation/process.h"

namespace driftlug::relay {
namespace {

wire::Freshness freshnessOf(int64_t round) {
  wire::Freshness freshness;
  freshness.term = 1;
  freshness.round = round;
  return freshness;
}

/// A relay's links to two controllers, of which the first leads.
struct Fixture {
  Fixture()
      : process(queue, "relay", {"zone", "region"}, {"10.0.0.9", 7001}),
        links(network, process, base::RandomSource(3), {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}}) {
    process.start();
    links.start();
    for (const auto& [connection, address] : network.connected) links.onOpen(connection);
    links.onLeader(network.connected.begin()->first, freshnessOf(1));
    process.onAway([this] { links.onAway(); });
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  bool fresh() const { return process.now() - links.freshSince() <= base::seconds(3); }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  ControllerLinks links;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a relay that was suspended reads no word of controllers that has waited, and asks anew") {
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

TEST_CASE_METHOD(Fixture, "a relay on a clock that stands while the machine is suspended believes old word") {
  process.letClockStand(true);
  process.setFrozen(true);
  runFor(base::seconds(10));
  process.setFrozen(false);
  CHECK(fresh());
}

}  // namespace driftlug::relay
