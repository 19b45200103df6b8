/// Baseline of one route: failure rate and run times of the standing version.
#ifndef DRIFTLUG_ROLLOUT_ROUTE_BASELINE_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_ROUTE_BASELINE_H_HEADER_GUARD

#include <cstdint>

#include "rollout/run_time_buckets.h"

namespace driftlug::rollout
{
/// Shares of failed and slow answers of the standing version's endpoints, over some hundred recent answers. Faults that
/// affect the whole fleet (a burst of load, a failing dependency) raise the baseline too and are not attributed to the
/// target version. The baseline decays with answers, not with time: once all requests go to the target version it stays
/// unchanged.
class route_baseline
{
public:
	route_baseline();

	/// Adds answers.
	/// @param[in] _runs Run times of the answers that did not fail, by bucket.
	void add(int64_t _answered, int64_t _failed, const run_time_counts& _runs);

	/// @returns The share of failed answers; a small prior before any answer was added.
	double failedShare() const;

	/// @returns The first bucket whose answers count as slow.
	size_t firstSlowBucket() const;

	/// @returns The share of slow answers.
	double slowShare() const;

	/// @returns Whether there are enough run times for firstSlowBucket() to be valid.
	bool hasRunTimes() const;

	/// @returns The 99th percentile of run times; 0 before any was added.
	base::Duration p99RunTime() const;

private:
	size_t quantile(double _above) const;

	double m_answered;
	double m_failed;
	std::array<double, kRunTimeBuckets> m_runs{};
	double m_runTimes = 0;
	size_t m_firstSlowBucket = kRunTimeBuckets;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_ROUTE_BASELINE_H_HEADER_GUARD
