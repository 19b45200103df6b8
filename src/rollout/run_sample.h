/// Answer counts of one endpoint on one route within a time span.
#ifndef DRIFTLUG_ROLLOUT_RUN_SAMPLE_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_RUN_SAMPLE_H_HEADER_GUARD

#include <cstdint>

namespace driftlug::rollout
{
/// Counts and sums; samples of several time spans or routes can be added.
struct run_sample
{
	int64_t answered = 0;
	int64_t failed = 0;
	int64_t timed = 0;    //!< Answers with a counted run time.
	int64_t slow = 0;     //!< Timed answers above the slow threshold of the route baseline.
	double logSumMs = 0;  //!< Sum of the natural logarithms of the run times in milliseconds.

	run_sample& operator+=(const run_sample& _other)
	{
		answered += _other.answered;
		failed += _other.failed;
		timed += _other.timed;
		slow += _other.slow;
		logSumMs += _other.logSumMs;
		return *this;
	}
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RUN_SAMPLE_H_HEADER_GUARD
