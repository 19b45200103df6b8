/// Nodes attached to a relay: what each was sent and has in force.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/network.h"
#include "base/time.h"
#include "relay/release_group.h"
#include "relay/slice_cache.h"

namespace driftlug::relay {

/// Counters of the bytes and messages exchanged with nodes.
struct NodeSessionCounters {
  int64_t subscriptions = 0;
  int64_t updates = 0;
  int64_t updateBytes = 0;
  int64_t fullUpdates = 0;
  int64_t fullBytes = 0;
  int64_t heartbeatBytes = 0;
  int64_t rejected = 0;
  int64_t skippedSlowReader = 0;
};

/// One attached node.
struct NodeSession {
  std::string nodeId;
  std::string zone;
  std::shared_ptr<CachedSlice> slice;
  int64_t sentRevision = 0;
  int64_t appliedRevision = 0;
  bool confirmed = false;    ///< whether the node may be sent its first slice
  bool takesPacked = false;  ///< whether the node unpacks frames
  /// Revision that must be released before a whole slice is sent: the newest that this node may have run.
  int64_t floorRevision = 0;
  base::TimePoint lastReceivedAt{};
  std::set<std::string> notifiedServices;  ///< whose announced endpoints the node was told of
  bool takesCrashReports = false;
  std::set<std::string> crashNotifiedServices;  ///< services whose crashes before its time the node was told of
};

/// Sends slices to nodes once they are released.
///
/// A whole slice is labelled with the released revision of the table, not with the slice's last change: a slice that
/// a relay computed late has a late revision of its own, and a node that restarts must not see a lower label than
/// another relay gave it.
///
/// Invariants: a node is sent a slice only when the slice's revision is released for the node's zone and is not
/// older than what the node has; a node that does not read is skipped, not waited for.
class NodeSessions {
 public:
  NodeSessions(base::Network& network, const ReleaseTracker& releases) : network_(network), releases_(releases) {}

  /// A node subscribed; `confirmed` tells whether it remembers a revision of its own.
  NodeSession& add(base::ConnectionId connection, NodeSession session);

  /// @return the node's session, or null.
  NodeSession* find(base::ConnectionId connection);

  /// Forgets a node.
  void remove(base::ConnectionId connection);

  /// The node has a revision in force.
  void onApplied(base::ConnectionId connection, int64_t revision);

  /// The node refused an update; it is sent everything.
  void onRejected(base::ConnectionId connection);

  /// Sends the node what it lacks, if that is released.
  void deliver(base::ConnectionId connection);

  /// Sends all nodes what they lack.
  void deliverAll();

  /// Answers a subscription of a node that is already up to date.
  void deliverInitial(base::ConnectionId connection, const wire::Digest& nodeDigest);

  /// Sends a heartbeat to every node.
  /// @param hasLeader whether the relay follows a leader now; where it doesn't, nodes that wait for their first version
  /// are told of none, since the relay can't confirm it
  void heartbeat(const wire::NodeHeartbeat& heartbeat, bool hasLeader);

  /// Tells one node how fresh the table is.
  void heartbeatTo(base::ConnectionId connection, const wire::NodeHeartbeat& heartbeat);

  /// @return nodes whose slice has changed beyond what they have in force.
  std::vector<wire::NodeStatus> lagging() const;

  const std::map<base::ConnectionId, NodeSession>& all() const { return sessions_; }
  std::map<base::ConnectionId, NodeSession>& all() { return sessions_; }
  const NodeSessionCounters& counters() const { return counters_; }

  /// Sends whole slices instead of deltas; a baseline for experiments.
  void useFullPush(bool enabled) { fullPush_ = enabled; }

  /// Sends versions older than what a node has; only to prove in the simulator that a checker notices.
  void allowOlderVersions() { refuseOlder_ = false; }

 private:
  void sendHeartbeat(base::ConnectionId connection, const wire::FramePtr& frame);
  void deliver(base::ConnectionId connection, NodeSession* session);

  base::Network& network_;
  const ReleaseTracker& releases_;
  std::map<base::ConnectionId, NodeSession> sessions_;
  NodeSessionCounters counters_;
  bool fullPush_ = false;
  bool refuseOlder_ = true;
};

}  // namespace driftlug::relay
