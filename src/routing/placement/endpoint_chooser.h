/// Interface of the strategies that choose among the usable endpoints of a service.
#ifndef DRIFTLUG_ROUTING_PLACEMENT_ENDPOINT_CHOOSER_H_HEADER_GUARD
#define DRIFTLUG_ROUTING_PLACEMENT_ENDPOINT_CHOOSER_H_HEADER_GUARD

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "overload/nested_call_detector.h"
#include "routing/routing_table.h"

namespace driftlug::routing
{
/// Properties of a request that affect the choice of its endpoint.
struct choice_request
{
	std::string zone;  //!< Zone of this node.
	std::string service;
	overload::call_kind kind;
	base::Duration leftToTarget{0};  //!< Time until the target latency; 0 or less if missed or if there is no target.
	int rank = 0;                    //!< Priority of the request among all requests, lowest first.
	size_t bodyBytes = 0;            //!< Size of a large request body; 0 for a small one.
};

/// Chooses one of several usable endpoints.
class endpoint_chooser
{
public:
	virtual ~endpoint_chooser() = default;

	/// @param[in] _usable At least one endpoint.
	/// @returns One of the given endpoints.
	virtual const EndpointTarget* choose(const std::vector<const EndpointTarget*>& _usable,
										 const choice_request& _request) = 0;

	/// Drops the state of a removed endpoint.
	virtual void removeEndpoint(const std::string& _endpoint) = 0;
};

}  // namespace driftlug::routing

#endif  // DRIFTLUG_ROUTING_PLACEMENT_ENDPOINT_CHOOSER_H_HEADER_GUARD
