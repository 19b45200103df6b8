#include "quota/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace driftlug::quota
{
namespace
{
/// Keep results within the range of their types, whatever limit is configured.
constexpr double kMaxTokens = 1e9;
constexpr double kMaxWaitS = 86'400;

double secondsOf(base::Duration _duration)
{
	return std::chrono::duration<double>(_duration).count();
}

}  // namespace

token_bucket::token_bucket(const quota_limit& _limit, base::TimePoint _fillingSince)
	: m_limit(_limit)
	, m_updatedAt(_fillingSince)
{
}

double token_bucket::capacity() const
{
	return std::max(1.0, m_limit.burst);
}

double token_bucket::levelAt(base::TimePoint _now) const
{
	return std::min(capacity(), m_level + m_limit.ratePerS * std::max(0.0, secondsOf(_now - m_updatedAt)));
}

void token_bucket::setLimit(const quota_limit& _limit, base::TimePoint _now)
{
	if (_limit == m_limit)
	{
		return;
	}
	const double level = levelAt(_now);
	m_limit = _limit;
	m_level = std::min(level, capacity());
	m_updatedAt = std::max(m_updatedAt, _now);
}

int token_bucket::take(int _wanted, base::TimePoint _now)
{
	m_level = levelAt(_now);
	m_updatedAt = std::max(m_updatedAt, _now);
	const int taken = std::clamp(static_cast<int>(std::min(m_level, kMaxTokens)), 0, std::max(0, _wanted));
	m_level -= taken;
	return taken;
}

base::Duration token_bucket::untilNext(base::TimePoint _now) const
{
	return untilTokens(1, _now);
}

int token_bucket::available(base::TimePoint _now) const
{
	return static_cast<int>(std::min(levelAt(_now), kMaxTokens));
}

bool token_bucket::isFull(base::TimePoint _now) const
{
	return levelAt(_now) >= capacity();
}

base::Duration token_bucket::untilTokens(int64_t _count, base::TimePoint _now) const
{
	const double missing = static_cast<double>(_count) - levelAt(_now);
	if (0 >= missing || 0 >= m_limit.ratePerS)
	{
		return base::Duration(0);
	}
	const auto wait = std::chrono::duration<double>(std::min(missing / m_limit.ratePerS, kMaxWaitS));
	return std::chrono::ceil<base::Duration>(wait);
}

int64_t token_bucket::tokensWithin(base::Duration _span, base::TimePoint _now) const
{
	return static_cast<int64_t>(std::min(levelAt(_now) + m_limit.ratePerS * secondsOf(_span), kMaxTokens));
}

}  // namespace driftlug::quota
