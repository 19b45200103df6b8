#include "quota/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace driftlug::quota
{
namespace
{
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
	const int taken = std::clamp(static_cast<int>(m_level), 0, std::max(0, _wanted));
	m_level -= taken;
	return taken;
}

base::Duration token_bucket::untilNext(base::TimePoint _now) const
{
	const double missing = 1 - levelAt(_now);
	if (0 >= missing || 0 >= m_limit.ratePerS)
	{
		return base::Duration(0);
	}
	return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(missing / m_limit.ratePerS));
}

}  // namespace driftlug::quota
