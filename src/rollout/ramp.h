/// Schedule of the traffic share of the target version.
#ifndef DRIFTLUG_ROLLOUT_RAMP_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_RAMP_H_HEADER_GUARD

#include "base/time.h"

namespace driftlug::rollout
{
/// Upper bound of the requests that may reach a target version before it is rolled back.
struct exposure_limit
{
	double share = 0.1;  //!< Of all requests of the service between the order and its deadline.
	double slack = 50;   //!< Additional requests.
};

/// Inputs of the schedule of one rollout.
struct ramp_options
{
	base::Duration finishBy{0};    //!< Deadline, relative to the order.
	base::Duration p99RunTime{0};  //!< 99th percentile of run times on the standing version.
	double answersPerSecond = 0;   //!< Request rate of the service.
	exposure_limit exposure;
};

/// Share of requests sent to the target version, as a function of the time since the order.
///
/// The exposure limit covers all requests of the rollout, and a version may become unhealthy at any time. The ramp
/// therefore stays at a small trial share for most of the time and increases late: in two steps to the full load, with
/// just enough time left to drain the standing version. Spreading the increase over the whole time would send several
/// times more requests to a version that becomes unhealthy halfway, before this is detected.
class ramp
{
public:
	explicit ramp(const ramp_options& _options);

	/// @returns The share of the trial phase in permille.
	int trialPermille() const;

	/// @returns The share of the first ramp-up step in permille.
	int middlePermille() const;

	/// @returns The share of the second ramp-up step in permille. The standing version keeps the rest, as a baseline
	/// for comparison, until it retires.
	int highestPermille() const;

	/// @returns The end of the trial phase, relative to the order.
	base::Duration rampUpAt() const;

	/// @returns The minimum duration of a ramp-up step: the nodes apply the new share, and failures are reported.
	base::Duration stepTime() const;

	/// @returns The minimum duration of the trial of one group with the given number of endpoints.
	base::Duration groupTime(int _permille, int _endpoints) const;

	/// @returns The time reserved for draining the standing version, limited to a share of the rollout time.
	base::Duration retireTime() const;

private:
	ramp_options m_options;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RAMP_H_HEADER_GUARD
