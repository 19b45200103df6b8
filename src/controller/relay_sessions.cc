#include "controller/relay_sessions.h"

#include <vector>

#include "wire/bulk_frames.h"

namespace driftlug::controller {

void RelaySessions::open(base::ConnectionId connection, const std::string& relayId) {
  sessions_[connection].relayId = relayId;
}

void RelaySessions::subscribe(base::ConnectionId connection, const std::string& relayId,
                              const wire::RelaySubscribe& request, const table::Table& table) {
  auto& session = sessions_[connection];
  session.relayId = relayId;
  session.subscribed = true;
  session.receivesUpdates = !request.sharesTable;
  if (!session.receivesUpdates) return;
  session.sentRevision = request.revision;
  const bool sameRevision = request.revision == table.revision();
  if (sameRevision && !(request.digest == table.digest())) session.sentRevision = 0;
  if (session.sentRevision >= table.revision()) return;
  sendUpdate(connection, &session, cachedUpdate(session.sentRevision, table), table);
}

std::string RelaySessions::remove(base::ConnectionId connection) {
  const auto found = sessions_.find(connection);
  if (found == sessions_.end()) return "";
  auto relayId = found->second.subscribed ? found->second.relayId : "";
  sessions_.erase(found);
  return relayId;
}

void RelaySessions::endSubscriptions(const std::string& leaderId) {
  wire::NotLeader notLeader;
  notLeader.leaderId = leaderId;
  const auto frame = wire::encodeFrame(notLeader);
  encodedUpdates_.clear();
  for (auto& [connection, session] : sessions_) {
    if (session.subscribed) network_.send(connection, frame);
    session.subscribed = false;
  }
}

void RelaySessions::recordActivity(base::ConnectionId connection, base::TimePoint now) {
  const auto found = sessions_.find(connection);
  if (found != sessions_.end()) found->second.lastActivity = now;
}

std::vector<base::ConnectionId> RelaySessions::connectionsInactiveSince(base::TimePoint then) const {
  std::vector<base::ConnectionId> inactive;
  for (const auto& [connection, session] : sessions_) {
    if (session.subscribed && session.lastActivity < then) inactive.push_back(connection);
  }
  return inactive;
}

wire::FramePtr RelaySessions::cachedUpdate(int64_t fromRevision, const table::Table& table) {
  if (encodedUpdatesRevision_ != table.revision()) encodedUpdates_.clear();
  encodedUpdatesRevision_ = table.revision();
  auto& frame = encodedUpdates_[fromRevision];
  if (!frame) frame = encodeUpdate(table, fromRevision);
  return frame;
}

wire::FramePtr RelaySessions::encodeUpdate(const table::Table& table, int64_t fromRevision) const {
  wire::RowUpdateHeader head;
  head.full = fullPush_ || fromRevision < table.horizon() || fromRevision == 0;
  head.fromRevision = head.full ? 0 : fromRevision;
  head.toRevision = table.revision();
  head.digest = table.digest();
  // A full update includes the tombstones: a relay that has just started needs them for the deltas to its nodes.
  const auto changed = table.changedSince(head.fromRevision);
  return wire::encodeTableUpdate(head, std::vector<const wire::Row*>(changed.begin(), changed.end()));
}

void RelaySessions::sendUpdate(base::ConnectionId connection, Session* session, const wire::FramePtr& frame,
                               const table::Table& table) {
  network_.send(connection, frame);
  ++counters_.updates;
  counters_.updateBytes += static_cast<int64_t>(frame->size());
  if (session->sentRevision == 0) ++counters_.fullUpdates;
  session->sentRevision = table.revision();
}

void RelaySessions::push(const table::Table& table) {
  for (auto& [connection, session] : sessions_) {
    if (!session.subscribed || !session.receivesUpdates || session.sentRevision >= table.revision()) continue;
    sendUpdate(connection, &session, cachedUpdate(session.sentRevision, table), table);
  }
}

void RelaySessions::heartbeatTo(base::ConnectionId connection, int64_t revision, const wire::Freshness& freshness) {
  wire::ControllerHeartbeat heartbeat;
  heartbeat.revision = revision;
  heartbeat.freshness = freshness;
  const auto frame = wire::encodeFrame(heartbeat);
  network_.send(connection, frame);
  ++counters_.heartbeats;
  counters_.heartbeatBytes += static_cast<int64_t>(frame->size());
}

void RelaySessions::heartbeat(int64_t revision, const wire::Freshness& freshness) {
  encodedUpdates_.clear();
  for (const auto& [connection, session] : sessions_) heartbeatTo(connection, revision, freshness);
}

std::string RelaySessions::relayIdOf(base::ConnectionId connection) const {
  const auto found = sessions_.find(connection);
  return found == sessions_.end() || !found->second.subscribed ? "" : found->second.relayId;
}

}  // namespace driftlug::controller
