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

size_t endpoint_subset::take(std::span<const routing::EndpointTarget> _endpoints, std::vector<candidate> _from,
							 size_t _wanted, const out_of_reach& _outOfReach, std::vector<size_t>* _chosen) const
{
	std::sort(_from.begin(), _from.end(),
			  [](const candidate& _a, const candidate& _b)
			  {
				  return _a.hash < _b.hash;
			  });
	const size_t most = _wanted * m_options.triedPerWanted;
	size_t reached = 0;
	size_t tried = 0;
	for (const auto& [hash, index] : _from)
	{
		if (reached == _wanted || tried == most)
		{
			break;
		}
		++tried;
		_chosen->push_back(index);
		reached += _outOfReach(_endpoints[index].name) ? 0 : 1;
	}
	return reached;
}

std::vector<routing::EndpointTarget> endpoint_subset::choose(std::span<const routing::EndpointTarget> _endpoints,
															 size_t _more, const out_of_reach& _outOfReach) const
{
	const size_t wanted = m_options.endpoints + _more;
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
	const size_t ofOwn = take(_endpoints, own, m_options.mostOfOwnZone + _more / 2, _outOfReach, &chosen);
	take(_endpoints, others, wanted - ofOwn, _outOfReach, &chosen);

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
