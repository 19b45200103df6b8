/// Distributes endpoint states from a relay to its nodes and to other relays.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/network.h"
#include "base/time.h"
#include "membership/endpoint_directory.h"
#include "membership/peer_links.h"
#include "relay/node_sessions.h"

namespace driftlug::relay {

/// Sends a change at once after a quiet period and batches those that follow: a start of the whole fleet, a thundering
/// herd or a release causes as many changes as there are endpoints, and each message costs every node of the relay a
/// wake-up and a pass over all endpoints. With batching, the number of messages per node does not grow with the fleet,
/// and their cost to a node grows only with its endpoints.
///
/// Nodes with the same slice are sent the same frame, encoded once.
///
/// Invariant: the newest state of an endpoint is sent at most one batch delay after it arrived.
class EndpointStateDistributor {
 public:
  EndpointStateDistributor(base::Scheduler& scheduler, base::Network& network,
                           const membership::EndpointDirectory& endpoints, const NodeSessions& nodes,
                           membership::PeerLinks& peers);

  /// Queues changed states that the directory already holds.
  /// @param toPeers whether to send them to other relays too; true for states announced by this relay's own nodes
  void add(const std::vector<wire::EndpointState>& changedStates, bool toPeers);

  /// Sends states to one node.
  void sendTo(base::ConnectionId connection, const NodeSession& session,
              const std::vector<wire::EndpointState>& states);

  /// @return whether a node's slice needs the state of an endpoint.
  static bool isRelevant(const NodeSession& session, const wire::EndpointState& state);

 private:
  struct Frames {
    wire::FramePtr plain;  // null if there are no states to send
    wire::FramePtr packed;
  };

  void flush();
  static Frames encode(std::vector<wire::EndpointState> states);
  void send(base::ConnectionId connection, const NodeSession& session, const Frames& frames);

  base::Scheduler& scheduler_;
  base::Network& network_;
  const membership::EndpointDirectory& endpoints_;
  const NodeSessions& nodes_;
  membership::PeerLinks& peers_;
  std::map<std::string, wire::EndpointState> pending_;  // by endpoint
  std::set<std::string> pendingForPeers_;               // endpoints of pending_ to send to other relays
  base::TimePoint flushedAt_{};
  bool hasFlushed_ = false;
  base::Timer timer_;  // runs while changes are batched
};

}  // namespace driftlug::relay
