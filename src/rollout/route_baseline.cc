#include "rollout/route_baseline.h"

#include <cmath>

namespace driftlug::rollout
{
namespace
{
/// Answers after which an older one counts half: at some hundred a second, the last seconds decide.
constexpr double kHalfLifeAnswers = 400;
/// What is assumed before anything was seen, and how many answers that assumption is worth.
constexpr double kPriorFailedShare = 0.02;
constexpr double kPriorSlowShare = 0.04;
constexpr double kPriorAnswers = 50;
/// Share of the usual answers that may count as slow. With run times spread as those of the services seen (0.3 to 0.8
/// in logarithms) and machines of 0.5 to 1.6 times the usual speed it lies at two to four times the usual run, so that
/// the slowest machines don't look like a bad version (0.16 of their answers at the most).
constexpr double kSlowTailShare = 0.04;
constexpr double kP99TailShare = 0.01;
/// Run times below which nothing is held to be slow.
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
	// Never far below what is assumed: a handful of failures among a hundred tells nothing of a version.
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
