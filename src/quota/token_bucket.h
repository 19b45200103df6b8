/// Token bucket for tenant rate limits.
#ifndef DRIFTLUG_QUOTA_TOKEN_BUCKET_H_HEADER_GUARD
#define DRIFTLUG_QUOTA_TOKEN_BUCKET_H_HEADER_GUARD

#include "base/time.h"

namespace driftlug::quota
{
/// Rate limit of a tenant.
struct quota_limit
{
	double ratePerS = 0;  //!< Requests per second.
	double burst = 0;     //!< Burst size, in requests.

	bool operator==(const quota_limit&) const = default;
};

/// Starts empty and refills at the rate of the limit.
///
/// Invariant: the tokens taken within any time span do not exceed rate * span + max(1, burst).
class token_bucket
{
public:
	/// @param[in] _fillingSince Time at which the bucket was empty.
	token_bucket(const quota_limit& _limit, base::TimePoint _fillingSince);

	/// Changes the limit; tokens above the new burst are lost.
	void setLimit(const quota_limit& _limit, base::TimePoint _now);

	/// Takes up to the wanted number of tokens.
	/// @returns The number taken.
	int take(int _wanted, base::TimePoint _now);

	/// @returns Time until the next token is available; 0 if one is available now or the rate is 0.
	base::Duration untilNext(base::TimePoint _now) const;

	/// @returns Number of whole tokens that are available.
	int available(base::TimePoint _now) const;

	bool isFull(base::TimePoint _now) const;

	/// @returns Time until the given number of tokens has come, if each is taken as soon as it comes; 0 if they are
	/// available now or the rate is 0. At most a day.
	base::Duration untilTokens(int64_t _count, base::TimePoint _now) const;

	/// @returns Number of whole tokens that have come after the given time, if each is taken as soon as it comes.
	int64_t tokensWithin(base::Duration _span, base::TimePoint _now) const;

private:
	double capacity() const;
	double levelAt(base::TimePoint _now) const;

	quota_limit m_limit;
	double m_level = 0;  //!< Tokens at the time m_updatedAt.
	base::TimePoint m_updatedAt;
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_TOKEN_BUCKET_H_HEADER_GUARD
