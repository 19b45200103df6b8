/// Logarithmic histogram buckets of run times, so that distributions can be added and compared.
#ifndef DRIFTLUG_ROLLOUT_RUN_TIME_BUCKETS_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_RUN_TIME_BUCKETS_H_HEADER_GUARD

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace driftlug::rollout
{
/// Four buckets per doubling, from one millisecond up to a minute. Adjacent buckets differ by a fifth, well below the
/// several-fold slowdown of an unhealthy version.
constexpr int kBucketsPerDoubling = 4;
constexpr size_t kRunTimeBuckets = 64;

/// Run time counts by bucket.
using run_time_counts = std::array<int64_t, kRunTimeBuckets>;

/// @returns The bucket of a run time.
inline size_t bucketOf(base::Duration _run)
{
	const double ms = std::chrono::duration<double, std::milli>(_run).count();
	const double position = kBucketsPerDoubling * std::log2(std::max(1.0, ms));
	return std::min(kRunTimeBuckets - 1, static_cast<size_t>(position));
}

/// @returns The natural logarithm of the (geometric) middle of a bucket in milliseconds.
inline double logMidpointMs(size_t _bucket)
{
	return (static_cast<double>(_bucket) + 0.5) / kBucketsPerDoubling * std::log(2.0);
}

/// @returns The upper bound of a bucket.
inline base::Duration upperBoundOf(size_t _bucket)
{
	const double ms = std::exp2(static_cast<double>(_bucket + 1) / kBucketsPerDoubling);
	return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RUN_TIME_BUCKETS_H_HEADER_GUARD
