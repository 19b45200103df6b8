/// Counts the endpoint state messages from a relay to its nodes at two fleet sizes.
#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "node/recording_network.h"
#include "relay/endpoint_state_distributor.h"
#include "simulation/process.h"

namespace driftlug::relay {
namespace {

constexpr base::ConnectionId kFirstNode = 100;
constexpr int kNodes = 4;

/// A relay's nodes, all with routes to one service.
struct Fixture {
  Fixture() : process(queue, "relay", {"zone-1", "region"}, {"10.0.0.1", 7001}) {
    process.start();
    wire::Row service;
    service.key = table::makeKey(wire::RowKind::SERVICE, "s-1");
    service.revision = 1;
    service.__isset.serviceRow = true;
    rows.put(table::storeRow(service));
    const auto slice = std::make_shared<CachedSlice>(table::Interest{{}, {"s-1"}}, rows);
    for (int i = 0; i < kNodes; ++i) {
      NodeSession session;
      session.nodeId = "node-" + std::to_string(i);
      session.slice = slice;
      nodes.add(kFirstNode + i, session);
    }
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  /// Announces endpoints one after the other within a time.
  void announce(int endpoints, base::Duration within) {
    for (int i = 0; i < endpoints; ++i) {
      wire::EndpointState state;
      state.endpoint = "i-" + std::to_string(i);
      state.serviceName = "s-1";
      state.condition = wire::EndpointCondition::LIVE;
      state.incarnation = 1;
      state.sequence = 1;
      state.address = "10.0.0.5";
      state.port = 7000;
      directory.update(state, "origin");
      distributor.add({state}, true);
      runFor(within / endpoints);
    }
    runFor(base::seconds(1));
  }

  size_t messagesTo(base::ConnectionId node) const {
    size_t count = 0;
    for (const auto& sent : network.sent) {
      count += sent.connection == node && std::holds_alternative<wire::EndpointStates>(sent.message) ? 1 : 0;
    }
    return count;
  }

  size_t statesTo(base::ConnectionId node) const {
    size_t count = 0;
    for (const auto& sent : network.sent) {
      const auto* states = std::get_if<wire::EndpointStates>(&sent.message);
      if (sent.connection == node && states != nullptr) count += states->states.size();
    }
    return count;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  table::Table rows;
  ReleaseTracker releases{"relay", {}};
  NodeSessions nodes{network, releases};
  membership::EndpointDirectory directory;
  membership::PeerLinks peers{network, process, base::RandomSource(1)};
  EndpointStateDistributor distributor{process, network, directory, nodes, peers};
};

size_t messagesPerNodeAtStartOf(int endpoints) {
  Fixture fixture;
  fixture.announce(endpoints, base::seconds(1));
  for (int i = 0; i < kNodes; ++i) CHECK(fixture.statesTo(kFirstNode + i) == static_cast<size_t>(endpoints));
  return fixture.messagesTo(kFirstNode);
}

}  // namespace

TEST_CASE("the messages that a node gets at a start of the fleet do not grow with the fleet") {
  CHECK(messagesPerNodeAtStartOf(2000) <= messagesPerNodeAtStartOf(250));
}

TEST_CASE_METHOD(Fixture, "a change after a quiet period is sent at once") {
  announce(1, base::Duration(0));
  const auto before = messagesTo(kFirstNode);
  wire::EndpointState state;
  state.endpoint = "i-0";
  state.serviceName = "s-1";
  state.condition = wire::EndpointCondition::DRAINING;
  state.incarnation = 1;
  state.sequence = 2;
  state.address = "10.0.0.5";
  directory.update(state, "origin");
  distributor.add({state}, true);
  CHECK(messagesTo(kFirstNode) == before + 1);
}

TEST_CASE_METHOD(Fixture, "of an endpoint that changes within the batch delay only the newest state is sent") {
  announce(800, base::milliseconds(1));
  network.sent.clear();
  wire::EndpointState state;
  state.endpoint = "i-1";
  state.serviceName = "s-1";
  state.incarnation = 1;
  state.address = "10.0.0.5";
  for (int i = 2; i < 6; ++i) {
    state.sequence = i;
    state.condition = i % 2 == 0 ? wire::EndpointCondition::DRAINING : wire::EndpointCondition::LIVE;
    directory.update(state, "origin");
    distributor.add({state}, false);
  }
  runFor(base::seconds(1));
  // The first change is sent at once, the three that follow as one.
  CHECK(statesTo(kFirstNode) == 2);
}

}  // namespace driftlug::relay
