/// Retry budget that limits retries to a small share of first attempts.
#pragma once

#include <algorithm>

namespace driftlug::retry {

/// Token bucket: each first attempt adds budgetPercent/100 tokens and each retry takes one. Under total overload a node
/// sends at most (1 + budgetPercent/100) attempts per request, so retries do not multiply over seven hops.
class RetryBudget {
 public:
  /// Default burst: retries that an idle service may make at once unless another value is configured.
  static constexpr double kDefaultBurst = 10;

  /// @param burst maximum number of retries that can be made at once; the budget starts with half of it
  explicit RetryBudget(double burst = kDefaultBurst) : burst_(burst), tokens_(burst / 2) {}

  /// Changes the burst; saved tokens above it are dropped.
  void setBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  /// Records a first attempt.
  void onRequest(int budgetPercent) { tokens_ = std::min(burst_, tokens_ + budgetPercent / 100.0); }

  /// Takes one token for a retry.
  /// @return false if the budget is exhausted and no retry may be made
  bool spend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double burst_;
  double tokens_;
};

}  // namespace driftlug::retry
