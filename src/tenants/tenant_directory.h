/// Whose requests carry which key.
#ifndef DRIFTLUG_TENANTS_TENANT_DIRECTORY_H_HEADER_GUARD
#define DRIFTLUG_TENANTS_TENANT_DIRECTORY_H_HEADER_GUARD

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace driftlug::wire
{
class TenantRow;
}

namespace driftlug::tenants
{
/// What a node knows of a tenant.
struct tenant
{
	std::string name;
	std::optional<int> priority;       //!< Goes before the one of the route.
	double ratePerS = 0;               //!< Requests a second over all nodes; 0 for no limit.
	double burst = 0;                  //!< Requests at once beyond the rate.
	std::vector<std::string> regions;  //!< Of back ends that may serve it; any where it is empty.

	/// @returns Whether its requests are counted over all nodes.
	bool limited() const
	{
		return 0 < ratePerS;
	}
};

/// The tenants of one version of the table, found by their keys.
///
/// Keys are looked up by a hash and then compared in a time that doesn't depend on where they differ, so that the time
/// of an answer tells nothing of a key. No key leaves this class.
class tenant_directory
{
public:
	/// Takes a tenant; a key that another one holds stays with that one.
	void add(std::string_view _name, const wire::TenantRow& _row);

	/// @returns The tenant that holds a key, or null.
	const tenant* find(std::string_view _key) const;

	/// @returns The tenant of that name, or null.
	const tenant* findByName(const std::string& _name) const;

	/// @returns Whether no table row names a tenant, so that callers need no key.
	bool empty() const
	{
		return m_tenants.empty();
	}

private:
	struct key_entry
	{
		std::string key;
		const tenant* owner;
	};

	std::deque<tenant> m_tenants;  //!< Never moved, so that pointers to its elements hold.
	std::unordered_map<std::string, const tenant*> m_byName;
	std::unordered_map<uint64_t, std::vector<key_entry>> m_byHash;
};

}  // namespace driftlug::tenants

#endif  // DRIFTLUG_TENANTS_TENANT_DIRECTORY_H_HEADER_GUARD
