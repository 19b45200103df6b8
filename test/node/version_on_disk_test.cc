#include <catch2/catch.hpp>

#include "node/control_client.h"
#include "recording_network.h"
#include "simulation/process.h"
#include "simulation/simulated_disk.h"

namespace driftlug::node {
namespace {

const base::Address kRelay{"10.0.0.1", 7001};
constexpr base::Duration kSettled = base::milliseconds(100);  // far longer than any sync of a simulated disk

/// A machine with a disk whose node stops and restarts, with or without a power loss.
struct Machine {
  explicit Machine(uint64_t seed)
      : random(seed),
        process(queue, "node", {"zone-1", "region"}, {"10.0.0.9", 7000}),
        disk(process, base::RandomSource(random.bits()), {}) {
    start();
  }

  void start() {
    process.start();
    ControlOptions options;
    options.nodeId = "node";
    options.zone = "zone-1";
    options.relays = {kRelay};
    options.nearRelays = 1;
    options.hosts = {"*"};
    client = std::make_unique<ControlClient>(
        options, process, base::RandomSource(random.bits()), network,
        [this](const routing::RoutingTablePtr&) { newestServed = std::max(newestServed, client->slices().revision()); },
        nullptr);
    client->start(&disk);
  }

  void stopNode(bool powerLost) {
    process.kill();
    client.reset();
    network.connected.clear();
    if (powerLost) disk.crash();
  }

  /// @return whether an event ran within kSettled.
  bool step() { return queue.runNext(queue.now() + kSettled); }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  /// Sends a full slice as the relay.
  void send(int64_t revision) {
    const auto connection = network.connected.rbegin()->first;
    if (!client->connected()) client->onOpen(connection, {});
    wire::SliceUpdate update;
    update.full = true;
    update.toRevision = revision;
    update.digest = table::Table().digest();
    client->onMessage(connection, update);
  }

  int64_t servedRevision() const { return client->slices().active() ? client->slices().revision() : 0; }

  /// @return whether the node does not serve an older version than before.
  bool neverServedOlder() const { return servedRevision() == 0 || servedRevision() >= newestServed; }

  simulation::EventQueue queue;
  base::RandomSource random;
  simulation::Process process;
  simulation::SimulatedDisk disk;
  test::RecordingNetwork network;
  std::unique_ptr<ControlClient> client;
  int64_t newestServed = 0;  // newest revision that the node has served
};

constexpr uint64_t kSeeds = 40;  // the writes that a power loss undoes are random

}  // namespace

TEST_CASE("a node that stopped while storing a version does not serve an older one after a power loss") {
  constexpr int kMaxEvents = 12;  // events until the version is active, and a few more
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (int eventCount = 0; eventCount <= kMaxEvents; ++eventCount) {
      Machine machine(seed);
      machine.runFor(kSettled);
      machine.send(1);
      machine.runFor(kSettled);
      REQUIRE(machine.servedRevision() == 1);
      machine.send(2);
      for (int i = 0; i < eventCount; ++i) machine.step();
      machine.stopNode(false);
      machine.start();
      machine.runFor(kSettled);
      CHECK(machine.servedRevision() > 0);
      CHECK(machine.neverServedOlder());
      machine.stopNode(true);
      machine.start();
      machine.runFor(kSettled);
      INFO("seed " << seed << ", event " << eventCount << ": " << machine.newestServed << " back to "
                   << machine.servedRevision());
      CHECK(machine.neverServedOlder());
    }
  }
}

TEST_CASE("a version that does not fit on a full disk leaves no older version stored") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Machine machine(seed);
    machine.runFor(kSettled);
    machine.send(1);
    machine.runFor(kSettled);
    machine.disk.setFull(true);
    machine.send(2);
    machine.runFor(kSettled);
    CHECK(machine.servedRevision() == 2);
    machine.stopNode(true);
    machine.start();
    machine.runFor(kSettled);
    INFO("seed " << seed << ": " << machine.newestServed << " back to " << machine.servedRevision());
    CHECK(machine.neverServedOlder());
  }
}

TEST_CASE("a version is not activated while a failing disk can neither store it nor remove the previous one") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Machine machine(seed);
    machine.runFor(kSettled);
    machine.send(1);
    machine.runFor(kSettled);
    machine.disk.setFailing(true);
    machine.send(2);
    machine.runFor(base::seconds(3));
    const bool healed = seed % 2 == 0;
    if (healed) {
      machine.disk.setFailing(false);
      machine.runFor(base::seconds(1));
      CHECK(machine.servedRevision() == 2);
    }
    machine.stopNode(true);
    machine.start();
    machine.runFor(kSettled);
    INFO("seed " << seed << ": " << machine.newestServed << " back to " << machine.servedRevision());
    CHECK(machine.neverServedOlder());
  }
}

TEST_CASE("a node whose disk fails at its start serves no version that a power loss could undo") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Machine machine(seed);
    machine.runFor(kSettled);
    machine.send(1);
    machine.runFor(kSettled);
    machine.stopNode(false);
    machine.disk.setFailing(true);
    machine.start();
    machine.runFor(base::seconds(3));
    CHECK(machine.servedRevision() == 0);
    if (!machine.network.connected.empty()) machine.send(2);
    machine.runFor(kSettled);
    const bool healed = seed % 2 == 0;
    if (healed) {
      machine.disk.setFailing(false);
      machine.runFor(base::seconds(1));
      REQUIRE(!machine.network.connected.empty());
      machine.send(3);
      machine.runFor(kSettled);
      CHECK(machine.servedRevision() == 3);
    }
    machine.stopNode(true);
    machine.start();
    machine.runFor(kSettled);
    INFO("seed " << seed << ": " << machine.newestServed << " back to " << machine.servedRevision());
    CHECK(machine.neverServedOlder());
  }
}

}  // namespace driftlug::node
