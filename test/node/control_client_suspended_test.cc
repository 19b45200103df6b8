/// A node whose machine was suspended.
#include <catch2/catch.hpp>

#include "control_client_fixture.h"

namespace driftlug::node {
namespace {

/// A relay's word that was sent while the node's machine was suspended, and read after it.
struct SuspendedFixture : ControlClientFixture {
  void suspendFor(base::Duration duration) {
    open();
    tellRelays();
    version(1);
    heartbeat(1, 2);
    runFor(base::milliseconds(100));
    process.onAway([this] { client->onAway(); });
    process.setFrozen(true);
    const auto connection = current();
    // Arrives, and waits in the socket.
    process.run(process.incarnation(), [this, connection] {
      wire::NodeHeartbeat old;
      old.freshness.term = 1;
      old.freshness.round = 3;
      client->onMessage(connection, old);
    });
    runFor(duration);
    process.setFrozen(false);
  }
};

}  // namespace

TEST_CASE_METHOD(SuspendedFixture,
                 "a node that was suspended takes nothing for fresh that it heard before or that has waited") {
  suspendFor(base::seconds(10));
  CHECK_FALSE(client->fresh());
  runFor(base::seconds(1));
  REQUIRE(current() != 0);
  open();
  CHECK(network.all<wire::NodeSubscribe>().size() == 2);
  heartbeat(1, 4);
  CHECK(client->fresh());
}

TEST_CASE_METHOD(SuspendedFixture,
                 "a node that was suspended for less than its relay may be silent asks it anew at once") {
  suspendFor(base::milliseconds(1200));
  REQUIRE(current() != 0);
  open();
  CHECK(network.all<wire::NodeSubscribe>().size() == 2);
}

TEST_CASE_METHOD(SuspendedFixture,
                 "on a clock that stands while the machine is suspended the same node believes old word") {
  process.setClockStopsWhileFrozen(true);
  suspendFor(base::seconds(10));
  CHECK(client->fresh());
}

TEST_CASE_METHOD(SuspendedFixture, "a moment without a processor changes nothing") {
  suspendFor(base::milliseconds(600));
  CHECK(client->fresh());
  CHECK(network.all<wire::NodeSubscribe>().size() == 1);
}

TEST_CASE_METHOD(ControlClientFixture, "a node that stood still stays with a relay whose word waits to be read") {
  open();
  tellRelays();
  version(1);
  heartbeat(1, 2);
  runFor(base::milliseconds(100));
  process.setFrozen(true);
  const auto connection = current();
  for (int64_t round = 3; round < 8; ++round) {
    runFor(base::milliseconds(380));
    process.run(process.incarnation(), [this, connection, round] {
      wire::NodeHeartbeat word;
      word.freshness.term = 1;
      word.freshness.round = round;
      client->onMessage(connection, word);
    });
  }
  process.setFrozen(false);
  runFor(base::milliseconds(300));
  CHECK(current() == connection);
  CHECK(client->fresh());
}

}  // namespace driftlug::node
