/// Exact latency percentiles.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace driftlug::tools {

/// Stores every value, in microseconds, and computes percentiles from the sorted values.
class ExactHistogram {
 public:
  void add(int64_t microseconds) {
    values_.push_back(microseconds);
    sorted_ = false;
  }

  /// @param share in [0, 1]
  /// @return the percentile in microseconds; 0 if there are no values
  int64_t percentile(double share) {
    if (values_.empty()) return 0;
    if (!sorted_) std::sort(values_.begin(), values_.end());
    sorted_ = true;
    const auto rank = static_cast<size_t>(share * static_cast<double>(values_.size()));
    return values_[std::min(rank, values_.size() - 1)];
  }

  size_t count() const { return values_.size(); }

 private:
  std::vector<int64_t> values_;
  bool sorted_ = false;
};

}  // namespace driftlug::tools
