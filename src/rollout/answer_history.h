/// What one endpoint answered on one route, lately and since it was first looked at.
#ifndef DRIFTLUG_ROLLOUT_ANSWER_HISTORY_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_ANSWER_HISTORY_H_HEADER_GUARD

#include <deque>

#include "base/time.h"
#include "rollout/run_sample.h"

namespace driftlug::rollout
{
/// Samples by time. Those of the last seconds are kept one by one, so that a version that turns bad is seen in them and
/// not lost among its good answers of before.
class answer_history
{
public:
	/// Adds answers that came just now.
	void add(const run_sample& _sample, base::TimePoint _now);

	/// @returns The answers since a point in time, as far as they are kept.
	run_sample since(base::TimePoint _time) const;

	/// @returns All answers.
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
