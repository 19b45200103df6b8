/// Buckets of run times, so that distributions can be added up and compared.
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
/// Four buckets for each doubling from a millisecond on, up to a minute: neighbours differ by a fifth, well below the
/// several times by which a bad version is slower.
constexpr int kBucketsPerDoubling = 4;
constexpr size_t kRunTimeBuckets = 64;

/// Counts by bucket.
using run_time_counts = std::array<int64_t, kRunTimeBuckets>;

/// @returns The bucket of a run time.
inline size_t bucketOf(base::Duration _run)
{
	const double ms = std::chrono::duration<double, std::milli>(_run).count();
	const double position = kBucketsPerDoubling * std::log2(std::max(1.0, ms));
	return std::min(kRunTimeBuckets - 1, static_cast<size_t>(position));
}

/// @returns The natural logarithm of a usual run time of a bucket, in milliseconds.
inline double logMidpointMs(size_t _bucket)
{
	return (static_cast<double>(_bucket) + 0.5) / kBucketsPerDoubling * std::log(2.0);
}

/// @returns The longest run time of a bucket.
inline base::Duration upperBoundOf(size_t _bucket)
{
	const double ms = std::exp2(static_cast<double>(_bucket + 1) / kBucketsPerDoubling);
	return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RUN_TIME_BUCKETS_H_HEADER_GUARD
