/// Measures the time from the commit of a revision until it is in force on all nodes.
#pragma once

#include <deque>

#include "base/latency_histogram.h"
#include "base/log.h"
#include "base/time.h"
#include "controller/convergence.h"

namespace driftlug::controller {

/// Convergence times; soft state of the leader. Revisions committed by an earlier leader are not measured.
class ConvergenceTimes {
 public:
  ConvergenceTimes(const base::TimeSource& time, const ConvergenceTracker& tracker) : time_(time), tracker_(tracker) {}

  /// Drops the pending revisions; called after a change of leader.
  void reset() { pending_.clear(); }

  /// Starts the measurement of a committed revision.
  void onCommit(int64_t revision);

  /// Records the revisions that have converged; called after each relay report.
  void onReport();

  /// @return the times from commit until in force on all nodes.
  const base::LatencyHistogram& histogram() const { return histogram_; }

 private:
  struct Pending {
    int64_t revision;
    base::TimePoint committedAt;
  };

  const base::TimeSource& time_;
  const ConvergenceTracker& tracker_;
  base::Logger log_{"control"};
  std::deque<Pending> pending_;  // oldest first
  base::LatencyHistogram histogram_;
};

}  // namespace driftlug::controller
