#include "overload/nested_admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace driftlug::overload
{
namespace
{
/// Share of refused nested calls up to which the admitted share rises. Refusals of single calls are part of normal
/// load.
constexpr double kToleratedRefusals = 0.1;
/// Growth of the share in the first, second, and each later interval in a row without refusals. The first steps are
/// small, since with steady load the share is near the capacity behind. Seven steps lead from kMinShare to 1, so that a
/// recovery takes less than a second.
constexpr std::array<double, 3> kGrowth = {1.1, 1.25, 1.6};
/// Calls added to those of an interval before the refused share is computed, so that one refusal among a few calls
/// doesn't close the node.
constexpr double kPriorCalls = 2;
/// Intervals without evidence after which the share rises: the load that was refused may have ended.
constexpr int kMaxQuietIntervals = 10;
constexpr double kAverageWeight = 0.1;
constexpr double kRateWeight = 0.3;
/// Nested calls in flight that are allowed, as a multiple of those that the served rate needs. Arrivals are uneven.
constexpr double kInFlightHeadroom = 2;

double growthOf(size_t _step)
{
	return kGrowth[std::min(_step, kGrowth.size() - 1)];
}

}  // namespace

nested_admission::nested_admission(const base::TimeSource& _time)
	: m_time(_time)
	, m_intervalEnd(_time.now() + kInterval)
{
}

void nested_admission::onNestedBegan()
{
	++m_inFlight;
}

void nested_admission::onNestedEnded(nested_outcome _outcome, base::Duration _latency)
{
	advance();
	m_inFlight = std::max(0, m_inFlight - 1);
	if (nested_outcome::refused_for_capacity == _outcome)
	{
		++m_refused;
	}
	else if (nested_outcome::served == _outcome)
	{
		++m_served;
		if (1 <= m_share)
		{
			const auto us = static_cast<double>(_latency.count());
			m_usualUs = 0 == m_usualUs ? us : m_usualUs + kAverageWeight * (us - m_usualUs);
		}
	}
}

bool nested_admission::admitOuter()
{
	advance();
	const auto now = m_time.now();
	const bool probe = kInterval <= now - m_admittedAt;
	m_credit = std::min(1.0, m_credit + m_share);
	const int bound = maxInFlight();
	const bool held = 0 < bound && bound <= m_inFlight;
	// The sum of shares such as 0.1 is slightly below 1 after ten requests.
	constexpr double kWhole = 1 - 1e-9;
	if (!probe && (held || kWhole > m_credit))
	{
		return false;
	}

	m_credit = std::max(0.0, m_credit - 1);
	m_admittedAt = now;
	return true;
}

double nested_admission::share()
{
	advance();
	return m_share;
}

base::Duration nested_admission::recoveryTime()
{
	advance();
	double share = m_share;
	int64_t intervals = 0;
	for (size_t step = m_raises; share < 1; ++step)
	{
		share *= growthOf(step);
		++intervals;
	}
	return kInterval * intervals;
}

int nested_admission::maxInFlight()
{
	if (1 <= m_share || 0 == m_usualUs)
	{
		return 0;
	}
	return std::max(1, static_cast<int>(std::ceil(kInFlightHeadroom * m_servedPerS * m_usualUs / 1e6)));
}

void nested_admission::advance()
{
	const auto now = m_time.now();
	if (now < m_intervalEnd)
	{
		return;
	}

	closeInterval();
	m_intervalEnd += kInterval;
	for (int i = 0; i < kMaxQuietIntervals && m_intervalEnd <= now; ++i)
	{
		closeInterval();
		m_intervalEnd += kInterval;
	}
	if (m_intervalEnd <= now)
	{
		// Nothing was observed for so long that the share is unfounded.
		m_share = 1;
		m_servedPerS = 0;
		m_intervalEnd = now + kInterval;
	}
}

void nested_admission::closeInterval()
{
	const auto served = static_cast<double>(m_served);
	const auto refused = static_cast<double>(m_refused);
	m_served = 0;
	m_refused = 0;
	const double seconds = std::chrono::duration<double>(kInterval).count();
	m_servedPerS += kRateWeight * (served / seconds - m_servedPerS);
	if (0 == served + refused)
	{
		if (kMaxQuietIntervals <= ++m_quietIntervals)
		{
			raise();
		}
		return;
	}

	m_quietIntervals = 0;
	if (kToleratedRefusals * (served + refused) >= refused)
	{
		return raise();
	}
	m_raises = 0;
	m_share = std::max(kMinShare, m_share * (1 - refused / (served + refused + kPriorCalls)));
}

void nested_admission::raise()
{
	m_share = std::min(1.0, m_share * growthOf(m_raises++));
}

}  // namespace driftlug::overload
