#include "rollout/version_policy.h"

namespace driftlug::rollout
{
bool version_policy::acceptsRequests(std::string_view _version) const
{
	if (_version.empty())
	{
		// A restarted node knows the name of its back end up to 1.5 s before its version. Calls are withheld during
		// that time only if endpoints of another version may exist.
		return !running && !rolledBack;
	}
	if (_version == standing)
	{
		return !retiring;
	}
	return running && _version == target && 0 < targetPermille;
}

bool version_policy::mayGetRequests(std::string_view _version) const
{
	return acceptsRequests(_version) || _version == standing || (running && _version == target);
}

version_policy policyOf(const wire::RolloutRow& _row)
{
	version_policy policy;
	policy.standing = _row.standing;
	policy.target = _row.target;
	policy.running = wire::RolloutState::RUNNING == _row.state;
	policy.rolledBack = wire::RolloutState::ROLLED_BACK == _row.state;
	policy.retiring = policy.running && _row.retiring;
	policy.targetPermille = policy.running ? _row.targetPermille : 0;
	policy.groupOffset = _row.groupOffset;
	policy.groupSize = _row.groupSize;
	return policy;
}

}  // namespace driftlug::rollout
