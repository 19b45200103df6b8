#include "limits/cold_start_limiter.h"

#include <algorithm>
#include <chrono>

namespace driftlug::limits {
namespace {

constexpr base::Duration kWindow = base::seconds(1);
/// Upper bound of the age of an unsolicited report when it is received: one second, plus one retry at another node. A
/// report received later than this after the state became uncertain was made after that moment.
constexpr base::Duration kMaxReportDelay = base::seconds(3);

}  // namespace

void ColdStartLimiter::onColdReport(base::Duration coldFor, bool requested) {
  const auto now = time_.now();
  if (requested) {
    coldUntil_ = now + coldFor;
    uncertainSince_.reset();
    return;
  }
  coldUntil_ = std::max(coldUntil_, now + coldFor);
  if (uncertainSince_ && now - *uncertainSince_ > kMaxReportDelay) uncertainSince_.reset();
}

void ColdStartLimiter::markUncertain() {
  if (!uncertainSince_) uncertainSince_ = time_.now();
}

bool ColdStartLimiter::isLimiting() const { return perSecond_ > 0 && (uncertainSince_ || coldUntil_ > time_.now()); }

void ColdStartLimiter::onStart() {
  // Recorded also while nothing is limited, so that the window is complete when the limit takes effect.
  const auto now = time_.now();
  while (!starts_.empty() && now - starts_.front() >= kWindow) starts_.pop_front();
  starts_.push_back(now);
}

std::optional<base::TimePoint> ColdStartLimiter::blockedUntil() const {
  const auto most = std::max<size_t>(1, static_cast<size_t>(perSecond_));
  if (!isLimiting() || starts_.size() < most) return std::nullopt;
  const auto next = starts_[starts_.size() - most] + kWindow;
  return next > time_.now() ? std::optional(next) : std::nullopt;
}

base::Duration ColdStartLimiter::interval() const {
  if (!isLimiting()) return base::Duration(0);
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / perSecond_));
}

}  // namespace driftlug::limits
