/// Central grantor of request permits for rate-limited tenants.
#ifndef DRIFTLUG_QUOTA_QUOTA_GRANTOR_H_HEADER_GUARD
#define DRIFTLUG_QUOTA_QUOTA_GRANTOR_H_HEADER_GUARD

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/decision_log.h"
#include "base/time.h"
#include "quota/token_bucket.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::quota
{
/// Cumulative counters of the grantor, in permits.
struct grantor_counters
{
	int64_t granted = 0;
	int64_t denied = 0;
};

/// Holds one token bucket for each tenant with a limit.
///
/// Only one grantor is active, on the leading controller. A new leader does not know what its predecessor granted, so
/// its buckets start empty; this keeps the limit across leader changes.
class quota_grantor
{
public:
	/// Returns the limit of a tenant; nullopt if it has none.
	using limit_lookup = std::function<std::optional<quota_limit>(const std::string&)>;

	quota_grantor(base::Scheduler& _time, limit_lookup _limitOf);

	/// Resets all buckets to empty; called when the controller becomes leader.
	void reset();

	/// @returns One decision for each demand.
	wire::QuotaGrant decide(const wire::QuotaAsk& _request);

	const grantor_counters& counters() const
	{
		return m_counters;
	}

private:
	wire::QuotaDecision decideOne(const wire::QuotaDemand& _demand);

	base::Scheduler& m_time;
	limit_lookup m_limitOf;
	base::TimePoint m_startedAt{};
	std::map<std::string, token_bucket> m_buckets;  //!< By tenant.
	grantor_counters m_counters;
	base::DecisionLog m_decisions;
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_QUOTA_GRANTOR_H_HEADER_GUARD
