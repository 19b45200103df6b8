/// A rate with a burst.
#ifndef DRIFTLUG_QUOTA_TOKEN_BUCKET_H_HEADER_GUARD
#define DRIFTLUG_QUOTA_TOKEN_BUCKET_H_HEADER_GUARD

#include "base/time.h"

namespace driftlug::quota
{
/// What a tenant may send.
struct quota_limit
{
	double ratePerS = 0;  //!< Requests a second.
	double burst = 0;     //!< Requests at once beyond the rate.

	bool operator==(const quota_limit&) const = default;
};

/// Invariant: in any span, no more is taken than the rate times the span, and the burst, or one where it is less.
class token_bucket
{
public:
	/// @param[in] _fillingSince When it was empty.
	token_bucket(const quota_limit& _limit, base::TimePoint _fillingSince);

	/// Goes on with another limit; what is in it beyond the new burst is lost.
	void setLimit(const quota_limit& _limit, base::TimePoint _now);

	/// @returns How many of the wanted tokens were there.
	int take(int _wanted, base::TimePoint _now);

	/// @returns The time until the next token is there.
	base::Duration untilNext(base::TimePoint _now) const;

private:
	double capacity() const;
	double levelAt(base::TimePoint _now) const;

	quota_limit m_limit;
	double m_level = 0;  //!< At m_at.
	base::TimePoint m_at;
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_TOKEN_BUCKET_H_HEADER_GUARD
