#include "rollout/ramp.h"

#include <algorithm>

#include "rollout/version_policy.h"

namespace driftlug::rollout
{
namespace
{
/// Part of the exposure that the trial may use up; the rest is for what the steps of the rise give a version that turns
/// bad then, until that is noticed.
constexpr double kTrialExposureShare = 0.6;
/// Part of the requests beyond the share that it may use up.
constexpr double kTrialSlackShare = 0.4;
constexpr int kMinTrialPermille = 10;
constexpr int kMaxTrialPermille = 100;
constexpr int kMiddlePermille = 350;
constexpr int kHighestPermille = 950;
/// From a decision until its effect is counted and told: a commit, the way to the nodes, a quarter of a second between
/// two reports, and their way back, each some tens to hundreds of milliseconds.
constexpr base::Duration kStepTime = base::milliseconds(900);
/// What an endpoint answers before it is another's turn: a version that is three times slower shows within some 25
/// answers.
constexpr double kAnswersPerEndpoint = 25;
/// Beside it, for the nodes to follow; and a share of a long order's time, so that its steps cost next to nothing.
constexpr base::Duration kGroupSwitchDelay = base::milliseconds(400);
constexpr double kMinGroupTimeShare = 0.08;
/// Beyond the longest usual run, until the last node's word that nothing runs any more is here.
constexpr base::Duration kRetireMargin = base::milliseconds(1700);
constexpr base::Duration kMaxRetireTime = base::seconds(4);
/// Kept free at the end: an order may have been sent again for some seconds before it was accepted, and is read back by
/// whoever gave it until its time is over.
constexpr double kReserveShare = 0.1;
constexpr base::Duration kMaxReserve = base::seconds(2);
/// Share of the order's time that retiring may take, and the steps of the rise.
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
	const double trial = std::max(0.1, secondsOf(rampUpAt()));
	const double slack = kTrialSlackShare * m_options.exposure.slack / std::max(1.0, m_options.answersPerSecond);
	const double share =
		(kTrialExposureShare * m_options.exposure.share * secondsOf(m_options.finishBy) + slack) / trial;
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
