/// A budget that keeps retries a small share of live traffic.
#pragma once

#include <algorithm>

namespace driftlug::retry {

/// Each first attempt earns a part of a retry; each retry spends one. In total overload a node sends at most
/// (1 + percent/100) attempts a request, so seven hops cannot multiply.
class RetryBudget {
 public:
  /// Retries that an idle service may spend at once.
  static constexpr double kBurst = 10;

  /// A first attempt was made.
  void onRequest(int budgetPercent) { tokens_ = std::min(kBurst, tokens_ + budgetPercent / 100.0); }

  /// @return whether a retry may be made; it is paid for.
  bool spend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kBurst / 2;
};

}  // namespace driftlug::retry
