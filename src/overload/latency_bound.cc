#include "overload/latency_bound.h"

#include <cmath>

namespace driftlug::overload
{
namespace
{
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;

}  // namespace

void latency_bound::record(base::Duration _latency)
{
	const auto us = static_cast<double>(_latency.count());
	if (!m_known)
	{
		m_known = true;
		m_meanUs = us;
		return;
	}
	m_deviationUs += kDeviationWeight * (std::abs(us - m_meanUs) - m_deviationUs);
	m_meanUs += kMeanWeight * (us - m_meanUs);
}

std::optional<base::Duration> latency_bound::bound() const
{
	if (!m_known)
	{
		return std::nullopt;
	}
	return base::microsecondsOf(m_meanUs + kDeviations * m_deviationUs);
}

}  // namespace driftlug::overload
