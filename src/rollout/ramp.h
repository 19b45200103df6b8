/// When a version on trial gets which share of the requests.
#ifndef DRIFTLUG_ROLLOUT_RAMP_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_RAMP_H_HEADER_GUARD

#include "base/time.h"

namespace driftlug::rollout
{
/// How many of a service's requests a version that may be bad gets, at the most.
struct exposure_limit
{
	double share = 0.1;  //!< Of all requests from the order to the end of its time.
	double slack = 50;   //!< Requests beyond that.
};

/// What the ramp of one order follows from.
struct ramp_options
{
	base::Duration finishBy{0};    //!< From the order.
	base::Duration p99RunTime{0};  //!< A request in a hundred runs longer on the standing version.
	double answersPerSecond = 0;   //!< Of the service.
	exposure_limit exposure;
};

/// The share of requests that a version on trial gets, by the time since the order.
///
/// What a bad version may get is a share of all requests of the order's time, and one may turn bad at any moment, so
/// the ramp stays low for long and rises late: a small share while there is time to look, then, in two steps,
/// everything, with just the time left that the last requests on the standing version need to end. Spreading the rise
/// over the time would give a version that turns bad halfway several times more requests before it is noticed.
class ramp
{
public:
	explicit ramp(const ramp_options& _options);

	/// @returns The share while there is time to look, of a thousand.
	int trialPermille() const;

	/// @returns The share of the step between the trial and everything.
	int middlePermille() const;

	/// @returns The share before the standing version retires: it keeps a few requests, so that it can be compared
	/// with.
	int highestPermille() const;

	/// @returns When the share rises beyond the trial's, from the order.
	base::Duration rampUpAt() const;

	/// @returns How long each step of the rise takes: for the nodes to follow, and for what is bad to be told.
	base::Duration stepTime() const;

	/// @returns For how long a group of so many endpoints is tried before it is another's turn.
	base::Duration groupTime(int _permille, int _endpoints) const;

	/// @returns How long requests that began on the standing version are waited for, as far as the order's time goes.
	base::Duration retireTime() const;

private:
	ramp_options m_options;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_RAMP_H_HEADER_GUARD
