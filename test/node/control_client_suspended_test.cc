/// A node whose machine is suspended or whose process is stopped.
#include <catch2/catch.hpp>

#include "control_client_fixture.h"

namespace driftlug::node {
namespace {

/// A relay's heartbeat that is sent while the node's machine is suspended, and read after the resume.
struct SuspendedFixture : ControlClientFixture {
  void suspendFor(base::Duration duration) {
    open();
    sendRelayList();
    version(1);
    heartbeat(1, 2);
    runFor(base::milliseconds(100));
    process.onResumed([this] { client->onResumed(); });
    process.setFrozen(true);
    const auto connection = current();
    // Arrives during the suspension and waits in the socket.
    process.run(process.incarnation(), [this, connection] {
      wire::NodeHeartbeat staleHeartbeat;
      staleHeartbeat.freshness.term = 1;
      staleHeartbeat.freshness.round = 3;
      client->onMessage(connection, staleHeartbeat);
    });
    runFor(duration);
    process.setFrozen(false);
  }
};

}  // namespace

TEST_CASE_METHOD(SuspendedFixture,
                 "after a suspension, a node considers neither earlier heartbeats nor queued ones as fresh") {
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
                 "after a suspension shorter than the relay timeout, a node subscribes again at once") {
  suspendFor(base::milliseconds(1200));
  REQUIRE(current() != 0);
  open();
  CHECK(network.all<wire::NodeSubscribe>().size() == 2);
}

TEST_CASE_METHOD(SuspendedFixture,
                 "with a clock that stops during a suspension, a node considers an old heartbeat as fresh") {
  process.setClockStopsWhileFrozen(true);
  suspendFor(base::seconds(10));
  CHECK(client->fresh());
}

TEST_CASE_METHOD(SuspendedFixture, "a short pause without CPU time changes nothing") {
  suspendFor(base::milliseconds(600));
  CHECK(client->fresh());
  CHECK(network.all<wire::NodeSubscribe>().size() == 1);
}

TEST_CASE_METHOD(ControlClientFixture, "a node that was stopped keeps a relay whose heartbeats are queued to be read") {
  open();
  sendRelayList();
  version(1);
  heartbeat(1, 2);
  runFor(base::milliseconds(100));
  process.setFrozen(true);
  const auto connection = current();
  for (int64_t round = 3; round < 8; ++round) {
    runFor(base::milliseconds(380));
    process.run(process.incarnation(), [this, connection, round] {
      wire::NodeHeartbeat queuedHeartbeat;
      queuedHeartbeat.freshness.term = 1;
      queuedHeartbeat.freshness.round = round;
      client->onMessage(connection, queuedHeartbeat);
    });
  }
  process.setFrozen(false);
  runFor(base::milliseconds(300));
  CHECK(current() == connection);
  CHECK(client->fresh());
}

}  // namespace driftlug::node
