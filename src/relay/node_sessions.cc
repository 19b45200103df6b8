#include "relay/node_sessions.h"

namespace driftlug::relay {
namespace {

/// A node with more bytes queued is sent no further slices until it has read them.
constexpr size_t kMaxQueuedBytes = 1 << 20;

}  // namespace

NodeSession& NodeSessions::add(base::ConnectionId connection, NodeSession session) {
  ++counters_.subscriptions;
  return sessions_[connection] = std::move(session);
}

NodeSession* NodeSessions::find(base::ConnectionId connection) {
  const auto found = sessions_.find(connection);
  return found == sessions_.end() ? nullptr : &found->second;
}

void NodeSessions::remove(base::ConnectionId connection) { sessions_.erase(connection); }

void NodeSessions::onApplied(base::ConnectionId connection, int64_t revision) {
  auto* session = find(connection);
  if (session == nullptr) return;
  session->appliedRevision = std::max(session->appliedRevision, revision);
  deliver(connection, session);
}

void NodeSessions::onRejected(base::ConnectionId connection) {
  auto* session = find(connection);
  if (session == nullptr) return;
  ++counters_.rejected;
  session->sentRevision = 0;
  deliver(connection, session);
}

void NodeSessions::deliver(base::ConnectionId connection) {
  if (auto* session = find(connection)) deliver(connection, session);
}

void NodeSessions::deliver(base::ConnectionId connection, NodeSession* session) {
  if (!session->confirmed) return;
  const int64_t target = session->slice->revision();
  const int64_t released = releases_.released(session->zone);
  const bool older = target < session->appliedRevision || released < session->appliedRevision;
  if (session->sentRevision >= target || released < target || (refuseOlderVersions_ && older)) return;
  if (network_.queuedBytes(connection) > kMaxQueuedBytes) {
    ++counters_.skippedSlowReader;
    return;
  }
  const bool full = session->sentRevision == 0 || fullPush_;
  if (full && released < session->floorRevision) return;
  const auto frame = full ? session->slice->fullFrame(released, session->takesPacked)
                          : session->slice->deltaFrame(session->sentRevision, session->takesPacked);
  network_.send(connection, frame);
  ++counters_.updates;
  counters_.updateBytes += static_cast<int64_t>(frame->size());
  if (full) {
    ++counters_.fullUpdates;
    counters_.fullBytes += static_cast<int64_t>(frame->size());
  }
  session->sentRevision = full ? released : target;
}

void NodeSessions::deliverAll() {
  for (auto& [connection, session] : sessions_) deliver(connection, &session);
}

void NodeSessions::deliverInitial(base::ConnectionId connection, const wire::Digest& nodeDigest) {
  auto* session = find(connection);
  if (session == nullptr || !session->confirmed) return;
  const bool current = session->appliedRevision > 0 && nodeDigest == session->slice->slice().digest();
  const int64_t revision = std::max(session->appliedRevision, session->slice->revision());
  if (!current && !refuseOlderVersions_) {
    session->sentRevision = 0;
    session->appliedRevision = 0;
  }
  if (!current || releases_.released(session->zone) < revision) return deliver(connection, session);
  wire::SliceUpdate update;
  update.fromRevision = session->appliedRevision;
  update.toRevision = revision;
  update.digest = nodeDigest;
  const auto frame = wire::encodeFrame(update);
  network_.send(connection, frame);
  counters_.updateBytes += static_cast<int64_t>(frame->size());
  session->sentRevision = revision;
}

void NodeSessions::sendHeartbeat(base::ConnectionId connection, const wire::FramePtr& frame) {
  network_.send(connection, frame);
  counters_.heartbeatBytes += static_cast<int64_t>(frame->size());
}

void NodeSessions::heartbeatTo(base::ConnectionId connection, const wire::NodeHeartbeat& heartbeat) {
  sendHeartbeat(connection, wire::encodeFrame(heartbeat));
}

void NodeSessions::heartbeat(const wire::NodeHeartbeat& heartbeat, bool hasLeader) {
  const auto leaderless = wire::encodeFrame(wire::NodeHeartbeat());
  const auto frame = wire::encodeFrame(heartbeat);
  for (const auto& [connection, session] : sessions_) {
    sendHeartbeat(connection, hasLeader || session.confirmed ? frame : leaderless);
  }
}

std::vector<wire::NodeStatus> NodeSessions::lagging() const {
  std::vector<wire::NodeStatus> lagging;
  for (const auto& [connection, session] : sessions_) {
    if (session.confirmed && session.appliedRevision >= session.slice->revision()) continue;
    wire::NodeStatus status;
    status.nodeId = session.nodeId;
    status.revision = session.appliedRevision;
    lagging.push_back(status);
  }
  return lagging;
}

}  // namespace driftlug::relay
