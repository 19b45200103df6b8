#include "relay/table_freshness.h"

#include "membership/freshness.h"

namespace driftlug::relay {
namespace {

constexpr size_t kMaxPendingHeartbeats = 8;

}  // namespace

void TableFreshness::onHeartbeat(const wire::ControllerHeartbeat& heartbeat, int64_t revision, base::TimePoint now) {
  const auto& newest = pending_.empty() ? value_ : pending_.back().heartbeat.freshness;
  if (membership::isNewer(newest, heartbeat.freshness)) return;
  if (pending_.size() < kMaxPendingHeartbeats) {
    pending_.push_back({heartbeat, now});
  } else {
    const bool newer = membership::isNewer(heartbeat.freshness, newest);
    pending_.back() = {heartbeat, newer ? now : pending_.back().receivedAt};
  }
  onRevision(revision);
}

void TableFreshness::onRevision(int64_t revision) {
  while (!pending_.empty() && pending_.front().heartbeat.revision <= revision) {
    const auto& freshness = pending_.front().heartbeat.freshness;
    // A controller that has lost the leader repeats the last freshness that it received.
    if (membership::isNewer(freshness, value_)) heardAt_ = pending_.front().receivedAt;
    value_ = freshness;
    pending_.pop_front();
  }
}

std::optional<base::TimePoint> TableFreshness::laggingSince() const {
  if (pending_.empty()) return std::nullopt;
  return pending_.front().receivedAt;
}

}  // namespace driftlug::relay
