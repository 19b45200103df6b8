#include "subsetting/endpoint_subset.h"

#include <xxhash.h>

#include <algorithm>

#include "routing/routing_table.h"

namespace driftlug::subsetting
{
endpoint_subset::endpoint_subset(const subset_options& _options, std::string_view _node, std::string_view _zone)
	: m_options(_options)
	, m_zone(_zone)
	, m_seed(XXH3_64bits(_node.data(), _node.size()))
{
}

uint64_t endpoint_subset::hashOf(std::string_view _endpoint) const
{
	return XXH3_64bits_withSeed(_endpoint.data(), _endpoint.size(), m_seed);
}

size_t endpoint_subset::selectFrom(std::span<const routing::EndpointTarget> _endpoints, std::vector<candidate> _from,
								   size_t _wanted, const is_unreachable& _isUnreachable,
								   std::vector<size_t>* _chosen) const
{
	std::sort(_from.begin(), _from.end(),
			  [](const candidate& _a, const candidate& _b)
			  {
				  return _a.hash < _b.hash;
			  });
	const size_t maxTried = _wanted * m_options.maxTriedPerWanted;
	size_t reachable = 0;
	size_t tried = 0;
	for (const auto& [hash, index] : _from)
	{
		if (reachable == _wanted || tried == maxTried)
		{
			break;
		}
		++tried;
		_chosen->push_back(index);
		reachable += _isUnreachable(_endpoints[index].name) ? 0 : 1;
	}
	return reachable;
}

std::vector<routing::EndpointTarget> endpoint_subset::choose(std::span<const routing::EndpointTarget> _endpoints,
															 size_t _extra, const is_unreachable& _isUnreachable) const
{
	const size_t wanted = m_options.endpoints + _extra;
	if (wanted >= _endpoints.size())
	{
		return {_endpoints.begin(), _endpoints.end()};
	}

	std::vector<candidate> own;
	std::vector<candidate> others;
	for (size_t i = 0; i < _endpoints.size(); ++i)
	{
		const auto& endpoint = _endpoints[i];
		(endpoint.zone == m_zone ? own : others).push_back({hashOf(endpoint.name), i});
	}

	std::vector<size_t> chosen;
	const size_t reachableInOwnZone =
		selectFrom(_endpoints, own, m_options.maxInOwnZone + _extra / 2, _isUnreachable, &chosen);
	selectFrom(_endpoints, others, wanted - reachableInOwnZone, _isUnreachable, &chosen);

	std::sort(chosen.begin(), chosen.end());
	std::vector<routing::EndpointTarget> result;
	result.reserve(chosen.size());
	for (const auto index : chosen)
	{
		result.push_back(_endpoints[index]);
	}
	return result;
}

}  // namespace driftlug::subsetting
