/// News of endpoints on their way from a relay to its nodes and to other relays.
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

/// Sends news at once after a calm time, and gathers what follows: a start of the whole fleet, a herd or a release
/// brings as many news as there are endpoints, and each message costs every node of the relay a wake-up and a pass over
/// all endpoints. With gathering, the messages that a node gets do not grow with the fleet, and what they cost it grows
/// with its endpoints only.
///
/// Nodes with the same slice get the same frame, encoded once.
///
/// Invariant: of an endpoint the newest state leaves, at most the gathering time after it came.
class EndpointStateDistributor {
 public:
  EndpointStateDistributor(base::Scheduler& scheduler, base::Network& network,
                           const membership::EndpointDirectory& endpoints, const NodeSessions& nodes,
                           membership::PeerLinks& peers);

  /// Takes news of which the directory holds the newest state.
  /// @param toPeers whether other relays are told too: of what this relay's own nodes say
  void add(const std::vector<wire::EndpointState>& changedStates, bool toPeers);

  /// Sends states to one node.
  void sendTo(base::ConnectionId connection, const NodeSession& session,
              const std::vector<wire::EndpointState>& states);

  /// @return whether a node needs the state of an endpoint.
  static bool isRelevant(const NodeSession& session, const wire::EndpointState& state);

 private:
  struct Frames {
    wire::FramePtr plain;  // null where there is nothing to tell
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
  std::set<std::string> pendingForPeers_;               // endpoints of waiting_ that other relays are told of
  base::TimePoint flushedAt_{};
  bool hasFlushed_ = false;
  base::Timer timer_;  // runs while news are gathered
};

}  // namespace driftlug::relay
