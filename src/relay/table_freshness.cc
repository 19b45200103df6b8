#include "relay/table_freshness.h"

#include "membership/freshness.h"

namespace driftlug::relay {
namespace {

constexpr size_t kMaxPendingHeartbeats = 8;

}  // namespace

void TableFreshness::onHeartbeat(const wire::ControllerHeartbeat& heartbeat, int64_t revision, base::TimePoint now) {
  const auto& newest = waiting_.empty() ? value_ : waiting_.back().heartbeat.freshness;
  if (membership::isNewer(newest, heartbeat.freshness)) return;
  if (waiting_.size() < kMaxPendingHeartbeats) {
    waiting_.push_back({heartbeat, now});
  } else {
    const bool newer = membership::isNewer(heartbeat.freshness, newest);
    waiting_.back() = {heartbeat, newer ? now : waiting_.back().receivedAt};
  }
  onRevision(revision);
}

void TableFreshness::onRevision(int64_t revision) {
  while (!waiting_.empty() && waiting_.front().heartbeat.revision <= revision) {
    const auto& freshness = waiting_.front().heartbeat.freshness;
    // A controller that has lost the leader repeats the last freshness that it received.
    if (membership::isNewer(freshness, value_)) receivedAt_ = waiting_.front().receivedAt;
    value_ = freshness;
    waiting_.pop_front();
  }
}

std::optional<base::TimePoint> TableFreshness::laggingSince() const {
  if (waiting_.empty()) return std::nullopt;
  return waiting_.front().receivedAt;
}

}  // namespace driftlug::relay
