#include <catch2/catch.hpp>

#include "node/control_client.h"
#include "recording_network.h"
#include "simulation/process.h"
#include "simulation/simulated_disk.h"

namespace driftlug::node {
namespace {

const base::Address kRelay{"10.0.0.1", 7001};
constexpr base::Duration kSettled = base::milliseconds(100);  // far above the longest sync of a simulated disk

/// One machine with a disk: its node dies and starts again, with and without a loss of power.
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
        [this](const routing::RoutingTablePtr&) { newest = std::max(newest, client->slices().revision()); }, nullptr);
    client->start(&disk);
  }

  void stopNode(bool powerLost) {
    process.kill();
    client.reset();
    network.connected.clear();
    if (powerLost) disk.crash();
  }

  /// @return whether an event ran within the time.
  bool step() { return queue.runNext(queue.now() + kSettled); }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  /// The relay sends a whole slice.
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

  /// @return whether the node serves nothing that is older than what it has served.
  bool neverServedOlder() const { return servedRevision() == 0 || servedRevision() >= newest; }

  simulation::EventQueue queue;
  base::RandomSource random;
  simulation::Process process;
  simulation::SimulatedDisk disk;
  test::RecordingNetwork network;
  std::unique_ptr<ControlClient> client;
  int64_t newest = 0;  // of the revisions that the node has served
};

constexpr uint64_t kSeeds = 40;  // what a loss of power undoes is drawn

}  // namespace

TEST_CASE("a node that died while it kept a version does not serve an older one after a loss of power") {
  constexpr int kMaxEvents = 12;  // events from the update to the version in force, and some more
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
      INFO("seed " << seed << ", event " << eventCount << ": " << machine.newest << " back to "
                   << machine.servedRevision());
      CHECK(machine.neverServedOlder());
    }
  }
}

TEST_CASE("a version that a full disk can't take leaves no older one behind") {
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
    INFO("seed " << seed << ": " << machine.newest << " back to " << machine.servedRevision());
    CHECK(machine.neverServedOlder());
  }
}

TEST_CASE("a version waits for a disk that can neither keep it nor drop the one before") {
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
    INFO("seed " << seed << ": " << machine.newest << " back to " << machine.servedRevision());
    CHECK(machine.neverServedOlder());
  }
}

TEST_CASE("a node whose disk fails at its start serves nothing that the disk could undo") {
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
    INFO("seed " << seed << ": " << machine.newest << " back to " << machine.servedRevision());
    CHECK(machine.neverServedOlder());
  }
}

}  // namespace driftlug::node
