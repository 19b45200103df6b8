#include "rollout/rollout_driver.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace driftlug::rollout
{
namespace
{
constexpr size_t kMinGroupSize = 1;
/// Maximum number of nodes per endpoint of the trial group; each node opens a connection to each endpoint of the group.
constexpr size_t kMaxNodesPerEndpoint = 500;
/// A new leader does not increase the share before this time: its relays reconnect, and two reports of each endpoint
/// arrive.
constexpr base::Duration kReportCollectionTime = base::milliseconds(1200);
/// A new leader completes no rollout before this time, the lease of an endpoint whose node was lost. Endpoints that
/// have not reported by then are gone.
constexpr base::Duration kEndpointLossTimeout = base::milliseconds(2500);
/// Nodes that do not confirm a row within this time are disconnected or gone and do not delay the rollout.
constexpr base::Duration kNodeConfirmationTimeout = base::seconds(2);
/// The target version has enough capacity if it has kMinSlotShare of the standing version's slots, or if the requests
/// active on both versions take at most kMaxActiveShare of its own slots.
constexpr double kMinSlotShare = 0.6;
constexpr double kMaxActiveShare = 0.85;

wire::RolloutRow step(const wire::RolloutRow& _current, const rollout_situation& _situation, int _permille,
					  size_t _group)
{
	auto row = _current;
	row.targetPermille = _permille;
	row.groupSize = static_cast<int32_t>(_group);
	row.elapsedMs = _situation.elapsed / base::milliseconds(1);
	return row;
}

/// Sizes the trial group in proportion to the traffic share, so that each endpoint gets its eventual load.
size_t groupSizeFor(int _permille, const rollout_situation& _situation)
{
	const size_t byLoad = (static_cast<size_t>(_permille) * _situation.target.count + kWholePermille / 2)
						  / static_cast<size_t>(kWholePermille);
	const size_t byNodes = _situation.nodes / kMaxNodesPerEndpoint + 1;
	return std::max({kMinGroupSize, byLoad, byNodes});
}

bool hasCapacity(const rollout_situation& _situation)
{
	const auto slots = static_cast<double>(_situation.target.slots);
	const bool enoughSlots = slots >= kMinSlotShare * _situation.standing.slots;
	const auto active = static_cast<double>(_situation.standing.active + _situation.target.active);
	return enoughSlots || active <= kMaxActiveShare * slots;
}

std::string reasonOf(const version_verdict& _verdict)
{
	return _verdict.reason.empty() ? "nothing speaks against the version" : _verdict.reason;
}

}  // namespace

wire::RolloutRow rollout_driver::begin(const wire::RolloutRow& _current, const std::string& _target,
									   base::Duration _finishBy)
{
	wire::RolloutRow row;
	row.standing = _current.standing;
	row.target = _target;
	row.state = wire::RolloutState::RUNNING;
	row.groupSize = kMinGroupSize;
	row.finishByMs = _finishBy / base::milliseconds(1);
	return row;
}

wire::RolloutRow rollout_driver::rollBack(const wire::RolloutRow& _current, base::Duration _elapsed,
										  const std::string& _reason)
{
	auto row = _current;
	row.state = wire::RolloutState::ROLLED_BACK;
	row.targetPermille = 0;
	row.retiring = false;
	row.elapsedMs = _elapsed / base::milliseconds(1);
	row.reason = _reason;
	return row;
}

std::optional<wire::RolloutRow> rollout_driver::next(const wire::RolloutRow& _current,
													 const rollout_situation& _situation) const
{
	if (wire::RolloutState::RUNNING != _current.state)
	{
		return std::nullopt;
	}
	if (version_health::unhealthy == _situation.verdict.health)
	{
		return rollBack(_current, _situation.elapsed, reasonOf(_situation.verdict));
	}
	if (_current.retiring)
	{
		return complete(_current, _situation);
	}
	const base::Duration finishBy = base::milliseconds(_current.finishByMs);
	if (_situation.elapsed >= finishBy)
	{
		const char* cause = 0 == _situation.target.count ? "no endpoint of the version reports"
							: !hasCapacity(_situation)   ? "the version has too few slots"
														 : "";
		return rollBack(_current, _situation.elapsed,
						absl::StrFormat("out of time: %s%s", cause, 0 == *cause ? reasonOf(_situation.verdict) : ""));
	}
	if (kReportCollectionTime > _situation.leadershipAge || 0 == _situation.target.count)
	{
		return std::nullopt;
	}
	return nextStep(_current, _situation,
					ramp({finishBy, _situation.p99RunTime, _situation.answersPerSecond, m_exposure}));
}

std::optional<wire::RolloutRow> rollout_driver::nextStep(const wire::RolloutRow& _current,
														 const rollout_situation& _situation, const ramp& _ramp) const
{
	const int permille = _current.targetPermille;
	const int trial = _ramp.trialPermille();
	if (0 == permille)
	{
		return step(_current, _situation, std::max(1, trial / 2), groupSizeFor(trial, _situation));
	}
	if (_ramp.stepTime() > _situation.stepAge)
	{
		return std::nullopt;
	}
	const auto health = _situation.verdict.health;
	const bool mayIncrease = version_health::suspect != health && hasCapacity(_situation);
	const bool increases = _situation.elapsed >= _ramp.rampUpAt() && mayIncrease;
	if (increases && permille >= _ramp.highestPermille())
	{
		auto row = step(_current, _situation, kWholePermille, 0);
		row.retiring = true;
		return row;
	}
	if (increases)
	{
		const bool middle = permille < _ramp.middlePermille();
		return step(_current, _situation, middle ? _ramp.middlePermille() : _ramp.highestPermille(), 0);
	}
	if (permille < trial && mayIncrease)
	{
		return step(_current, _situation, trial, groupSizeFor(trial, _situation));
	}
	const bool partialGroup =
		0 < _current.groupSize && static_cast<size_t>(_current.groupSize) < _situation.target.count;
	if (partialGroup && _ramp.groupTime(permille, _current.groupSize) <= _situation.stepAge)
	{
		// Trying other endpoints under the same load distinguishes a faulty version from faulty endpoints.
		auto row = step(_current, _situation, permille, groupSizeFor(permille, _situation));
		row.groupOffset = (_current.groupOffset + _current.groupSize) % static_cast<int>(_situation.target.count);
		return row;
	}
	return std::nullopt;
}

std::optional<wire::RolloutRow> rollout_driver::complete(const wire::RolloutRow& _current,
														 const rollout_situation& _situation) const
{
	const bool nodesUpdated = _situation.inForceEverywhere || kNodeConfirmationTimeout <= _situation.stepAge;
	if (!_situation.standingIdle || !nodesUpdated || kEndpointLossTimeout > _situation.leadershipAge)
	{
		return std::nullopt;
	}
	auto row = step(_current, _situation, 0, 0);
	row.state = wire::RolloutState::COMPLETED;
	row.standing = _current.target;
	row.retiring = false;
	row.reason = reasonOf(_situation.verdict);
	return row;
}

}  // namespace driftlug::rollout
