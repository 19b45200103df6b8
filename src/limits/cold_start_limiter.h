/// How many requests a cold back end is handed.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace driftlug::limits {

/// Bounds the requests that start within any second while the back end is cold, or may be: one that has just started
/// fails under the load that a warm one carries.
///
/// The node beside a back end sees every request to it, so the bound is exact here, whatever callers know. A back end
/// may turn cold without a word, as when it was out of reach for a while: until it has been asked, it counts as cold.
class ColdStartLimiter {
 public:
  explicit ColdStartLimiter(const base::TimeSource& time) : time_(time) {}

  /// Sets what a cold back end bears, in requests a second; 0 where that is not known, and then nothing is bounded.
  void setRate(double perSecond) { perSecond_ = perSecond; }

  /// The back end said for how long it is cold.
  /// @param asked whether it was asked just now; what it says by itself may be some seconds old
  void onColdReport(base::Duration coldFor, bool requested);

  /// The back end may have turned cold.
  void markUncertain();

  /// @return whether the back end is to be asked.
  bool isUncertain() const { return uncertainSince_ && perSecond_ > 0; }

  /// @return whether starts are bounded now.
  bool isLimiting() const;

  /// A request starts.
  void onStart();

  /// @return when the next request may start; nothing where one may start now
  std::optional<base::TimePoint> blockedUntil() const;

  /// @return the mean time between two starts at the bound; 0 where nothing is bounded.
  base::Duration interval() const;

 private:
  const base::TimeSource& time_;
  double perSecond_ = 0;
  base::TimePoint coldUntil_{};
  std::optional<base::TimePoint> uncertainSince_;
  std::deque<base::TimePoint> starts_;  // of the last second
};

}  // namespace driftlug::limits
