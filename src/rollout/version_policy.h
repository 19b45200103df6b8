/// Which versions of a service may receive requests.
#ifndef DRIFTLUG_ROLLOUT_VERSION_POLICY_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_VERSION_POLICY_H_HEADER_GUARD

#include <string>
#include <string_view>

#include "wire/gen/driftlug_types.h"

namespace driftlug::rollout
{
/// Number of permille in the full share of requests.
constexpr int kWholePermille = 1000;

/// Rollout row in the form that nodes evaluate.
///
/// The standing version is the one that serves the service before the rollout, the target version the one it moves to.
/// A version that the row does not name gets no request. Back ends of a version that starts too early, runs too long or
/// was never ordered therefore get none, neither from nodes with an outdated row nor from nodes that have just started.
struct version_policy
{
	std::string standing;
	std::string target;
	bool running = false;     //!< A rollout is in progress.
	bool rolledBack = false;  //!< The latest rollout was rolled back.
	bool retiring = false;    //!< Back ends of the standing version accept no new request.
	int targetPermille = 0;
	int groupOffset = 0;
	int groupSize = 0;

	/// @param[in] _version Version of a back end; empty while its node does not know it.
	/// @returns Whether back ends of the version may get requests now.
	bool acceptsRequests(std::string_view _version) const;

	/// @returns Whether back ends of the version may get requests now or later in the rollout, so that nodes keep
	/// connections to them.
	bool mayGetRequests(std::string_view _version) const;

	bool operator==(const version_policy&) const = default;
};

/// @returns The policy of a rollout row.
version_policy policyOf(const wire::RolloutRow& _row);

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_VERSION_POLICY_H_HEADER_GUARD
