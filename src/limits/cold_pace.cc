#include "limits/cold_pace.h"

#include <algorithm>
#include <chrono>

namespace driftlug::limits {
namespace {

constexpr base::Duration kWindow = base::seconds(1);
/// Longest time that a word of the back end is on its way, a second and its repeat at another node; what comes later
/// than this behind a doubt was said after it.
constexpr base::Duration kWordDelay = base::seconds(3);

}  // namespace

void ColdPace::onTold(base::Duration coldFor, bool asked) {
  const auto now = time_.now();
  if (asked) {
    coldUntil_ = now + coldFor;
    doubtedAt_.reset();
    return;
  }
  coldUntil_ = std::max(coldUntil_, now + coldFor);
  if (doubtedAt_ && now - *doubtedAt_ > kWordDelay) doubtedAt_.reset();
}

void ColdPace::onDoubt() {
  if (!doubtedAt_) doubtedAt_ = time_.now();
}

bool ColdPace::bounds() const { return perSecond_ > 0 && (doubtedAt_ || coldUntil_ > time_.now()); }

void ColdPace::onStart() {
  // Also where nothing is bounded yet: what started just before counts.
  const auto now = time_.now();
  while (!starts_.empty() && now - starts_.front() >= kWindow) starts_.pop_front();
  starts_.push_back(now);
}

std::optional<base::TimePoint> ColdPace::heldUntil() const {
  const auto most = std::max<size_t>(1, static_cast<size_t>(perSecond_));
  if (!bounds() || starts_.size() < most) return std::nullopt;
  const auto next = starts_[starts_.size() - most] + kWindow;
  return next > time_.now() ? std::optional(next) : std::nullopt;
}

base::Duration ColdPace::interval() const {
  if (!bounds()) return base::Duration(0);
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / perSecond_));
}

}  // namespace driftlug::limits
