/// How long committed revisions took to be in force on all nodes.
#pragma once

#include <deque>

#include "base/latency_histogram.h"
#include "base/log.h"
#include "base/time.h"
#include "controller/convergence.h"

namespace driftlug::controller {

/// Soft state of the leading controller; revisions that an earlier leader committed are not measured.
class ConvergenceTimes {
 public:
  ConvergenceTimes(const base::TimeSource& time, const ConvergenceTracker& tracker) : time_(time), tracker_(tracker) {}

  /// Forgets revisions under way, after a change of leader.
  void reset() { pending_.clear(); }

  /// A revision was committed.
  void onCommit(int64_t revision);

  /// A relay has reported.
  void onReport();

  /// @return from a commit to its being in force on all nodes.
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
