/// Decides the steps of an order to move a service to another version.
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
/// Endpoints of one version, as their newest reports tell.
struct version_endpoints
{
	size_t count = 0;
	int slots = 0;
	int active = 0;  //!< Requests that run or wait there.
};

/// What the leading controller knows when it looks at an order.
struct rollout_situation
{
	base::Duration elapsed{0};        //!< Since the order.
	base::Duration stepAge{0};        //!< Since the row was last written.
	base::Duration leadershipAge{0};  //!< Since this controller leads, and gets reports.
	base::Duration p99RunTime{0};     //!< A request in a hundred runs longer on the standing version.
	double answersPerSecond = 0;
	version_verdict verdict;
	version_endpoints target;
	version_endpoints standing;
	bool standingIdle = false;       //!< All endpoints of the standing version run the newest row, and nothing else.
	bool inForceEverywhere = false;  //!< The newest row is in force at all nodes that are there.
	size_t nodes = 0;                //!< That send requests.
};

/// The state machine of one order, without I/O: a row and what is known give the next row, or none.
///
/// Invariants: the share of the target only rises while the version looks well and reports come in; an order ends once;
/// it completes only when nothing runs on the standing version any more and the nodes send nothing there.
class rollout_driver
{
public:
	explicit rollout_driver(const exposure_limit& _exposure)
		: m_exposure(_exposure)
	{
	}

	/// @returns The first row of an order.
	/// @param[in] _current The row that stands; no order is under way in it.
	static wire::RolloutRow begin(const wire::RolloutRow& _current, const std::string& _target,
								  base::Duration _finishBy);

	/// @returns The row of an order that is taken back.
	static wire::RolloutRow rollBack(const wire::RolloutRow& _current, base::Duration _elapsed,
									 const std::string& _reason);

	/// @returns The next row of a running order; nothing while it stays as it is.
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
