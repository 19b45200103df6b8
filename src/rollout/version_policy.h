/// Which versions of a service's back ends take requests.
#ifndef DRIFTLUG_ROLLOUT_VERSION_POLICY_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_VERSION_POLICY_H_HEADER_GUARD

#include <string>
#include <string_view>

#include "wire/gen/driftlug_types.h"

namespace driftlug::rollout
{
/// What a share of requests is counted in.
constexpr int kWholePermille = 1000;

/// A rollout row as a node uses it.
///
/// Whatever the row doesn't name gets no request, so that back ends of a version that comes too early, stays too long
/// or was never ordered are safe from nodes with old rows and from nodes that have just started.
struct version_policy
{
	std::string standing;
	std::string target;
	bool running = false;     //!< An order is under way.
	bool rolledBack = false;  //!< The newest order was.
	bool retiring = false;    //!< Back ends of the standing version take no new request.
	int targetPermille = 0;
	int groupOffset = 0;
	int groupSize = 0;

	/// @param[in] _version Of a back end; empty while its node has not heard it.
	/// @returns Whether back ends of a version may get requests.
	bool acceptsRequests(std::string_view _version) const;

	/// @returns Whether back ends of a version may soon get requests, so that links to them are worth having.
	bool mayGetRequests(std::string_view _version) const;

	bool operator==(const version_policy&) const = default;
};

/// @returns What a row says.
version_policy policyOf(const wire::RolloutRow& _row);

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_VERSION_POLICY_H_HEADER_GUARD
