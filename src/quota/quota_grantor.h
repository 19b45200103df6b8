/// Central grantor of request permits for rate-limited tenants.
#ifndef DRIFTLUG_QUOTA_QUOTA_GRANTOR_H_HEADER_GUARD
#define DRIFTLUG_QUOTA_QUOTA_GRANTOR_H_HEADER_GUARD

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "base/time.h"
#include "quota/token_bucket.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::quota
{
/// Cumulative counters of the grantor, in permits unless stated otherwise.
struct grantor_counters
{
	int64_t granted = 0;
	int64_t denied = 0;
	int64_t deferred = 0;        //!< Each permit counts once, however often it is asked for again.
	int64_t invalidDemands = 0;  //!< Demands that were ignored.
};

/// Holds one token bucket for each tenant with a limit.
///
/// Only one grantor is active, on the leading controller. A new leader does not know what its predecessor granted, so
/// its buckets start empty; this keeps the limit across leader changes. So that this does not refuse tenants below
/// their limits, it defers demands during its first seconds instead of denying them, if they will find a token in time.
///
/// A demand states all permits that its asker waits for. Deferred permits keep their places in one queue for each
/// tenant, in order of their estimated arrival. A repeated demand takes the places of the earlier one. Places of an
/// asker that does not ask again are forgotten; nothing was granted for them.
class quota_grantor
{
public:
	/// Returns the limit of a tenant; nullopt if it has none.
	using limit_lookup = std::function<std::optional<quota_limit>(const std::string&)>;
	using asker = uint64_t;  //!< Id of the connection that demands come from.

	quota_grantor(base::Scheduler& _time, limit_lookup _limitOf);

	/// Resets all buckets to empty and forgets deferred demands; called when the controller becomes leader.
	/// @param[in] _outage Time since the last message of the previous leader, in which demands may have queued up.
	void reset(base::Duration _outage);

	/// @returns One decision for each valid demand.
	wire::QuotaGrant decide(asker _asker, const wire::QuotaAsk& _request);

	/// Forgets the deferred demands of an asker, after its connection was closed.
	void forget(asker _asker);

	/// @returns Number of permits that are deferred and not forgotten.
	size_t deferredNow() const;

	const grantor_counters& counters() const
	{
		return m_counters;
	}

private:
	/// A deferred permit.
	struct place
	{
		base::TimePoint arrivedAt;  //!< Estimated.
		asker askerId;
		bool isNew;  //!< Not deferred before the decision in progress.
	};

	struct tenant_state
	{
		token_bucket bucket;
		bool wasFull;               //!< Since then, the bucket holds no less than one that outlived all elections.
		std::vector<place> places;  //!< By arrival.
		std::map<asker, base::TimePoint> forgottenAt;  //!< When the places of an asker are forgotten.
		base::TimePoint lastRetryAt;                   //!< Latest retry time given to a request that can wait for it.
		base::TimePoint lastFarRetryAt;                //!< Latest retry time given to any request.
	};

	/// Deferred permits after a decision.
	struct deferral
	{
		int added = 0;
		base::Duration firstAfter{0};  //!< Time until the first of them finds a token.
	};

	wire::QuotaDecision decideOne(asker _asker, const wire::QuotaDemand& _demand, base::TimePoint _arrivedSince);
	void forgetSilentAskers(tenant_state* _state) const;
	void addPlaces(tenant_state* _state, asker _asker, int _count, const quota_limit& _limit, base::Duration _maxWait,
				   base::TimePoint _arrivedSince) const;
	deferral decidePlaces(tenant_state* _state, asker _asker, const quota_limit& _limit, base::Duration _maxWait,
						  wire::QuotaDecision* _decision) const;
	void setRetryTimes(tenant_state* _state, const quota_limit& _limit, base::Duration _maxWait,
					   wire::QuotaDecision* _decision) const;
	base::Duration longestDeferral(const quota_limit& _limit) const;
	bool mayDefer(const tenant_state& _state, base::Duration _maxWait) const;

	base::Scheduler& m_time;
	limit_lookup m_limitOf;
	base::TimePoint m_startedAt{};
	base::Duration m_outage;  //!< Before m_startedAt.
	std::map<std::string, tenant_state> m_tenants;
	std::map<asker, base::TimePoint> m_lastAskAt;
	grantor_counters m_counters;
	base::DecisionLog m_decisions;
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_QUOTA_GRANTOR_H_HEADER_GUARD
