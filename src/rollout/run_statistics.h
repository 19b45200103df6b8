/// Per-route answer counts and run times of a back end, collected by its local node during a rollout.
#ifndef DRIFTLUG_ROLLOUT_RUN_STATISTICS_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_RUN_STATISTICS_H_HEADER_GUARD

#include <cstdint>
#include <map>

#include "base/time.h"
#include "rollout/run_time_buckets.h"

namespace driftlug::wire
{
class VersionReport;
}

namespace driftlug::rollout
{
/// State of the back end when a run began.
struct run_conditions
{
	bool cold = false;       //!< It is still warming up; the run time is not counted.
	bool underLoad = false;  //!< Other requests keep over half of its slots busy.
};

/// Cumulative counts by route. Since they are cumulative, lost, late and duplicate reports do no harm: the latest one
/// contains everything. Run times are measured at the back end, without the time spent waiting for a slot or a link.
class run_statistics
{
public:
	/// Records a run that was answered, lost its connection or timed out.
	/// @param[in] _route Hash of the route's name.
	/// @param[in] _failed Whether the back end, not the request, was at fault.
	void record(int64_t _route, bool _failed, base::Duration _run, const run_conditions& _conditions);

	/// Adds the counts to a report.
	void fill(wire::VersionReport* _report) const;

	/// @returns The number of answers on all routes.
	int64_t answered() const
	{
		return m_answered;
	}

	/// Resets all counts.
	void clear();

private:
	struct counts
	{
		int64_t answered = 0;
		int64_t failed = 0;
		run_time_counts runs{};
	};

	std::map<int64_t, counts> m_routes;
	counts m_underLoad;  //!< On all routes, without run times.
	int64_t m_answered = 0;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RUN_STATISTICS_H_HEADER_GUARD
