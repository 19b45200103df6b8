/// Fixture for a node's control connection, on a virtual clock.
#pragma once

#include <memory>

#include "node/control_client.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {

inline const base::Address kOwnZoneRelay{"10.0.0.1", 7001};
inline const base::Address kOtherZoneRelay{"10.0.0.2", 7001};

/// A node with one seed relay, which sends it a list of relays in two zones.
struct ControlClientFixture {
  ControlClientFixture() : process(queue, "node", {"zone-1", "region"}, {"10.0.0.9", 7000}) {
    process.start();
    ControlOptions options;
    options.nodeId = "node";
    options.zone = "zone-1";
    options.relays = {kOwnZoneRelay};
    options.nearRelays = 1;
    options.hosts = {"*"};
    options.staleAfter = base::milliseconds(1600);
    client = std::make_unique<ControlClient>(options, process, base::RandomSource(seed), network, nullptr, nullptr);
    client->start(nullptr);
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  /// @return the connection in use.
  base::ConnectionId current() const { return network.connected.empty() ? 0 : network.connected.rbegin()->first; }
  base::Address relay() const { return network.connected.at(current()); }

  void open() { client->onOpen(current(), {}); }

  static wire::RelayAddress relayAt(const base::Address& address, const std::string& zone) {
    wire::RelayAddress entry;
    entry.address = address.host;
    entry.port = address.port;
    entry.zone = zone;
    return entry;
  }

  void sendRelayList() {
    wire::RelayList list;
    list.relays = {relayAt(kOwnZoneRelay, "zone-1"), relayAt(kOtherZoneRelay, "zone-2")};
    client->onMessage(current(), list);
  }

  /// Sends a list of the relay in the own zone and others in another zone.
  void sendRelayList(int count) {
    wire::RelayList list;
    list.relays.push_back(relayAt(kOwnZoneRelay, "zone-1"));
    for (int i = 2; i <= count; ++i) list.relays.push_back(relayAt({"10.0.0." + std::to_string(i), 7001}, "zone-2"));
    client->onMessage(current(), list);
  }

  void heartbeat(int64_t term, int64_t round, base::Duration age = base::Duration(0)) {
    wire::NodeHeartbeat heartbeat;
    heartbeat.freshness.term = term;
    heartbeat.freshness.round = round;
    heartbeat.ageMs = base::millisecondsOf(age);
    client->onMessage(current(), heartbeat);
  }

  void version(int64_t revision) {
    wire::SliceUpdate update;
    update.full = true;
    update.toRevision = revision;
    update.digest = table::Table().digest();
    client->onMessage(current(), update);
  }

  static constexpr uint64_t seed = 5;
  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  std::unique_ptr<ControlClient> client;
};

}  // namespace driftlug::node
