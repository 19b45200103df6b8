#include "backpressure/rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace driftlug::backpressure
{
namespace
{
constexpr double kBurstSeconds = 0.5;
constexpr double kMinPerSecond = 0.25;
/// Rates above this are not limits in practice; the bound keeps the arithmetic finite.
constexpr double kMaxPerSecond = 1e6;

}  // namespace

void rate_limiter::setRate(std::optional<double> _perSecond)
{
	if (!_perSecond)
	{
		m_tokens.reset();
		return;
	}
	m_perSecond = std::clamp(*_perSecond, kMinPerSecond, kMaxPerSecond);
	const quota::quota_limit limit{m_perSecond, m_perSecond * kBurstSeconds};
	if (m_tokens)
	{
		m_tokens->setLimit(limit, m_time.now());
	}
	else
	{
		m_tokens.emplace(limit, m_time.now());
	}
}

void rate_limiter::onStart()
{
	if (m_tokens)
	{
		m_tokens->take(1, m_time.now());
	}
}

std::optional<base::TimePoint> rate_limiter::blockedUntil() const
{
	if (!m_tokens)
	{
		return std::nullopt;
	}
	const auto now = m_time.now();
	const auto wait = m_tokens->untilNext(now);
	return wait > base::Duration(0) ? std::optional(now + wait) : std::nullopt;
}

base::Duration rate_limiter::interval() const
{
	if (!m_tokens)
	{
		return base::Duration(0);
	}
	return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / m_perSecond));
}

}  // namespace driftlug::backpressure
