#include "base/decision_log.h"

#include <algorithm>

namespace driftlug::base {

DecisionLog::DecisionLog(std::string_view prefix, const TimeSource& time, DecisionLogLimits limits)
    : log_(prefix), time_(time), burstSeconds_(limits.burstSeconds) {
  buckets_[static_cast<size_t>(LinePriority::kFailure)].perSecond = limits.failuresPerSecond;
  buckets_[static_cast<size_t>(LinePriority::kRoutine)].perSecond = limits.routinePerSecond;
  for (auto& bucket : buckets_) {
    bucket.tokens = bucket.perSecond * burstSeconds_;
    bucket.refilledAt = time.now();
  }
}

bool DecisionLog::admit(LinePriority priority) {
  auto& bucket = buckets_[static_cast<size_t>(priority)];
  const auto now = time_.now();
  const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
  bucket.refilledAt = now;
  bucket.tokens = std::min(bucket.perSecond * burstSeconds_, bucket.tokens + elapsed * bucket.perSecond);
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    ++totalDropped_;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void DecisionLog::emit(LinePriority priority, const std::string& line) {
  auto& bucket = buckets_[static_cast<size_t>(priority)];
  const bool failure = priority == LinePriority::kFailure;
  const std::string droppedField = bucket.dropped > 0 ? fmt::format(" dropped_before={}", bucket.dropped) : "";
  bucket.dropped = 0;
  if (failure) {
    log_.warn("{}{}", line, droppedField);
  } else {
    log_.info("{}{}", line, droppedField);
  }
}

}  // namespace driftlug::base
