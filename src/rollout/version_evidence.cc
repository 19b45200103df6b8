#include "rollout/version_evidence.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

#include "rollout/version_test.h"

namespace driftlug::rollout
{
namespace
{
constexpr base::Duration kAllTime = base::Duration::max();
/// Time spans of the evaluation: short ones detect recent failures, long ones detect rare failures.
constexpr base::Duration kSpans[] = {base::seconds(1), base::seconds(2), base::seconds(4), kAllTime};
/// Added to the baseline share of failed answers once the standing version gets no more requests. A fault that would
/// affect both versions, such as a failing dependency, then shows on the target version only.
constexpr double kNoComparisonMargin = 0.10;
/// Strength of the evidence from which the share of a version is not increased further.
constexpr double kSuspectStrength = 0.6;
constexpr base::Duration kThresholdRefreshInterval = base::milliseconds(500);
/// Time span for the rate of answers.
constexpr base::Duration kRateSpan = base::seconds(4);

constexpr symptom kSymptoms[] = {
	{"fails sometimes", true, 0.15},
	{"fails often", true, 0.40},
	{"is slow", false, 0.25},
};

void addTo(const std::vector<int64_t>& _counts, size_t _first, run_time_counts* _runs)
{
	for (size_t i = 0; i < _counts.size() && _first + i < kRunTimeBuckets; ++i)
	{
		(*_runs)[_first + i] += _counts[i];
	}
}

int64_t sumFrom(const run_time_counts& _runs, size_t _from)
{
	int64_t sum = 0;
	for (size_t i = _from; i < kRunTimeBuckets; ++i)
	{
		sum += _runs[i];
	}
	return sum;
}

}  // namespace

void version_evidence::onReport(const wire::VersionReport& _report, const version_policy& _policy)
{
	auto& endpoint = m_endpoints[_report.endpoint];
	const bool first = 0 == endpoint.report.sequence;
	const bool sameIncarnation = endpoint.report.incarnation == _report.life;
	if (!first && sameIncarnation && _report.sequence <= endpoint.report.sequence)
	{
		return;
	}
	if (!sameIncarnation)
	{
		endpoint.underLoad.last = {};
		for (auto& [route, state] : endpoint.routes)
		{
			state.last = {};
		}
	}
	const auto sequence = std::max<int64_t>(1, _report.sequence);
	endpoint.report = {_report.version,  m_time.now(),   _report.life, sequence,
					   _report.revision, _report.active, _report.slots};
	if (_report.version != _policy.standing && _report.version != _policy.target)
	{
		return;
	}
	for (const auto& figures : _report.routes)
	{
		recordRoute(figures, _policy, first, &endpoint);
	}
	if (_report.__isset.underLoad)
	{
		const auto delta = takeDelta(_report.underLoad, &endpoint.underLoad);
		if (!first && 0 < delta.answered)
		{
			run_sample sample;
			sample.answered = delta.answered;
			sample.failed = delta.failed;
			endpoint.underLoad.history.add(sample, m_time.now());
		}
	}
}

/// Updates the cumulative counts of a state.
/// @returns The increase since the last report.
version_evidence::route_counts version_evidence::takeDelta(const wire::RouteFigures& _figures, route_state* _state)
{
	route_counts now;
	now.answered = std::max<int64_t>(0, _figures.answered);
	now.failed = std::clamp<int64_t>(_figures.failed, 0, now.answered);
	addTo(_figures.runs, static_cast<size_t>(std::max(0, _figures.firstBucket)), &now.runs);
	const auto before = now.answered < _state->last.answered ? route_counts{} : _state->last;
	_state->last = now;
	route_counts delta;
	delta.answered = now.answered - before.answered;
	delta.failed = std::clamp<int64_t>(now.failed - before.failed, 0, delta.answered);
	for (size_t i = 0; i < kRunTimeBuckets; ++i)
	{
		delta.runs[i] = std::max<int64_t>(0, now.runs[i] - before.runs[i]);
	}
	return delta;
}

void version_evidence::recordRoute(const wire::RouteFigures& _figures, const version_policy& _policy, bool _first,
								   endpoint* _endpoint)
{
	auto& state = _endpoint->routes[_figures.route];
	const auto delta = takeDelta(_figures, &state);
	// The first report of an endpoint only sets the starting counts: the time of its answers is unknown.
	if (_first || 0 == delta.answered)
	{
		return;
	}

	state.history.add(sampleOf(_figures.route, delta), m_time.now());
	const bool standing = _endpoint->report.version == _policy.standing;
	if (standing && !isSlowOutlier(_figures.route, state.history, _policy))
	{
		m_baselines[_figures.route].add(delta.answered, delta.failed, delta.runs);
		m_allRoutes.add(delta.answered, delta.failed, delta.runs);
	}
}

/// Slow outliers must not enter the baseline, or a severalfold slowdown would become normal.
bool version_evidence::isSlowOutlier(int64_t _route, const answer_history& _history, const version_policy& _policy)
{
	// Computing the threshold takes a pass over all endpoints, and it changes slowly.
	const auto [known, first] = m_slowOutlierThresholds.try_emplace(_route);
	if (first || m_time.now() - known->second.at >= kThresholdRefreshInterval)
	{
		known->second = {slowOutlierThreshold(samplesOf(_policy.standing, {&_route}, kRateSpan)), m_time.now()};
	}
	const auto own = meanLogRunTime(_history.since(m_time.now() - kRateSpan));
	return own && *own >= known->second.value;
}

run_sample version_evidence::sampleOf(int64_t _route, const route_counts& _delta) const
{
	run_sample sample;
	sample.answered = _delta.answered;
	sample.failed = _delta.failed;
	sample.timed = sumFrom(_delta.runs, 0);
	for (size_t i = 0; i < kRunTimeBuckets; ++i)
	{
		sample.logSumMs += static_cast<double>(_delta.runs[i]) * logMidpointMs(i);
	}
	const auto baseline = m_baselines.find(_route);
	const bool known = baseline != m_baselines.end() && baseline->second.hasRunTimes();
	sample.slow = known ? sumFrom(_delta.runs, baseline->second.firstSlowBucket()) : 0;
	return sample;
}

std::vector<run_sample> version_evidence::samplesOf(std::string_view _version, const answer_class& _class,
													base::Duration _span) const
{
	const auto sampleOf = [&](const route_state& _state)
	{
		return kAllTime == _span ? _state.history.all() : _state.history.since(m_time.now() - _span);
	};
	std::vector<run_sample> samples;
	for (const auto& [name, endpoint] : m_endpoints)
	{
		if (endpoint.report.version != _version)
		{
			continue;
		}
		if (_class.underLoad)
		{
			samples.push_back(sampleOf(endpoint.underLoad));
			continue;
		}
		run_sample sum;
		for (const auto& [route, state] : endpoint.routes)
		{
			if (nullptr == _class.route || route == *_class.route)
			{
				sum += sampleOf(state);
			}
		}
		samples.push_back(sum);
	}
	return samples;
}

symptom_baseline version_evidence::baselineOf(const symptom& _symptom, const answer_class& _class, base::Duration _span,
											  const version_policy& _policy) const
{
	auto baseline = symptomBaselineOf(_symptom, samplesOf(_policy.standing, _class, _span));
	if (_class.underLoad)
	{
		// The standing version may have few answers under load, so that a fault that affects both versions, such as a
		// failing dependency, shows in its other answers only.
		const auto all = symptomBaselineOf(_symptom, samplesOf(_policy.standing, {}, _span));
		baseline.share = std::max(baseline.share, all.share);
		baseline.faultyShare = std::max(baseline.faultyShare, all.faultyShare);
	}
	if (_policy.retiring)
	{
		const auto& earlier = nullptr == _class.route ? m_allRoutes : m_baselines.at(*_class.route);
		baseline.share = std::max(baseline.share, earlier.failedShare()) + kNoComparisonMargin;
	}
	return baseline;
}

void version_evidence::evaluateClass(const answer_class& _class, base::Duration _span, const version_policy& _policy,
									 version_verdict* _verdict) const
{
	const auto target = samplesOf(_policy.target, _class, _span);
	if (target.empty())
	{
		return;
	}
	const auto known = reportsOf(_policy.target, kAllTime).size();
	const auto keepStrongest = [&](const test_result& _result, const char* _name)
	{
		_verdict->testedEndpoints = std::max(_verdict->testedEndpoints, _result.testedEndpoints);
		if (_verdict->strength >= _result.strength)
		{
			return;
		}
		_verdict->strength = _result.strength;
		const auto answers = _class.underLoad ? "under load"
							 : nullptr == _class.route
								 ? "on all routes"
								 : absl::StrFormat("on route %016x", static_cast<uint64_t>(*_class.route));
		const auto span =
			kAllTime == _span ? "all answers" : absl::StrFormat("the last %d ms", _span / base::milliseconds(1));
		_verdict->reason =
			absl::StrFormat("%s %s: strength %.2f over %d endpoints without the worst %d, of %s", _name, answers,
							_result.strength, _result.testedEndpoints, _result.excludedEndpoints, span);
	};
	for (const auto& symptom : kSymptoms)
	{
		// While the standing version retires, the load has changed and nothing provides run times to compare with.
		if (!symptom.failing && (_policy.retiring || _class.underLoad))
		{
			continue;
		}
		keepStrongest(testSymptom(symptom, baselineOf(symptom, _class, _span, _policy), target, known), symptom.name);
	}
	// Run times are only comparable within a route: the mix of routes may differ between the versions.
	if (!_policy.retiring && nullptr != _class.route)
	{
		keepStrongest(testRunTimes(target, samplesOf(_policy.standing, _class, _span)), "takes longer");
	}
}

version_verdict version_evidence::evaluate(const version_policy& _policy) const
{
	version_verdict verdict;
	for (const auto span : kSpans)
	{
		evaluateClass({}, span, _policy, &verdict);
		evaluateClass({nullptr, true}, span, _policy, &verdict);
		for (const auto& [route, baseline] : m_baselines)
		{
			evaluateClass({&route}, span, _policy, &verdict);
		}
	}
	if (1 <= verdict.strength)
	{
		verdict.health = version_health::unhealthy;
	}
	else if (kSuspectStrength <= verdict.strength)
	{
		verdict.health = version_health::suspect;
	}
	return verdict;
}

void version_evidence::clear()
{
	m_endpoints.clear();
	m_baselines.clear();
	m_allRoutes = {};
	m_slowOutlierThresholds.clear();
}

std::map<std::string, endpoint_report> version_evidence::reportsOf(std::string_view _version,
																   base::Duration _notOlderThan) const
{
	std::map<std::string, endpoint_report> reports;
	for (const auto& [name, endpoint] : m_endpoints)
	{
		if (endpoint.report.version == _version && m_time.now() - endpoint.report.at <= _notOlderThan)
		{
			reports[name] = endpoint.report;
		}
	}
	return reports;
}

base::Duration version_evidence::p99RunTime() const
{
	base::Duration longest{0};
	for (const auto& [route, baseline] : m_baselines)
	{
		longest = std::max(longest, baseline.p99RunTime());
	}
	return longest;
}

double version_evidence::answersPerSecond() const
{
	int64_t answers = 0;
	for (const auto& [name, endpoint] : m_endpoints)
	{
		for (const auto& [route, state] : endpoint.routes)
		{
			answers += state.history.since(m_time.now() - kRateSpan).answered;
		}
	}
	return static_cast<double>(answers) / std::chrono::duration<double>(kRateSpan).count();
}

}  // namespace driftlug::rollout
