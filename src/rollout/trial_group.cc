#include "rollout/trial_group.h"

#include <xxhash.h>

#include <algorithm>

namespace driftlug::rollout
{
std::set<std::string> chooseTrialGroup(std::vector<std::string> _endpoints, int _offset, int _size)
{
	if (0 == _size || _endpoints.size() <= static_cast<size_t>(_size))
	{
		return {_endpoints.begin(), _endpoints.end()};
	}

	const auto hashOf = [](const std::string& _name)
	{
		return XXH3_64bits(_name.data(), _name.size());
	};
	std::sort(_endpoints.begin(), _endpoints.end(),
			  [&](const std::string& _left, const std::string& _right)
			  {
				  return hashOf(_left) < hashOf(_right);
			  });
	std::set<std::string> group;
	for (int i = 0; i < _size; ++i)
	{
		group.insert(_endpoints[static_cast<size_t>(_offset + i) % _endpoints.size()]);
	}
	return group;
}

}  // namespace driftlug::rollout
