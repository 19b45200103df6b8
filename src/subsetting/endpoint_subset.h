/// Which endpoints of a service a node keeps links to.
#ifndef DRIFTLUG_SUBSETTING_ENDPOINT_SUBSET_H_HEADER_GUARD
#define DRIFTLUG_SUBSETTING_ENDPOINT_SUBSET_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::routing
{
struct EndpointTarget;
}

namespace driftlug::subsetting
{
/// How many endpoints of a service a node keeps links to.
struct subset_options
{
	/// Enough that the least busy of them is rarely busy, and that each endpoint is chosen by a dozen nodes or more,
	/// also while a third of the fleet is away. Services with no more endpoints than this are linked whole.
	size_t endpoints = 16;
	size_t maxInOwnZone = 12;      //!< The rest are of other zones, to go on when the own one is lost or full.
	size_t maxTriedPerWanted = 3;  //!< Endpoints out of reach are replaced by others up to this multiple.
};

/// Chooses endpoints by rendezvous hashing: each node orders all endpoints by a hash of both names and takes the first.
///
/// So the choice needs no knowledge of other nodes, covers all endpoints about evenly, and when an endpoint comes or
/// goes only the nodes that choose it change one link. Endpoints out of reach are kept, to be tried again, but don't
/// count, so that others stand in for them.
class endpoint_subset
{
public:
	/// Tells whether an endpoint can't be reached now.
	using is_unreachable = std::function<bool(const std::string&)>;

	endpoint_subset(const subset_options& _options, std::string_view _node, std::string_view _zone);

	/// @param[in] _endpoints All endpoints of one service.
	/// @param[in] _more How many are wanted beyond the usual, since those chosen are full.
	/// @returns The chosen ones, in the order of _endpoints.
	std::vector<routing::EndpointTarget> choose(std::span<const routing::EndpointTarget> _endpoints, size_t _extra,
												const is_unreachable& _isUnreachable) const;

private:
	/// An endpoint and its place in this node's order.
	struct candidate
	{
		uint64_t hash = 0;
		size_t index = 0;
	};

	uint64_t hashOf(std::string_view _endpoint) const;
	size_t selectFrom(std::span<const routing::EndpointTarget> _endpoints, std::vector<candidate> _from, size_t _wanted,
					  const is_unreachable& _isUnreachable, std::vector<size_t>* _chosen) const;

	subset_options m_options;
	std::string m_zone;
	uint64_t m_seed;  //!< Of the hashes; a hash of the node's name.
};

}  // namespace driftlug::subsetting

#endif  // DRIFTLUG_SUBSETTING_ENDPOINT_SUBSET_H_HEADER_GUARD
