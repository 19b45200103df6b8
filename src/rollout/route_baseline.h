/// How the standing version serves a route, as what a new one is compared with.
#ifndef DRIFTLUG_ROLLOUT_ROUTE_BASELINE_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_ROUTE_BASELINE_H_HEADER_GUARD

#include <cstdint>

#include "rollout/run_time_buckets.h"

namespace driftlug::rollout
{
/// Shares of failed and slow answers of the standing version's endpoints, of the last some hundred answers. What
/// befalls the whole fleet (a burst, a service behind it that fails) shows here too and is not held against the new
/// version. It ages with answers, not with time: once all requests go to the new version it stays as it was.
class route_baseline
{
public:
	route_baseline();

	/// Takes answers.
	/// @param[in] _runs Run times of those that did not fail, by bucket.
	void add(int64_t _answered, int64_t _failed, const run_time_counts& _runs);

	/// @returns The share of answers that fail, with a small one assumed before any was seen.
	double failedShare() const;

	/// @returns The bucket from which on an answer counts as slow.
	size_t firstSlowBucket() const;

	/// @returns The share of answers that are slow.
	double slowShare() const;

	/// @returns Whether enough run times were seen to tell what is slow.
	bool hasRunTimes() const;

	/// @returns A run time that one in a hundred takes longer than, at most 0 before any was seen.
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
