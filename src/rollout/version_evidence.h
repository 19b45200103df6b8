/// Health evaluation of the target version of a rollout.
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
struct symptom;
struct symptom_baseline;

/// Health of a target version.
enum class version_health
{
	healthy,
	suspect,  //!< There is evidence against the version, but not enough for a rollback.
	unhealthy,
};

/// Result of the health evaluation.
struct version_verdict
{
	version_health health = version_health::healthy;
	double strength = 0;         //!< Strongest evidence against the version, relative to the required one.
	size_t testedEndpoints = 0;  //!< Endpoints of the target version with enough answers.
	std::string reason;          //!< Strongest evidence, for logs and operators; may be empty.
};

/// State of an endpoint from its latest report.
struct endpoint_report
{
	std::string version;
	base::TimePoint at{};
	int64_t incarnation = 0;  //!< Incarnation of the counts of its node; the wire field is life.
	int64_t sequence = 0;     //!< Sequence number within the incarnation.
	int64_t revision = 0;     //!< Revision of the table in force at its node.
	int active = 0;
	int slots = 0;
};

/// Compares the endpoints of the target version with those of the standing version, per route and over the same time.
///
/// Faults affect single back ends: some fail, some are slow, and machines differ in speed. An unhealthy version is
/// unhealthy on all endpoints, but possibly not from the start, only on one route or only under load. The evaluation
/// therefore tests each route for several symptoms over the last one, two and four seconds and over all answers, each
/// time excluding the endpoints that may be faulty by chance. Answers under load are also tested by themselves for
/// failures: together with the others, the share of failures of a version that fails only under load is too small.
///
/// This is soft state of the leading controller. Reports contain the cumulative counts of an endpoint, so lost, late
/// and duplicate reports do no harm, and a new leader continues with the next report.
class version_evidence
{
public:
	explicit version_evidence(const base::TimeSource& _time)
		: m_time(_time)
	{
	}

	/// Processes a report.
	/// @param[in] _policy Policy in force at the leader. The counts of endpoints of versions that it does not name are
	/// ignored.
	void onReport(const wire::VersionReport& _report, const version_policy& _policy);

	/// @returns The current health of the target version.
	version_verdict evaluate(const version_policy& _policy) const;

	/// Discards all reports and baselines; called when the controller becomes leader.
	void clear();

	/// @returns The latest reports of a version's endpoints up to a maximum age, by endpoint.
	std::map<std::string, endpoint_report> reportsOf(std::string_view _version, base::Duration _notOlderThan) const;

	/// @returns The 99th percentile of run times of the standing version on its slowest route.
	base::Duration p99RunTime() const;

	/// @returns Answers per second of both versions over the last 4 s.
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
		route_counts last;  //!< Cumulative counts of the latest report.
		answer_history history;
	};

	struct endpoint
	{
		endpoint_report report;
		std::map<int64_t, route_state> routes;
		route_state underLoad;  //!< Answers under load on all routes; without run times.
	};

	/// Answers that are evaluated together: those of one route, those under load, or all.
	struct answer_class
	{
		const int64_t* route = nullptr;  //!< Null for all routes.
		bool underLoad = false;
	};

	/// Cached result of slowOutlierThreshold() and the time of its computation.
	struct slow_outlier_threshold
	{
		double value = 0;
		base::TimePoint at{};
	};

	void recordRoute(const wire::RouteFigures& _figures, const version_policy& _policy, bool _first,
					 endpoint* _endpoint);
	run_sample sampleOf(int64_t _route, const route_counts& _delta) const;
	bool isSlowOutlier(int64_t _route, const answer_history& _history, const version_policy& _policy);
	static route_counts takeDelta(const wire::RouteFigures& _figures, route_state* _state);
	std::vector<run_sample> samplesOf(std::string_view _version, const answer_class& _class,
									  base::Duration _span) const;
	symptom_baseline baselineOf(const symptom& _symptom, const answer_class& _class, base::Duration _span,
								const version_policy& _policy) const;
	void evaluateClass(const answer_class& _class, base::Duration _span, const version_policy& _policy,
					   version_verdict* _verdict) const;

	const base::TimeSource& m_time;
	std::map<std::string, endpoint> m_endpoints;
	std::map<int64_t, route_baseline> m_baselines;
	route_baseline m_allRoutes;
	std::map<int64_t, slow_outlier_threshold> m_slowOutlierThresholds;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_VERSION_EVIDENCE_H_HEADER_GUARD
