/// State machine of a rollout that moves a service to another version.
#ifndef DRIFTLUG_ROLLOUT_ROLLOUT_DRIVER_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_ROLLOUT_DRIVER_H_HEADER_GUARD

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "rollout/ramp.h"
#include "rollout/version_evidence.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::rollout
{
/// Totals over the endpoints of one version, from their latest reports.
struct version_endpoints
{
	size_t count = 0;
	int slots = 0;
	int active = 0;  //!< Requests that run or wait at the endpoints.
};

/// Inputs of the leading controller for the next step of a rollout.
struct rollout_situation
{
	base::Duration elapsed{0};        //!< Time since the order.
	base::Duration stepAge{0};        //!< Time since the row was last written.
	base::Duration leadershipAge{0};  //!< Time since this controller became leader.
	base::Duration p99RunTime{0};     //!< 99th percentile of run times on the standing version.
	double answersPerSecond = 0;
	version_verdict verdict;
	version_endpoints target;
	version_endpoints standing;
	bool standingIdle = false;       //!< All standing endpoints have applied the latest row and run no request.
	bool inForceEverywhere = false;  //!< The latest row is in force at all attached nodes.
	size_t nodes = 0;                //!< Attached nodes.
};

/// State machine of one rollout, without I/O: computes the next row, if any, from the current row and the situation.
///
/// Invariants: the share of the target only increases while the version is healthy and reports arrive; a rollout ends
/// exactly once; it completes only when the standing version runs no request and the nodes send none to it.
class rollout_driver
{
public:
	explicit rollout_driver(const exposure_limit& _exposure)
		: m_exposure(_exposure)
	{
	}

	/// @returns The first row of a rollout.
	/// @param[in] _current Current row; no rollout may be running in it.
	static wire::RolloutRow begin(const wire::RolloutRow& _current, const std::string& _target,
								  base::Duration _finishBy);

	/// @returns The row of a rollout that is rolled back.
	static wire::RolloutRow rollBack(const wire::RolloutRow& _current, base::Duration _elapsed,
									 const std::string& _reason);

	/// @returns The next row of a running rollout; nothing while no step is due.
	std::optional<wire::RolloutRow> next(const wire::RolloutRow& _current, const rollout_situation& _situation) const;

private:
	std::optional<wire::RolloutRow> nextStep(const wire::RolloutRow& _current, const rollout_situation& _situation,
											 const ramp& _ramp) const;
	std::optional<wire::RolloutRow> complete(const wire::RolloutRow& _current,
											 const rollout_situation& _situation) const;

	exposure_limit m_exposure;
};

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_ROLLOUT_DRIVER_H_HEADER_GUARD
