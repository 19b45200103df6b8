#include "rollout/run_statistics.h"

#include <algorithm>

#include "wire/gen/driftlug_types.h"

namespace driftlug::rollout
{
namespace
{
/// Maximum number of routes counted separately at one endpoint; further routes share the counts of kOtherRoutes. This
/// limits a report to a few kilobytes.
constexpr size_t kMaxRoutes = 32;
constexpr int64_t kOtherRoutes = 0;

}  // namespace

void run_statistics::record(int64_t _route, bool _failed, base::Duration _run, const run_conditions& _conditions)
{
	const bool known = 0 < m_routes.count(_route);
	auto& route = m_routes[known || kMaxRoutes > m_routes.size() ? _route : kOtherRoutes];
	++m_answered;
	++route.answered;
	if (_conditions.underLoad)
	{
		++m_underLoad.answered;
		m_underLoad.failed += _failed ? 1 : 0;
	}
	if (_failed)
	{
		++route.failed;
	}
	else if (!_conditions.cold)
	{
		++route.runs[bucketOf(_run)];
	}
}

void run_statistics::fill(wire::VersionReport* _report) const
{
	for (const auto& [route, routeCounts] : m_routes)
	{
		wire::RouteFigures figures;
		figures.route = route;
		figures.answered = routeCounts.answered;
		figures.failed = routeCounts.failed;
		const auto used = [](int64_t _count)
		{
			return 0 < _count;
		};
		const auto first = std::find_if(routeCounts.runs.begin(), routeCounts.runs.end(), used);
		const auto last = std::find_if(routeCounts.runs.rbegin(), routeCounts.runs.rend(), used).base();
		if (first != routeCounts.runs.end())
		{
			figures.firstBucket = static_cast<int32_t>(first - routeCounts.runs.begin());
			figures.runs.assign(first, last);
		}
		_report->routes.push_back(figures);
	}
	if (0 < m_underLoad.answered)
	{
		wire::RouteFigures figures;
		figures.answered = m_underLoad.answered;
		figures.failed = m_underLoad.failed;
		_report->__set_underLoad(figures);
	}
}

void run_statistics::clear()
{
	m_routes.clear();
	m_underLoad = {};
	m_answered = 0;
}

}  // namespace driftlug::rollout
