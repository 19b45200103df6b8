/// What a back end did with its requests, counted at the node beside it while a rollout runs.
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
/// Counts by route. They only grow, so a report that is lost, late or taken twice changes nothing: the newest one tells
/// all. Run times are taken at the back end, without the wait for a slot or a link.
class run_statistics
{
public:
	/// A back end has answered, or its run was cut off or timed out.
	/// @param[in] _route Hash of the route's name.
	/// @param[in] _failed Whether the back end, not the request, was at fault.
	/// @param[in] _cold Whether the back end is slow from its start, so that its run time tells nothing.
	void record(int64_t _route, bool _failed, base::Duration _run, bool _cold);

	/// Fills in the counts of a report.
	void fill(wire::VersionReport* _report) const;

	/// @returns Answers of all routes.
	int64_t answered() const
	{
		return m_answered;
	}

	/// Forgets everything.
	void clear();

private:
	struct counts
	{
		int64_t answered = 0;
		int64_t failed = 0;
		run_time_counts runs{};
	};

	std::map<int64_t, counts> m_routes;
	int64_t m_answered = 0;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RUN_STATISTICS_H_HEADER_GUARD
