#include "quota/quota_grantor.h"

#include <algorithm>
#include <utility>

namespace driftlug::quota
{
namespace
{
/// Keeps callers that were denied together from retrying for the same token.
constexpr base::Duration kMinRetryAfter = base::milliseconds(200);
/// Callers give up rather than wait longer than this.
constexpr base::Duration kMaxRetryAfter = base::seconds(5);

}  // namespace

quota_grantor::quota_grantor(base::Scheduler& _time, limit_lookup _limitOf)
	: m_time(_time)
	, m_limitOf(std::move(_limitOf))
	, m_startedAt(_time.now())
	, m_decisions("quota", _time)
{
}

void quota_grantor::reset()
{
	m_startedAt = m_time.now();
	m_buckets.clear();
}

wire::QuotaGrant quota_grantor::decide(const wire::QuotaAsk& _request)
{
	wire::QuotaGrant grant;
	for (const auto& demand : _request.demands)
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
	auto& bucket = m_buckets.try_emplace(_demand.tenant, *limit, m_startedAt).first->second;
	bucket.setLimit(*limit, now);
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
		decision.retryAfterMs = base::millisecondsOf(std::clamp<base::Duration>(wait, kMinRetryAfter, kMaxRetryAfter));
	}
	return decision;
}

}  // namespace driftlug::quota
