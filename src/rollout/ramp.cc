#include "rollout/ramp.h"

#include <algorithm>

#include "rollout/version_policy.h"

namespace driftlug::rollout
{
namespace
{
/// Share of the exposure limit available to the trial phase. The rest is reserved for requests sent during the ramp-up
/// steps to a version that becomes unhealthy then, until the failure is detected.
constexpr double kTrialExposureShare = 0.6;
/// Share of the exposure slack available to the trial phase.
constexpr double kTrialSlackShare = 0.4;
constexpr int kMinTrialPermille = 10;
constexpr int kMaxTrialPermille = 100;
constexpr int kMiddlePermille = 350;
constexpr int kHighestPermille = 950;
/// Time from a decision until its effect is visible in reports: log commit, propagation to the nodes, the report
/// interval of 250 ms, and propagation of the reports. Each part takes some tens to hundreds of milliseconds.
constexpr base::Duration kStepTime = base::milliseconds(900);
/// Answers per endpoint before the trial moves on to the next group; enough to detect a version that is three times
/// slower.
constexpr double kAnswersPerEndpoint = 25;
/// Added to the time of each group, for the nodes to apply the new row.
constexpr base::Duration kGroupSwitchDelay = base::milliseconds(400);
/// Minimum time per group as a share of the rollout time, so that long rollouts write few rows.
constexpr double kMinGroupTimeShare = 0.08;
/// Added to the 99th percentile of run times, until the last report of an idle endpoint has arrived.
constexpr base::Duration kRetireMargin = base::milliseconds(1700);
constexpr base::Duration kMaxRetireTime = base::seconds(4);
/// Reserve before the deadline: a client may have retried the order for some seconds before it was accepted, and reads
/// the outcome only until its own deadline.
constexpr double kReserveShare = 0.1;
constexpr base::Duration kMaxReserve = base::seconds(2);
/// Maximum shares of the rollout time for retiring the standing version and for each ramp-up step.
constexpr double kMaxRetireShare = 0.3;
constexpr double kMaxStepShare = 0.08;

double secondsOf(base::Duration _duration)
{
	return std::chrono::duration<double>(_duration).count();
}

base::Duration shareOf(base::Duration _time, double _share)
{
	return base::Duration(static_cast<int64_t>(static_cast<double>(_time.count()) * _share));
}

}  // namespace

ramp::ramp(const ramp_options& _options)
	: m_options(_options)
{
}

base::Duration ramp::stepTime() const
{
	return std::min<base::Duration>(kStepTime, shareOf(m_options.finishBy, kMaxStepShare));
}

base::Duration ramp::groupTime(int _permille, int _endpoints) const
{
	const double perSecond = std::max(1.0, m_options.answersPerSecond * _permille / kWholePermille);
	const auto needed = std::chrono::duration<double>(kAnswersPerEndpoint * _endpoints / perSecond);
	const auto time = kGroupSwitchDelay + std::chrono::duration_cast<base::Duration>(needed);
	return std::max(time, shareOf(m_options.finishBy, kMinGroupTimeShare));
}

base::Duration ramp::retireTime() const
{
	const auto wanted = std::min<base::Duration>(kMaxRetireTime, m_options.p99RunTime + kRetireMargin);
	return std::min(wanted, shareOf(m_options.finishBy, kMaxRetireShare));
}

base::Duration ramp::rampUpAt() const
{
	const auto reserve = std::min<base::Duration>(kMaxReserve, shareOf(m_options.finishBy, kReserveShare));
	return std::max(base::Duration(0), m_options.finishBy - reserve - retireTime() - 2 * stepTime());
}

int ramp::trialPermille() const
{
	const double trialSeconds = std::max(0.1, secondsOf(rampUpAt()));
	const double slack = kTrialSlackShare * m_options.exposure.slack / std::max(1.0, m_options.answersPerSecond);
	const double share =
		(kTrialExposureShare * m_options.exposure.share * secondsOf(m_options.finishBy) + slack) / trialSeconds;
	return std::clamp(static_cast<int>(share * kWholePermille), kMinTrialPermille, kMaxTrialPermille);
}

int ramp::middlePermille() const
{
	return std::max(kMiddlePermille, trialPermille());
}

int ramp::highestPermille() const
{
	return kHighestPermille;
}

}  // namespace driftlug::rollout
