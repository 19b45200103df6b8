/// Selects the endpoints of a service to which a node keeps connections.
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
/// Sizes of a node's endpoint subset.
struct subset_options
{
	/// Number of reachable endpoints per service. With 16, the least busy of them nearly always has free capacity, and
	/// each endpoint is chosen by at least a dozen nodes, also while a third of the fleet is down. For services with no
	/// more endpoints than this, all of them are chosen.
	size_t endpoints = 16;
	size_t maxInOwnZone = 12;      //!< The rest are in other zones, as fallback if the own zone fails or is full.
	size_t maxTriedPerWanted = 3;  //!< Maximum number of chosen endpoints, reachable or not, per wanted one.
};

/// Chooses endpoints by rendezvous hashing: each node sorts all endpoints by a hash of both names and takes the first.
///
/// The choice needs no knowledge of other nodes and covers all endpoints about evenly. When an endpoint is added or
/// removed, only the nodes that choose it change one connection. Unreachable endpoints stay in the subset so that they
/// are retried, but don't count toward its size, so that others replace them meanwhile.
class endpoint_subset
{
public:
	/// Returns whether the endpoint of that name is currently unreachable.
	using is_unreachable = std::function<bool(const std::string&)>;

	endpoint_subset(const subset_options& _options, std::string_view _node, std::string_view _zone);

	/// @param[in] _endpoints All endpoints of one service.
	/// @param[in] _extra Number of endpoints wanted in addition to the configured ones because those are full.
	/// @param[in] _isUnreachable Called with the names of endpoints.
	/// @returns The chosen endpoints, in the order of _endpoints.
	std::vector<routing::EndpointTarget> choose(std::span<const routing::EndpointTarget> _endpoints, size_t _extra,
												const is_unreachable& _isUnreachable) const;

private:
	/// An endpoint and its hash, by which candidates are sorted.
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
	uint64_t m_seed;  //!< Seed of the endpoint hashes; a hash of the node's name.
};

}  // namespace driftlug::subsetting

#endif  // DRIFTLUG_SUBSETTING_ENDPOINT_SUBSET_H_HEADER_GUARD
