#include "node/control_client.h"

#include <catch2/catch.hpp>

#include "control_client_fixture.h"

namespace driftlug::node {

TEST_CASE_METHOD(ControlClientFixture, "a relay whose freshness does not advance is left in time") {
  open();
  sendRelayList();
  version(1);
  int64_t round = 1;
  for (int i = 0; i < 20; ++i) {
    heartbeat(1, ++round);
    runFor(base::milliseconds(400));
  }
  CHECK(relay() == kOwnZoneRelay);
  bool left = false;
  for (int i = 0; i < 80 && !left; ++i) {
    heartbeat(1, round);
    runFor(base::milliseconds(25));
    left = current() != 0 && relay() == kOtherZoneRelay;
  }
  CHECK(left);
}

TEST_CASE_METHOD(ControlClientFixture,
                 "a node does not return to the relay that it left before its minimum stay elsewhere") {
  // Covers many seeds, since the delays are random.
  for (uint64_t source = 1; source <= 40; ++source) {
    test::RecordingNetwork own;
    ControlOptions options;
    options.nodeId = "node";
    options.zone = "zone-1";
    options.relays = {kOwnZoneRelay};
    options.nearRelays = 1;
    options.hosts = {"*"};
    ControlClient other(options, process, base::RandomSource(source), own, nullptr, nullptr);
    other.start(nullptr);
    other.onOpen(own.connected.rbegin()->first, {});
    wire::RelayList list;
    wire::RelayAddress home;
    home.address = kOwnZoneRelay.host;
    home.port = kOwnZoneRelay.port;
    home.zone = "zone-1";
    wire::RelayAddress far;
    far.address = kOtherZoneRelay.host;
    far.port = kOtherZoneRelay.port;
    far.zone = "zone-2";
    list.relays = {home, far};
    other.onMessage(own.connected.rbegin()->first, list);
    const auto first = own.connected.rbegin()->first;
    own.connected.erase(first);
    other.onClose(first);
    runFor(base::milliseconds(60));  // the first round over the relays uses a short delay
    REQUIRE(own.connected.rbegin()->second == kOtherZoneRelay);
    const auto connection = own.connected.rbegin()->first;
    other.onOpen(connection, {});
    other.onMessage(connection, list);
    wire::SliceUpdate update;
    update.full = true;
    update.toRevision = 1;
    update.digest = table::Table().digest();
    other.onMessage(connection, update);
    for (int i = 0; i < 45; ++i) {
      wire::NodeHeartbeat heartbeat;
      heartbeat.freshness.term = 1;
      heartbeat.freshness.round = i + 1;
      other.onMessage(connection, heartbeat);
      runFor(base::milliseconds(400));
    }
    REQUIRE(own.connected.count(connection) == 1);
  }
}

TEST_CASE_METHOD(ControlClientFixture, "a relay that follows an earlier leader is left at once") {
  open();
  sendRelayList();
  version(1);
  heartbeat(3, 1);
  client->onClose(current());
  network.connected.clear();
  runFor(base::milliseconds(300));
  REQUIRE(relay() == kOtherZoneRelay);
  open();
  heartbeat(0, 0);
  runFor(base::milliseconds(10));
  CHECK(relay() == kOtherZoneRelay);
  heartbeat(2, 50);
  runFor(base::milliseconds(300));
  CHECK(relay() == kOwnZoneRelay);
}

TEST_CASE_METHOD(ControlClientFixture, "seed relays from reloaded settings are tried") {
  client->onClose(current());
  network.connected.clear();
  const base::Address other{"10.0.0.7", 7001};
  client->useSeeds({other});
  runFor(base::seconds(1));
  CHECK(relay() == other);
}

TEST_CASE_METHOD(ControlClientFixture, "relays that are partitioned together are left in quick succession") {
  open();
  sendRelayList(7);
  version(1);
  heartbeat(1, 10);
  for (int i = 0; i < 6; ++i) {
    heartbeat(1, 10);
    runFor(base::milliseconds(400));
    if (relay() != kOwnZoneRelay) break;
  }
  REQUIRE(relay() != kOwnZoneRelay);
  // Three more relays are as stale; the fifth is fresh.
  for (int hop = 0; hop < 3; ++hop) {
    const auto left = relay();
    open();
    heartbeat(1, 10);
    version(1);
    runFor(base::milliseconds(100));
    CHECK(relay() != left);
  }
  const auto fresh = relay();
  open();
  heartbeat(2, 1);
  runFor(base::milliseconds(500));
  CHECK(relay() == fresh);
}

TEST_CASE_METHOD(ControlClientFixture,
                 "a relay that is partitioned too is left at once, although its freshness is slightly newer") {
  constexpr base::Duration kSincePartition = base::milliseconds(1700);
  open();
  sendRelayList(7);
  version(1);
  heartbeat(1, 10);
  for (int i = 0; i < 6 && relay() == kOwnZoneRelay; ++i) {
    heartbeat(1, 10, kSincePartition);
    runFor(base::milliseconds(400));
  }
  REQUIRE(relay() != kOwnZoneRelay);
  // Each of them received one more round of the lost leader.
  for (int hop = 1; hop <= 3; ++hop) {
    const auto left = relay();
    open();
    heartbeat(1, 10 + hop, kSincePartition + hop * base::milliseconds(100));
    version(1);
    runFor(base::milliseconds(100));
    CHECK(relay() != left);
  }
  const auto fresh = relay();
  open();
  heartbeat(2, 1, base::milliseconds(100));
  runFor(base::milliseconds(500));
  CHECK(relay() == fresh);
}

TEST_CASE_METHOD(ControlClientFixture, "the age of a heartbeat counts towards staleness") {
  open();
  sendRelayList();
  version(1);
  heartbeat(1, 9);
  runFor(base::seconds(1));
  heartbeat(1, 10, base::milliseconds(900));
  runFor(base::milliseconds(600));
  CHECK(client->fresh());
  runFor(base::milliseconds(200));
  CHECK_FALSE(client->fresh());
}

TEST_CASE_METHOD(ControlClientFixture, "a node does not cycle through the relays while the controllers are down") {
  open();
  sendRelayList();
  version(1);
  heartbeat(1, 10);
  int connections = 0;
  base::Address last = relay();
  for (int i = 0; i < 200; ++i) {
    runFor(base::milliseconds(50));
    if (network.connected.empty()) continue;  // between two relays
    if (!(relay() == last)) {
      ++connections;
      last = relay();
      open();
      version(1);
    }
    heartbeat(1, 10);
  }
  // In ten seconds, at most six departures by timeout and one fast departure for each.
  CHECK(connections <= 13);
  CHECK(connections >= 4);
}

TEST_CASE_METHOD(ControlClientFixture,
                 "an update that can't be applied is rejected once, however many deltas follow before the full slice") {
  open();
  version(1);
  const auto delta = [this](int64_t from, int64_t to, int64_t wrong) {
    wire::SliceUpdate update;
    update.fromRevision = from;
    update.toRevision = to;
    update.digest = table::Table().digest();
    update.digest.low += wrong;
    client->onMessage(current(), update);
  };
  delta(1, 2, 1);
  delta(2, 3, 0);
  delta(3, 4, 0);
  const auto refusals = [this] {
    return std::count_if(network.sent.begin(), network.sent.end(),
                         [](const auto& sent) { return std::holds_alternative<wire::SliceRejected>(sent.message); });
  };
  CHECK(refusals() == 1);
  version(4);
  CHECK(client->slices().revision() == 4);
  delta(3, 5, 0);
  CHECK(refusals() == 2);
}

TEST_CASE_METHOD(ControlClientFixture, "a node stays with a relay while a large version is being received") {
  open();
  sendRelayList();
  heartbeat(1, 1);
  const auto connection = current();
  // Heartbeats queue behind the version, on a link that takes six seconds to transfer it.
  for (int i = 0; i < 12; ++i) {
    network.partArrived = queue.now();
    runFor(base::milliseconds(500));
  }
  CHECK(current() == connection);
  network.partArrived.reset();
  version(1);
  CHECK(client->slices().revision() == 1);
}

TEST_CASE_METHOD(ControlClientFixture, "a node leaves a relay when the transfer of a version stalls") {
  open();
  sendRelayList();
  heartbeat(1, 1);
  const auto connection = current();
  network.partArrived = queue.now();
  runFor(base::seconds(4));
  CHECK(current() != connection);
}

TEST_CASE_METHOD(ControlClientFixture, "after a loss of all relays a node tries again at least once a second") {
  open();
  sendRelayList();
  version(1);
  base::TimePoint lastTry = queue.now();
  for (int i = 0; i < 400; ++i) {
    if (!network.connected.empty()) {
      lastTry = queue.now();
      const auto connection = current();
      network.connected.erase(connection);
      client->onClose(connection);
    }
    runFor(base::milliseconds(20));
    CHECK(queue.now() - lastTry <= base::seconds(1));
  }
}

TEST_CASE_METHOD(ControlClientFixture, "a relay that does not answer is not waited for when there are others") {
  open();
  sendRelayList();
  client->onClose(current());
  runFor(base::milliseconds(60));  // the next one is tried at once
  const auto silent = current();
  REQUIRE(silent != 0);
  base::ConnectionId latest = silent;
  for (int i = 0; i < 14; ++i) {
    runFor(base::milliseconds(50));
    latest = std::max(latest, current());
  }
  CHECK(latest > silent);
}

TEST_CASE_METHOD(ControlClientFixture,
                 "a node without a version doesn't wait long for a relay that knows of no leader") {
  open();
  sendRelayList();
  heartbeat(0, 0);
  const auto until = queue.now() + base::milliseconds(1000);
  while (queue.now() < until && (current() == 0 || relay() == kOwnZoneRelay)) runFor(base::milliseconds(10));
  REQUIRE(current() != 0);
  CHECK(relay() == kOtherZoneRelay);
  // A relay that knows of a leader gets the full timeout, since its version may be in flight.
  open();
  heartbeat(2, 7);
  runFor(base::milliseconds(1400));
  CHECK(relay() == kOtherZoneRelay);
  version(1);
}

TEST_CASE_METHOD(ControlClientFixture, "the time for each relay grows while no relay knows of a leader") {
  open();
  sendRelayList();
  std::vector<base::Duration> stays;
  for (int i = 0; i < 8; ++i) {
    heartbeat(0, 0);
    const auto begun = queue.now();
    const auto at = current();
    while (current() == at && queue.now() - begun < base::seconds(5)) runFor(base::milliseconds(10));
    stays.push_back(queue.now() - begun);
    while (current() == 0 || network.connected.empty()) runFor(base::milliseconds(10));
    open();
  }
  CHECK(stays.front() < base::milliseconds(900));
  CHECK(stays.back() > base::milliseconds(1500));
}

TEST_CASE_METHOD(ControlClientFixture,
                 "the time for a connection attempt grows, so that relays behind slow links are reached") {
  constexpr base::Duration kSlow = base::milliseconds(1200);
  bool reached = false;
  for (int i = 0; i < 100 && !reached; ++i) {
    const auto tried = current();
    runFor(kSlow / 20);
    base::Duration held = kSlow / 20;
    while (tried != 0 && current() == tried && held < kSlow) {
      runFor(kSlow / 20);
      held += kSlow / 20;
    }
    reached = held >= kSlow;
  }
  CHECK(reached);
}

namespace {

/// A network on which each connection needs a handshake time, and fails if its timeout is shorter.
class SlowNetwork : public test::RecordingNetwork {
 public:
  static constexpr base::Duration kOwnTimeout = base::milliseconds(700);  // default of the transport

  SlowNetwork(base::Scheduler& scheduler, base::Duration handshake) : scheduler_(scheduler), handshake_(handshake) {}

  base::ConnectionId connect(const base::Address& address) override { return connectWithTimeout(address, kOwnTimeout); }
  base::ConnectionId connectWithTimeout(const base::Address& address, base::Duration timeout) override {
    const auto id = test::RecordingNetwork::connect(address);
    const bool reached = handshake_ < timeout && answers;
    scheduler_.schedule(reached ? handshake_ : timeout, [this, id, reached] {
      if (connected.count(id) == 0) return;
      if (reached) return client->onOpen(id, {});
      connected.erase(id);
      client->onClose(id);
    });
    maxConcurrentAttempts = std::max(maxConcurrentAttempts, connected.size());
    return id;
  }

  ControlClient* client = nullptr;
  bool answers = true;  // whether attempts from now on are answered
  size_t maxConcurrentAttempts = 0;

 private:
  base::Scheduler& scheduler_;
  base::Duration handshake_;
};

/// A node that knows five relays, behind a link with a given handshake time.
struct SlowLinkFixture : ControlClientFixture {
  void begin(base::Duration handshake) {
    slow = std::make_unique<SlowNetwork>(process, handshake);
    ControlOptions options;
    options.nodeId = "node";
    options.zone = "zone-1";
    for (int i = 1; i <= 5; ++i) options.relays.push_back({"10.0.1." + std::to_string(i), 7001});
    options.nearRelays = 1;
    options.hosts = {"*"};
    options.staleAfter = base::milliseconds(1600);
    served = std::make_unique<ControlClient>(options, process, base::RandomSource(seed), *slow, nullptr, nullptr);
    slow->client = served.get();
    served->start(nullptr);
  }

  void runUntilConnected(base::Duration longest) {
    const auto until = queue.now() + longest;
    while (!served->connected() && queue.now() < until) runFor(base::milliseconds(20));
  }

  void receiveVersion() {
    wire::SliceUpdate update;
    update.full = true;
    update.toRevision = 1;
    update.digest = table::Table().digest();
    served->onMessage(slow->connected.rbegin()->first, update);
  }

  void loseRelay() {
    const auto lost = slow->connected.rbegin()->first;
    slow->connected.erase(lost);
    served->onClose(lost);
  }

  std::unique_ptr<SlowNetwork> slow;
  std::unique_ptr<ControlClient> served;
};

}  // namespace

// Guards against nodes that serve a version 8 s out of date while they report to be ready. A node whose relay lost
// power closed each connection attempt after the transport's timeout of 0.7 s, although its own timeout grew with each
// round. Every new attempt queued again at the end of a congested link with more than 0.7 s of queued bytes, so none of
// the four healthy relays was reached: one node made ten attempts from 27.8 s to 35.4 s, two to each relay and 0.70 to
// 0.95 s apart, while its freshness aged from 375 to 7960 ms.
TEST_CASE_METHOD(SlowLinkFixture, "a node behind a congested link reconnects to a relay within two handshakes") {
  constexpr base::Duration kHandshake = base::milliseconds(1200);
  begin(kHandshake);
  runUntilConnected(base::seconds(10));
  REQUIRE(served->connected());
  receiveVersion();
  CHECK(served->slices().revision() == 1);
  loseRelay();
  const auto lostAt = queue.now();
  runUntilConnected(base::seconds(10));
  REQUIRE(served->connected());
  CHECK(queue.now() - lostAt <= 2 * kHandshake);
  runFor(base::seconds(4));
  CHECK(slow->connected.size() == 1);  // the parallel attempts are closed
}

TEST_CASE_METHOD(SlowLinkFixture, "relays that don't answer are tried in parallel, a few at a time") {
  begin(base::milliseconds(50));
  runUntilConnected(base::seconds(1));
  receiveVersion();
  slow->answers = false;
  loseRelay();
  runFor(base::seconds(20));
  CHECK(!served->connected());
  CHECK(slow->maxConcurrentAttempts <= 4);
  slow->answers = true;
  const auto backAt = queue.now();
  runUntilConnected(base::seconds(5));
  REQUIRE(served->connected());
  CHECK(queue.now() - backAt <= base::milliseconds(2000));
}

}  // namespace driftlug::node
