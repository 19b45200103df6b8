/// Sessions of the nodes attached to a relay: which revision each was sent and has applied.
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

/// Counters of messages and bytes exchanged with nodes.
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

/// State of one attached node.
struct NodeSession {
  std::string nodeId;
  std::string zone;
  std::shared_ptr<CachedSlice> slice;
  int64_t sentRevision = 0;
  int64_t appliedRevision = 0;
  bool confirmed = false;    ///< whether the node may be sent its first slice
  bool takesPacked = false;  ///< whether the node accepts packed frames
  /// Revision that must be released before a full slice is sent: the newest that this node may have applied.
  int64_t floorRevision = 0;
  base::TimePoint lastReceivedAt{};
  std::set<std::string> notifiedServices;  ///< services whose announced endpoints were sent
  bool takesCrashReports = false;
  std::set<std::string> crashNotifiedServices;  ///< services whose earlier crash reports were sent
};

/// Sends slices to nodes once they are released.
///
/// A full slice is labelled with the released revision of the table, not with the revision of the slice's last change:
/// relays that computed the slice at different times have different values for the latter, and a node that restarts
/// must not see a lower label than another relay gave it.
///
/// Invariants: a node is sent a slice only when the slice's revision is released for the node's zone and is not
/// older than what the node has; a node that does not read its connection is skipped and does not delay the others.
class NodeSessions {
 public:
  NodeSessions(base::Network& network, const ReleaseTracker& releases) : network_(network), releases_(releases) {}

  /// Adds a node that subscribed. `session.confirmed` is set if the node has a revision of its own.
  NodeSession& add(base::ConnectionId connection, NodeSession session);

  /// @return the node's session, or null.
  NodeSession* find(base::ConnectionId connection);

  /// Removes a node.
  void remove(base::ConnectionId connection);

  /// Handles the node's acknowledgement that it applied a revision.
  void onApplied(base::ConnectionId connection, int64_t revision);

  /// Handles the node's rejection of an update: it is sent the full slice.
  void onRejected(base::ConnectionId connection);

  /// Sends the node the changes that it lacks, if they are released.
  void deliver(base::ConnectionId connection);

  /// Sends all nodes the changes that they lack, where released.
  void deliverAll();

  /// Answers a subscription: a node whose digest matches the slice is sent an empty update, any other what it lacks.
  void deliverInitial(base::ConnectionId connection, const wire::Digest& nodeDigest);

  /// Sends a heartbeat to every node.
  /// @param hasLeader whether the relay follows a leader; if not, nodes that wait for their first version are sent a
  /// heartbeat without freshness, since the relay cannot confirm that version
  void heartbeat(const wire::NodeHeartbeat& heartbeat, bool hasLeader);

  /// Sends a heartbeat to one node.
  void heartbeatTo(base::ConnectionId connection, const wire::NodeHeartbeat& heartbeat);

  /// @return nodes that have not applied the newest revision of their slice.
  std::vector<wire::NodeStatus> lagging() const;

  const std::map<base::ConnectionId, NodeSession>& all() const { return sessions_; }
  std::map<base::ConnectionId, NodeSession>& all() { return sessions_; }
  const NodeSessionCounters& counters() const { return counters_; }

  /// Sends full slices instead of deltas; a baseline for experiments.
  void useFullPush(bool enabled) { fullPush_ = enabled; }

  /// Allows sending versions older than what a node has; only for the simulator, to verify that its checker detects it.
  void allowOlderVersions() { refuseOlderVersions_ = false; }

 private:
  void sendHeartbeat(base::ConnectionId connection, const wire::FramePtr& frame);
  void deliver(base::ConnectionId connection, NodeSession* session);

  base::Network& network_;
  const ReleaseTracker& releases_;
  std::map<base::ConnectionId, NodeSession> sessions_;
  NodeSessionCounters counters_;
  bool fullPush_ = false;
  bool refuseOlderVersions_ = true;
};

}  // namespace driftlug::relay
