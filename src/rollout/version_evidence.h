/// What tells a bad version from a good one in bad company.
#ifndef DRIFTLUG_ROLLOUT_VERSION_EVIDENCE_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_VERSION_EVIDENCE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "rollout/answer_history.h"
#include "rollout/route_baseline.h"
#include "rollout/version_policy.h"

namespace driftlug::rollout
{
/// How a version on trial looks.
enum class version_health
{
	healthy,
	suspect,  //!< Something speaks against it, but not enough to be sure.
	unhealthy,
};

/// What is known of a version on trial.
struct version_verdict
{
	version_health health = version_health::healthy;
	double strength = 0;         //!< Of what speaks against it, of what is needed.
	size_t testedEndpoints = 0;  //!< Endpoints of the version with answers.
	std::string reason;          //!< What speaks against it most, for logs and operators; may be empty.
};

/// An endpoint as its newest report tells.
struct endpoint_report
{
	std::string version;
	base::TimePoint at{};
	int64_t incarnation = 0;  //!< Of its node.
	int64_t sequence = 0;     //!< Within the life.
	int64_t revision = 0;     //!< Of the table in force there.
	int active = 0;
	int slots = 0;
};

/// Compares the endpoints of a version on trial, route by route, with the standing version's at the same time.
///
/// Faults hit single back ends (some fail, some are slow, machines differ in speed), a bad version is bad wherever it
/// runs, but maybe not from the start, only on one route or only under load. So it is looked for several symptoms on
/// each route, in the last second, the last two and four, and in all answers, each time over all endpoints but those
/// that may be ill by themselves.
///
/// Soft state of the leading controller. Reports carry all that an endpoint has counted, so lost, late and repeated
/// ones do no harm, and a new leader goes on from the next one.
class version_evidence
{
public:
	explicit version_evidence(const base::TimeSource& _time)
		: m_time(_time)
	{
	}

	/// Takes a report.
	/// @param[in] _policy In force at the leader; of other versions only the state is kept.
	void onReport(const wire::VersionReport& _report, const version_policy& _policy);

	/// @returns How the version on trial looks now.
	version_verdict evaluate(const version_policy& _policy) const;

	/// Forgets everything, as a controller does that begins to lead.
	void clear();

	/// @returns The newest reports that are not older than a time, by endpoint.
	std::map<std::string, endpoint_report> reportsOf(std::string_view _version, base::Duration _notOlderThan) const;

	/// @returns A run time that one answer in a hundred of the standing version takes longer than, of its slowest
	/// route.
	base::Duration p99RunTime() const;

	/// @returns Answers a second of both versions, over the last seconds.
	double answersPerSecond() const;

private:
	struct route_counts
	{
		int64_t answered = 0;
		int64_t failed = 0;
		run_time_counts runs{};
	};

	struct route_state
	{
		route_counts last;  //!< Of the newest report.
		answer_history history;
	};

	struct endpoint
	{
		endpoint_report report;
		std::map<int64_t, route_state> routes;
	};

	/// From which mean on an endpoint of the standing version is ill, as it was when it was last worked out.
	struct slow_outlier_threshold
	{
		double from = 0;
		base::TimePoint at{};
	};

	void recordRoute(const wire::RouteFigures& _figures, const version_policy& _policy, bool _first,
					 endpoint* _endpoint);
	run_sample sampleOf(int64_t _route, const route_counts& _delta) const;
	bool isSlowOutlier(int64_t _route, const answer_history& _history, const version_policy& _policy);
	std::vector<run_sample> samplesOf(std::string_view _version, const int64_t* _route, base::Duration _span) const;
	void evaluateRoute(const int64_t* _route, base::Duration _span, const version_policy& _policy,
					   version_verdict* _verdict) const;

	const base::TimeSource& m_time;
	std::map<std::string, endpoint> m_endpoints;
	std::map<int64_t, route_baseline> m_baselines;
	route_baseline m_allRoutes;
	std::map<int64_t, slow_outlier_threshold> m_slowOutlierThresholds;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_VERSION_EVIDENCE_H_HEADER_GUARD
