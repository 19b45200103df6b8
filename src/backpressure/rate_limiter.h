/// Rate limit for requests to a back end that advertises how many it accepts.
#ifndef DRIFTLUG_BACKPRESSURE_RATE_LIMITER_H_HEADER_GUARD
#define DRIFTLUG_BACKPRESSURE_RATE_LIMITER_H_HEADER_GUARD

#include <optional>

#include "limits/start_limiter.h"
#include "quota/token_bucket.h"

namespace driftlug::backpressure
{
/// Limits the starts of requests to the advertised rate, with bursts of half a second's requests. The first request
/// after a limit begins waits for its turn, since the back end has just had more than it accepts.
///
/// The local node of a back end sees every request to it, so the limit is exact regardless of what callers know.
class rate_limiter : public limits::StartLimiter
{
public:
	explicit rate_limiter(const base::TimeSource& _time)
		: m_time(_time)
	{
	}

	/// Sets the limit, in requests per second; nullopt for none. A back end with a limit of 0 still gets a request
	/// every few seconds, because only a response can end the limit.
	void setRate(std::optional<double> _perSecond);

	bool isLimiting() const
	{
		return m_tokens.has_value();
	}

	void onStart() override;
	std::optional<base::TimePoint> blockedUntil() const override;
	base::Duration interval() const override;

private:
	const base::TimeSource& m_time;
	double m_perSecond = 0;
	std::optional<quota::token_bucket> m_tokens;  //!< Set while there is a limit.
};

}  // namespace driftlug::backpressure

#endif  // DRIFTLUG_BACKPRESSURE_RATE_LIMITER_H_HEADER_GUARD
