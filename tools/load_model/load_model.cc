#include "load_model/load_model.h"

#include <algorithm>
#include <cmath>

#include "load_model/modelled_node.h"
#include "table/table.h"

namespace driftlug::load_model
{
namespace
{
/// Warm-up before the load starts, in which connections open and adaptive state converges.
constexpr base::Duration kWarmUpTime = base::seconds(3);
/// Time for the requests in flight at the end of the load to complete.
constexpr base::Duration kDrainTime = base::seconds(12);

wire::Row routeOf(const kind_pattern& _kind)
{
	wire::Row row;
	row.key = table::makeKey(wire::RowKind::ROUTE, _kind.name);
	row.__isset.routeRow = true;
	row.routeRow.host = "model.example";
	row.routeRow.pathPrefix = "/" + _kind.name + "/";
	row.routeRow.repeatable = _kind.repeatable;
	row.routeRow.timeoutMs = _kind.timeoutMs;
	row.routeRow.maxAttempts = 2;
	row.routeRow.targetLatencyMs = _kind.targetMs;
	row.routeRow.priority = _kind.priority;
	row.routeRow.largeAnswers = _kind.largeAnswers;
	wire::WeightedService share;
	share.serviceName = _kind.service;
	share.weight = 100;
	row.routeRow.shares.push_back(share);
	return row;
}

}  // namespace

double load_result::inTimeShare(const std::string& _kind) const
{
	int64_t requests = 0;
	int64_t inTime = 0;
	for (const auto& [name, result] : kinds)
	{
		if (_kind.empty() || name == _kind)
		{
			requests += result.requests;
			inTime += result.inTime;
		}
	}
	return 0 == requests ? 0 : static_cast<double>(inTime) / static_cast<double>(requests);
}

double load_result::earnedUtilityShare() const
{
	kind_result sum;
	for (const auto& [name, result] : kinds)
	{
		sum += result;
	}
	return 0 < sum.utility ? sum.earnedUtility / sum.utility : 0;
}

double load_result::minKindUtilityShare() const
{
	double least = 1;
	for (const auto& [name, result] : kinds)
	{
		least = std::min(least, 0 < result.utility ? result.earnedUtility / result.utility : 1);
	}
	return least;
}

kind_result& kind_result::operator+=(const kind_result& _other)
{
	requests += _other.requests;
	inTime += _other.inTime;
	late += _other.late;
	refused += _other.refused;
	failed += _other.failed;
	refusedRetries += _other.refusedRetries;
	utility += _other.utility;
	earnedUtility += _other.earnedUtility;
	return *this;
}

load_result& load_result::operator+=(const load_result& _other)
{
	for (const auto& [name, result] : _other.kinds)
	{
		kinds[name] += result;
	}
	work.usefulMs += _other.work.usefulMs;
	work.wastedMs += _other.work.wastedMs;
	linkBytes += _other.linkBytes;
	maxLinkDelay = std::max(maxLinkDelay, _other.maxLinkDelay);
	return *this;
}

load_policy defaultPolicy(double _linkMbps)
{
	constexpr double kNarrowMbps = 20;
	load_policy policy;
	policy.entry.generateIdempotencyKeys = false;
	policy.entry.defaultRetry = {2, 8};
	policy.entry.retryBurst = 3;
	policy.entry.fullFor = base::milliseconds(100);
	policy.entry.overloadRetryAfter = base::milliseconds(1000);
	policy.entry.picker.policy = routing::PickPolicy::kNearestIdle;
	policy.entry.picker.bodyBytesPerZonePenalty = 32U << 10;
	policy.entry.picker.colocationBonus = _linkMbps < kNarrowMbps ? 0.4 : 0;
	policy.entry.inlineBodyBytes = static_cast<size_t>(std::min(4096.0, 0.004 * _linkMbps * 1e6 / 8));
	policy.endpoint.waitWithinTarget = true;
	policy.endpoint.defaultQueue = 32;
	policy.endpoint.overloadRetryAfter = base::milliseconds(1000);
	policy.endpoint.bodies.linkBytesPerSecond = static_cast<int64_t>(_linkMbps * 1e6 / 8);
	return policy;
}

load_model::load_model(const load_pattern& _pattern, const load_policy& _policy, uint64_t _seed, double _offered)
	: m_pattern(_pattern)
	, m_policy(_policy)
	, m_random(_seed)
	, m_offered(_offered)
	, m_network(
		  m_queue, _pattern.linkMbps,
		  std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(_pattern.zoneDelayMs)))
{
	for (const auto& kind : m_pattern.kinds)
	{
		m_kinds[kind.name] = kind;
	}
	addNodes();
}

load_model::~load_model() = default;

void load_model::addNodes()
{
	for (const auto& service : m_pattern.services)
	{
		for (size_t i = 0; i < service.backEnds; ++i)
		{
			const double speed = service.speeds[i % service.speeds.size()];
			const auto zone = "zone-" + std::to_string(i % m_pattern.zones);
			m_nodes.push_back(std::make_unique<modelled_node>(*this, m_nodes.size(), service, speed, zone));
			m_states.push_back(m_nodes.back()->endpoint());
		}
	}
}

routing::RoutingTablePtr load_model::table() const
{
	table::Table rows;
	for (const auto& service : m_pattern.services)
	{
		wire::Row row;
		row.key = table::makeKey(wire::RowKind::SERVICE, service.name);
		row.__isset.serviceRow = true;
		rows.put(table::storeRow(row));
	}
	for (const auto& kind : m_pattern.kinds)
	{
		rows.put(table::storeRow(routeOf(kind)));
	}
	return std::make_shared<routing::RoutingTable>(rows, 1);
}

double load_model::loadFactorNow() const
{
	const double now = std::chrono::duration<double>(m_queue.now() - base::TimePoint{} - kWarmUpTime).count();
	double factor = m_offered;
	for (const auto& burst : m_pattern.bursts)
	{
		factor *= now >= burst.fromS && now < burst.toS ? burst.factor : 1;
	}
	return factor;
}

void load_model::scheduleArrival(const kind_pattern& _kind)
{
	const double perSecond = _kind.perSecond * loadFactorNow();
	const double gap = -std::log(1 - m_random.unit()) / std::max(1e-3, perSecond);
	m_queue.after(std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap)),
				  [this, &_kind]
				  {
					  arrive(_kind);
				  });
}

void load_model::arrive(const kind_pattern& _kind)
{
	const auto length = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(m_pattern.lengthS));
	if (m_queue.now() - base::TimePoint{} > kWarmUpTime + length)
	{
		return;
	}
	m_nodes[m_random.below(m_nodes.size())]->startRequest(_kind);
	scheduleArrival(_kind);
}

void load_model::scheduleOutage(const outage_pattern& _outage)
{
	size_t left = _outage.backEnds;
	for (const auto& node : m_nodes)
	{
		if (0 == left || node->service() != _outage.service)
		{
			continue;
		}
		--left;
		auto* lost = node.get();
		const auto at = [](double _seconds)
		{
			return base::TimePoint{} + kWarmUpTime
				   + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(_seconds));
		};
		m_queue.at(at(_outage.fromS),
				   [lost]
				   {
					   lost->setUp(false);
				   });
		m_queue.at(at(_outage.toS),
				   [lost]
				   {
					   lost->setUp(true);
				   });
	}
}

load_result load_model::run()
{
	const auto rows = table();
	for (const auto& node : m_nodes)
	{
		node->start(rows, m_states);
	}
	for (const auto& outage : m_pattern.outages)
	{
		scheduleOutage(outage);
	}
	m_queue.at(base::TimePoint{} + kWarmUpTime,
			   [this]
			   {
				   for (const auto& [name, kind] : m_kinds)
				   {
					   if (0 < kind.perSecond)
					   {
						   scheduleArrival(kind);
					   }
				   }
			   });
	const auto length = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(m_pattern.lengthS));
	while (m_queue.runNext(base::TimePoint{} + kWarmUpTime + length + kDrainTime))
	{
	}
	for (const auto& node : m_nodes)
	{
		m_result.linkBytes += node->network().out().bytes();
		m_result.maxLinkDelay =
			std::max({m_result.maxLinkDelay, node->network().out().maxDelay(), node->network().in().maxDelay()});
	}
	return m_result;
}

}  // namespace driftlug::load_model
