#include "quota/quota_grantor.h"

#include <algorithm>
#include <utility>

namespace driftlug::quota
{
namespace
{
/// Callers that were denied together should not come back for the same token.
constexpr base::Duration kLeastRetryAfter = base::milliseconds(200);
/// A caller that waits longer than this would have given up.
constexpr base::Duration kLongestRetryAfter = base::seconds(5);

}  // namespace

quota_grantor::quota_grantor(base::Scheduler& _time, limit_lookup _limitOf)
	: m_time(_time)
	, m_limitOf(std::move(_limitOf))
	, m_begunAt(_time.now())
	, m_decisions("quota", _time)
{
}

void quota_grantor::begin()
{
	m_begunAt = m_time.now();
	m_buckets.clear();
}

wire::QuotaGrant quota_grantor::decide(const wire::QuotaAsk& _ask)
{
	wire::QuotaGrant grant;
	for (const auto& demand : _ask.demands)
	{
		grant.decisions.push_back(decideOne(demand));
	}
	return grant;
}

wire::QuotaDecision quota_grantor::decideOne(const wire::QuotaDemand& _demand)
{
	wire::QuotaDecision decision;
	decision.tenant = _demand.tenant;
	const auto limit = m_limitOf(_demand.tenant);
	if (!limit)
	{
		m_buckets.erase(_demand.tenant);
		decision.granted = _demand.count;
		return decision;
	}
	const auto now = m_time.now();
	auto& bucket = m_buckets.try_emplace(_demand.tenant, *limit, m_begunAt).first->second;
	bucket.useLimit(*limit, now);
	decision.granted = bucket.take(_demand.count, now);
	decision.denied = std::max(0, _demand.count - decision.granted);
	m_counters.granted += decision.granted;
	m_counters.denied += decision.denied;
	if (0 < decision.denied)
	{
		const auto wait = bucket.untilNext(now) * decision.denied;
		m_decisions.write(base::LinePriority::kFailure,
						  [&]
						  {
							  return fmt::format("denied tenant={} granted={} denied={} rate_per_s={} burst={}",
												 _demand.tenant, decision.granted, decision.denied, limit->ratePerS,
												 limit->burst);
						  });
		decision.retryAfterMs =
			base::millisecondsOf(std::clamp<base::Duration>(wait, kLeastRetryAfter, kLongestRetryAfter));
	}
	return decision;
}

}  // namespace driftlug::quota
