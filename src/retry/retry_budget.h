/// A budget that keeps retries a small share of live traffic.
#pragma once

#include <algorithm>

namespace driftlug::retry {

/// Each first attempt earns a part of a retry; each retry spends one. In total overload a node sends at most
/// (1 + percent/100) attempts a request, so seven hops cannot multiply.
class RetryBudget {
 public:
  /// Retries that an idle service may spend at once, where nothing else is asked for.
  static constexpr double kDefaultBurst = 10;

  /// @param burst retries that may be spent at once; half of it is there at the start
  explicit RetryBudget(double burst = kDefaultBurst) : burst_(burst), tokens_(burst / 2) {}

  /// Bounds what may be spent at once from now on.
  void setBurst(double burst) {
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
  }

  /// A first attempt was made.
  void onRequest(int budgetPercent) { tokens_ = std::min(burst_, tokens_ + budgetPercent / 100.0); }

  /// @return whether a retry may be made; it is paid for.
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
