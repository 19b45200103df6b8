#include "tenants/tenant_directory.h"

#include <xxhash.h>

#include "wire/gen/driftlug_types.h"

namespace driftlug::tenants
{
namespace
{
uint64_t hashOf(std::string_view _key)
{
	return XXH3_64bits(_key.data(), _key.size());
}

bool equalInConstantTime(std::string_view _left, std::string_view _right)
{
	if (_left.size() != _right.size())
	{
		return false;
	}
	unsigned differences = 0;
	for (size_t i = 0; i < _left.size(); ++i)
	{
		differences |= static_cast<unsigned char>(_left[i]) ^ static_cast<unsigned char>(_right[i]);
	}
	return 0 == differences;
}

}  // namespace

void tenant_directory::add(std::string_view _name, const wire::TenantRow& _row)
{
	auto& added = m_tenants.emplace_back();
	added.name = _name;
	if (_row.__isset.priority)
	{
		added.priority = _row.priority;
	}
	added.ratePerS = _row.__isset.ratePerS ? _row.ratePerS : 0;
	m_anyLimited = m_anyLimited || added.limited();
	added.burst = _row.__isset.burst ? _row.burst : 0;
	added.regions = _row.regions;
	m_byName[added.name] = &added;
	for (const auto& key : _row.keys)
	{
		if (nullptr == find(key))
		{
			m_byHash[hashOf(key)].push_back({key, &added});
		}
	}
}

const tenant* tenant_directory::find(std::string_view _key) const
{
	const auto bucket = m_byHash.find(hashOf(_key));
	if (m_byHash.end() == bucket)
	{
		return nullptr;
	}
	for (const auto& entry : bucket->second)
	{
		if (equalInConstantTime(entry.key, _key))
		{
			return entry.owner;
		}
	}
	return nullptr;
}

const tenant* tenant_directory::findByName(const std::string& _name) const
{
	const auto found = m_byName.find(_name);
	return m_byName.end() == found ? nullptr : found->second;
}

}  // namespace driftlug::tenants
