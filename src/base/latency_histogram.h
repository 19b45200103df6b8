/// Latency histogram with fixed buckets, for the metrics pages.
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace driftlug::base {

/// A histogram whose bucket bounds double from 1 ms to 8.192 s.
class LatencyHistogram {
 public:
  static constexpr size_t kBuckets = 15;  ///< the last one has no upper bound

  void record(Duration latency) {
    ++counts_[bucketOf(latency)];
    sumUs_ += latency.count();
  }

  /// @return the upper bound of a bucket in seconds; not meaningful for the last bucket.
  static double boundSeconds(size_t bucket) { return 0.001 * static_cast<double>(uint64_t{1} << bucket); }

  const std::array<int64_t, kBuckets>& counts() const { return counts_; }
  double sumSeconds() const { return static_cast<double>(sumUs_) / 1e6; }

 private:
  static size_t bucketOf(Duration latency) {
    size_t bucket = 0;
    int64_t bound = 1000;
    while (bucket + 1 < kBuckets && latency.count() > bound) {
      ++bucket;
      bound *= 2;
    }
    return bucket;
  }

  std::array<int64_t, kBuckets> counts_{};
  int64_t sumUs_ = 0;
};

}  // namespace driftlug::base
