/// Selection of the endpoints that a target version is tried on.
#ifndef DRIFTLUG_ROLLOUT_TRIAL_GROUP_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_TRIAL_GROUP_H_HEADER_GUARD

#include <set>
#include <string>
#include <vector>

namespace driftlug::rollout
{
/// Chooses the endpoints that serve the trial share of a target version. All nodes that know the same endpoints choose
/// the same group.
///
/// A small share spread over all endpoints would put little load on each of them, and failures that occur only under
/// load would not show before the version gets all requests. On a small group the share amounts to the normal load.
/// @param[in] _endpoints Names of all endpoints of the version.
/// @param[in] _offset First endpoint of the group, in the order of the hashes of the names; wraps around.
/// @param[in] _size Number of endpoints; 0 for all.
/// @returns The names of the chosen endpoints.
std::set<std::string> chooseTrialGroup(std::vector<std::string> _endpoints, int _offset, int _size);

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_TRIAL_GROUP_H_HEADER_GUARD
