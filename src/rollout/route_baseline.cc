#include "rollout/route_baseline.h"

#include <cmath>

namespace driftlug::rollout
{
namespace
{
/// Half-life of the exponential decay, in answers. At some hundred answers per second the last seconds dominate.
constexpr double kHalfLifeAnswers = 400;
/// Prior shares, and their weight in answers.
constexpr double kPriorFailedShare = 0.02;
constexpr double kPriorSlowShare = 0.04;
constexpr double kPriorAnswers = 50;
/// Share of the standing version's answers that count as slow. With the spread of run times of known services (standard
/// deviation 0.3 to 0.8 in logarithms) and machines of 0.5 to 1.6 times the typical speed, the threshold lies at two to
/// four times the typical run time. On the slowest machines at most 0.16 of the answers exceed it, so that these do not
/// look like an unhealthy version.
constexpr double kSlowTailShare = 0.04;
constexpr double kP99TailShare = 0.01;
/// Minimum number of run times for a valid threshold of slow answers.
constexpr double kMinRunTimes = 40;

}  // namespace

route_baseline::route_baseline()
	: m_answered(kPriorAnswers)
	, m_failed(kPriorAnswers * kPriorFailedShare)
{
}

void route_baseline::add(int64_t _answered, int64_t _failed, const run_time_counts& _runs)
{
	const double kept = std::exp2(-static_cast<double>(_answered) / kHalfLifeAnswers);
	m_answered = m_answered * kept + static_cast<double>(_answered);
	m_failed = m_failed * kept + static_cast<double>(_failed);
	m_runTimes *= kept;
	for (size_t i = 0; i < kRunTimeBuckets; ++i)
	{
		m_runs[i] = m_runs[i] * kept + static_cast<double>(_runs[i]);
		m_runTimes += static_cast<double>(_runs[i]);
	}
	m_firstSlowBucket = quantile(kSlowTailShare) + 1;
}

size_t route_baseline::quantile(double _above) const
{
	double above = 0;
	for (size_t i = kRunTimeBuckets; i > 0; --i)
	{
		above += m_runs[i - 1];
		if (above > _above * m_runTimes)
		{
			return i - 1;
		}
	}
	return 0;
}

double route_baseline::failedShare() const
{
	// The prior keeps the share from dropping far below its own: a few failures in a hundred answers are no evidence.
	return (m_failed + kPriorFailedShare * kPriorAnswers) / (m_answered + kPriorAnswers);
}

size_t route_baseline::firstSlowBucket() const
{
	return m_firstSlowBucket;
}

double route_baseline::slowShare() const
{
	double slow = kPriorSlowShare * kPriorAnswers;
	for (size_t i = m_firstSlowBucket; i < kRunTimeBuckets; ++i)
	{
		slow += m_runs[i];
	}
	return slow / (m_runTimes + kPriorAnswers);
}

bool route_baseline::hasRunTimes() const
{
	return kMinRunTimes <= m_runTimes;
}

base::Duration route_baseline::p99RunTime() const
{
	return 0 < m_runTimes ? upperBoundOf(quantile(kP99TailShare)) : base::Duration(0);
}

}  // namespace driftlug::rollout
