/// Rate limit for requests to a back end that is cold.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "limits/start_limiter.h"

namespace driftlug::limits {

/// Limits the requests that start within any one-second window while the back end is cold, or may be cold. A back end
/// that has just started fails under the load that a warm one handles.
///
/// The local node of a back end sees every request to it, so the limit is exact regardless of what callers know. A back
/// end can turn cold without reporting it, for example while it is unreachable. Until its state has been queried, it is
/// treated as cold.
class ColdStartLimiter : public StartLimiter {
 public:
  explicit ColdStartLimiter(const base::TimeSource& time) : time_(time) {}

  /// Sets the rate that a cold back end can handle, in requests per second; 0 if unknown, which disables the limit.
  void setRate(double perSecond) { perSecond_ = perSecond; }

  /// Handles a report of the back end's state.
  /// @param coldFor how long the back end stays cold, 0 if it is warm
  /// @param requested true for the response to a query; an unsolicited report may be a few seconds old
  void onColdReport(base::Duration coldFor, bool requested);

  /// Treats the back end as cold until its state is reported.
  void markUncertain();

  /// @return whether the state of the back end must be queried.
  bool isUncertain() const { return uncertainSince_ && perSecond_ > 0; }

  /// @return whether the limit is in effect now.
  bool isLimiting() const;

  void onStart() override;
  std::optional<base::TimePoint> blockedUntil() const override;
  base::Duration interval() const override;

 private:
  const base::TimeSource& time_;
  double perSecond_ = 0;
  base::TimePoint coldUntil_{};
  std::optional<base::TimePoint> uncertainSince_;
  std::deque<base::TimePoint> starts_;  // within the last second
};

}  // namespace driftlug::limits
