/// Permits for requests of tenants, granted in one place for the whole fleet.
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
/// Counters of the grantor.
struct grantor_counters
{
	int64_t granted = 0;
	int64_t denied = 0;
};

/// One bucket for each tenant with a limit.
///
/// There is one grantor at a time, on the leading controller. One that begins knows nothing of what its predecessor
/// granted, so its buckets begin empty: whatever the former one gave, the limit holds over the change.
class quota_grantor
{
public:
	/// Tells the limit of a tenant; nothing for one that has none.
	using limit_lookup = std::function<std::optional<quota_limit>(const std::string&)>;

	quota_grantor(base::Scheduler& _time, limit_lookup _limitOf);

	/// Begins anew with empty buckets, as a controller does that has just begun to lead.
	void begin();

	/// @returns A decision for each tenant that was named.
	wire::QuotaGrant decide(const wire::QuotaAsk& _ask);

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
