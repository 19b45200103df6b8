/// Answer counts of one endpoint on one route, over recent time spans and in total.
#ifndef DRIFTLUG_ROLLOUT_ANSWER_HISTORY_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_ANSWER_HISTORY_H_HEADER_GUARD

#include <deque>

#include "base/time.h"
#include "rollout/run_sample.h"

namespace driftlug::rollout
{
/// Time series of samples. Samples of the last 5 s are kept individually, so that a version that becomes unhealthy is
/// detected in its recent answers and is not masked by earlier successful ones.
class answer_history
{
public:
	/// Adds a sample and drops samples that exceed the retention time.
	void add(const run_sample& _sample, base::TimePoint _now);

	/// @returns The sum of the retained samples since a point in time.
	run_sample since(base::TimePoint _time) const;

	/// @returns The sum of all samples ever added.
	const run_sample& all() const
	{
		return m_total;
	}

private:
	struct timed_sample
	{
		base::TimePoint at{};
		run_sample sample;
	};

	std::deque<timed_sample> m_recent;  //!< Oldest first.
	run_sample m_total;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_ANSWER_HISTORY_H_HEADER_GUARD
