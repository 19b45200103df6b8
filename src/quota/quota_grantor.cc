#include "quota/quota_grantor.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace driftlug::quota
{
namespace
{
/// The longest election that is bridged. Demands in the first request of an asker are taken to have arrived evenly over
/// this time.
constexpr base::Duration kMaxElection = base::milliseconds(1500);
/// Time after the start of a leader during which it defers demands, unless the tenant's bucket was full before. A
/// tenant at 0.6 of its rate has worked off the backlog of an election of 1.5 s after 2.25 s, and saved up a burst of
/// one second of its rate 2.5 s later.
constexpr base::Duration kDeferralPeriod = base::seconds(5);
/// Share of its rate that a tenant is taken to send while it is below its limit.
constexpr double kUsualShare = 0.6;
/// Requests that a tenant below its limit may send at once beyond its usual rate, and an upper bound of the time in
/// which tokens come for them.
constexpr double kUnevenRequests = 6;
constexpr double kMaxUnevenTimeS = 1;
/// What the batch intervals of node and relay and the way back take of the time that a request can wait.
constexpr base::Duration kDeliveryMargin = base::milliseconds(50);
/// An asker that is alive asks again when its places are due; its requests are repeated every 200 ms.
constexpr base::Duration kForgetAfter = base::milliseconds(500);
/// Bounds memory and the work for a demand; two seconds of a tenant with 2,000 requests a second.
constexpr size_t kMaxPlaces = 4096;
/// Demands beyond these values are invalid.
constexpr int kMaxCount = 1'000'000;
constexpr int kMaxWaitMs = 3'600'000;
/// Over this span, times that callers can't wait for differ from one another. A tenant that sends 9 times its rate for
/// 6 s has 48 s of its rate refused.
constexpr base::Duration kFarTimes = base::seconds(60);
/// How long callers wait before a retry at most, for demands that do not state it.
constexpr base::Duration kUnstatedWait = base::seconds(5);

base::Duration stepOf(const quota_limit& _limit)
{
	constexpr double kDayS = 86'400;
	return std::chrono::ceil<base::milliseconds>(std::chrono::duration<double>(std::min(1 / _limit.ratePerS, kDayS)));
}

}  // namespace

quota_grantor::quota_grantor(base::Scheduler& _time, limit_lookup _limitOf)
	: m_time(_time)
	, m_limitOf(std::move(_limitOf))
	, m_startedAt(_time.now())
	, m_outage(kMaxElection)
	, m_decisions("quota", _time)
{
}

void quota_grantor::reset(base::Duration _outage)
{
	m_startedAt = m_time.now();
	m_outage = std::clamp<base::Duration>(_outage, base::Duration(0), kMaxElection);
	m_tenants.clear();
	m_lastAskAt.clear();
}

void quota_grantor::forget(asker _asker)
{
	m_lastAskAt.erase(_asker);
	for (auto& [tenant, state] : m_tenants)
	{
		if (0 < state.forgottenAt.erase(_asker))
		{
			std::erase_if(state.places,
						  [_asker](const place& _place)
						  {
							  return _place.askerId == _asker;
						  });
		}
	}
}

size_t quota_grantor::deferredNow() const
{
	size_t count = 0;
	for (const auto& [tenant, state] : m_tenants)
	{
		count += state.places.size();
	}
	return count;
}

wire::QuotaGrant quota_grantor::decide(asker _asker, const wire::QuotaAsk& _request)
{
	const auto now = m_time.now();
	const auto arrivedSince = m_lastAskAt.try_emplace(_asker, now - m_outage).first->second;
	m_lastAskAt[_asker] = now;
	wire::QuotaGrant grant;
	for (const auto& demand : _request.demands)
	{
		const bool valid =
			0 < demand.count && demand.count <= kMaxCount && 0 <= demand.maxWaitMs && demand.maxWaitMs <= kMaxWaitMs;
		if (!valid)
		{
			++m_counters.invalidDemands;
			continue;
		}
		grant.decisions.push_back(decideOne(_asker, demand, arrivedSince));
	}
	return grant;
}

wire::QuotaDecision quota_grantor::decideOne(asker _asker, const wire::QuotaDemand& _demand,
											 base::TimePoint _arrivedSince)
{
	wire::QuotaDecision decision;
	decision.tenant = _demand.tenant;
	const auto limit = m_limitOf(_demand.tenant);
	if (!limit)
	{
		m_tenants.erase(_demand.tenant);
		decision.granted = _demand.count;
		return decision;
	}
	const auto now = m_time.now();
	const auto maxWait = base::milliseconds(_demand.maxWaitMs);
	auto& state =
		m_tenants.try_emplace(_demand.tenant, tenant_state{token_bucket(*limit, m_startedAt), false, {}, {}, {}, {}})
			.first->second;
	state.bucket.setLimit(*limit, now);
	state.wasFull = state.wasFull || state.bucket.isFull(now);
	forgetSilentAskers(&state);
	addPlaces(&state, _asker, _demand.count, *limit, maxWait, _arrivedSince);
	const auto deferred = decidePlaces(&state, _asker, *limit, maxWait, &decision);
	// Tokens that no place is entitled to go to the rest of the demand.
	const auto free = state.bucket.available(now) - static_cast<int64_t>(state.places.size());
	const int undecided = _demand.count - decision.granted - decision.denied - decision.deferred;
	const int taken = state.bucket.take(static_cast<int>(std::clamp<int64_t>(free, 0, undecided)), now);
	decision.granted += taken;
	decision.denied += undecided - taken;
	if (0 < decision.deferred)
	{
		decision.askAgainMs = base::millisecondsOf(deferred.firstAfter) + 1;
		decision.retryAfterStepMs = base::millisecondsOf(stepOf(*limit));
		state.forgottenAt[_asker] = now + deferred.firstAfter + kForgetAfter;
	}
	m_counters.granted += decision.granted;
	m_counters.denied += decision.denied;
	m_counters.deferred += deferred.added;
	if (0 < deferred.added)
	{
		m_decisions.write(base::LinePriority::kRoutine,
						  [&]
						  {
							  return fmt::format(
								  "deferred tenant={} granted={} denied={} deferred={} new={} ask_again_ms={} "
								  "max_wait_ms={} leader_for_ms={} rate_per_s={} burst={}",
								  _demand.tenant, decision.granted, decision.denied, decision.deferred, deferred.added,
								  decision.askAgainMs, _demand.maxWaitMs, base::millisecondsOf(now - m_startedAt),
								  limit->ratePerS, limit->burst);
						  });
	}
	if (0 < decision.denied)
	{
		setRetryTimes(&state, *limit, maxWait, &decision);
		m_decisions.write(base::LinePriority::kFailure,
						  [&]
						  {
							  return fmt::format(
								  "denied tenant={} granted={} denied={} deferred={} retry_after_ms={} step_ms={} "
								  "rate_per_s={} burst={}",
								  _demand.tenant, decision.granted, decision.denied, decision.deferred,
								  decision.retryAfterMs, decision.retryAfterStepMs, limit->ratePerS, limit->burst);
						  });
	}
	return decision;
}

bool quota_grantor::mayDefer(const tenant_state& _state, base::Duration _maxWait) const
{
	return !_state.wasFull && base::Duration(0) < _maxWait && m_time.now() - m_startedAt < kDeferralPeriod;
}

/// @returns How long a demand may be deferred now.
///
/// The backlog of a tenant below its limit shrinks steadily after an election. One that grows beyond it is over the
/// limit: if it were left waiting, all requests of the tenant would wait behind it and be late, also those that the
/// limit allows.
base::Duration quota_grantor::longestDeferral(const quota_limit& _limit) const
{
	const auto leading = m_time.now() - m_startedAt;
	const auto backlog = std::chrono::duration<double>(m_outage * kUsualShare - leading * (1 - kUsualShare));
	const auto uneven = std::min(kUnevenRequests / _limit.ratePerS, kMaxUnevenTimeS);
	return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(std::max(0.0, backlog.count()) + uneven));
}

void quota_grantor::forgetSilentAskers(tenant_state* _state) const
{
	const auto now = m_time.now();
	const auto forgotten = std::erase_if(_state->forgottenAt,
										 [now](const auto& _item)
										 {
											 return _item.second <= now;
										 });
	if (0 < forgotten)
	{
		std::erase_if(_state->places,
					  [_state](const place& _place)
					  {
						  return !_state->forgottenAt.contains(_place.askerId);
					  });
	}
}

/// Makes the places of an asker as many as it demands, as far as new ones may be deferred.
void quota_grantor::addPlaces(tenant_state* _state, asker _asker, int _count, const quota_limit& _limit,
							  base::Duration _maxWait, base::TimePoint _arrivedSince) const
{
	auto& places = _state->places;
	int held = 0;
	std::erase_if(places,
				  [&](const place& _place)
				  {
					  held += _place.askerId == _asker ? 1 : 0;
					  return _place.askerId == _asker && held > _count;
				  });
	const int further = _count - std::min(held, _count);
	const auto now = m_time.now();
	const bool tokensLeft = _state->bucket.available(now) - static_cast<int64_t>(places.size()) >= further;
	if (0 == further || !mayDefer(*_state, _maxWait) || tokensLeft)
	{
		return;
	}
	const auto most = std::min(_state->bucket.tokensWithin(longestDeferral(_limit), now),
							   static_cast<int64_t>(kMaxPlaces - std::min(places.size(), kMaxPlaces)));
	const auto added = std::min<int64_t>(further, most);
	const auto oldSize = static_cast<std::ptrdiff_t>(places.size());
	for (int64_t i = 0; i < added; ++i)
	{
		places.push_back({_arrivedSince + (now - _arrivedSince) * (i + 1) / (added + 1), _asker, true});
	}
	std::inplace_merge(places.begin(), places.begin() + oldSize, places.end(),
					   [](const place& _left, const place& _right)
					   {
						   return _left.arrivedAt < _right.arrivedAt;
					   });
}

/// Grants, denies or keeps each place of an asker. A place that is `ahead` places behind the first finds a token when
/// the bucket has had ahead + 1 of them.
quota_grantor::deferral quota_grantor::decidePlaces(tenant_state* _state, asker _asker, const quota_limit& _limit,
													base::Duration _maxWait, wire::QuotaDecision* _decision) const
{
	const auto now = m_time.now();
	const auto& bucket = _state->bucket;
	const auto mostOfNew = bucket.tokensWithin(
		std::clamp<base::Duration>(_maxWait - kDeliveryMargin, base::Duration(0), longestDeferral(_limit)), now);
	const auto mostOfOld = bucket.tokensWithin(_maxWait, now);
	const auto available = bucket.available(now);
	deferral result;
	int64_t ahead = 0;
	int64_t firstDeferred = -1;
	std::erase_if(_state->places,
				  [&](place& _place)
				  {
					  if (_place.askerId != _asker)
					  {
						  ++ahead;
						  return false;
					  }
					  if (ahead < available)
					  {
						  ++ahead;
						  ++_decision->granted;
						  return true;
					  }
					  if (ahead >= (_place.isNew ? mostOfNew : mostOfOld))
					  {
						  ++_decision->denied;
						  return true;
					  }
					  if (0 > firstDeferred)
					  {
						  firstDeferred = ahead;
					  }
					  result.added += _place.isNew ? 1 : 0;
					  _place.isNew = false;
					  ++_decision->deferred;
					  ++ahead;
					  return false;
				  });
	if (0 <= firstDeferred)
	{
		result.firstAfter = bucket.untilTokens(firstDeferred + 1, now);
	}
	else
	{
		_state->forgottenAt.erase(_asker);
	}
	_state->bucket.take(_decision->granted, now);
	return result;
}

/// Each denied request gets the time at which the bucket will have a token for it, after the deferred permits and the
/// times given before. A time that its caller can't wait for is not reserved; such times have a sequence of their own.
void quota_grantor::setRetryTimes(tenant_state* _state, const quota_limit& _limit, base::Duration _maxWait,
								  wire::QuotaDecision* _decision) const
{
	const auto now = m_time.now();
	const auto step = stepOf(_limit);
	const auto soonest = _state->bucket.untilTokens(static_cast<int64_t>(_state->places.size()) + 1, now);
	const auto longest = std::max(soonest, base::Duration(0) < _maxWait ? _maxWait : kUnstatedWait);
	auto first = std::max<base::Duration>(_state->lastRetryAt + step - now, soonest);
	const auto firstFar = std::max<base::Duration>(_state->lastFarRetryAt + step - now, longest);
	const auto length = step * (_decision->denied - 1);
	if (first + length > longest && (first > longest || firstFar > longest))
	{
		first = firstFar > longest + kFarTimes ? longest : firstFar;
		_state->lastFarRetryAt = now + first + length;
	}
	else
	{
		_state->lastRetryAt = now + std::min<base::Duration>(first + length, longest);
		_state->lastFarRetryAt = std::max(_state->lastFarRetryAt, now + first + length);
	}
	_decision->retryAfterMs = std::max(1, base::millisecondsOf(std::chrono::ceil<base::milliseconds>(first)));
	_decision->retryAfterStepMs = base::millisecondsOf(step);
}

}  // namespace driftlug::quota
