/// Lookup of tenants by API key and by name.
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
/// Properties of a tenant that a node uses.
struct tenant
{
	std::string name;
	std::optional<int> priority;       //!< Overrides the priority of the route.
	double ratePerS = 0;               //!< Requests per second over all nodes; 0 for no limit.
	double burst = 0;                  //!< Burst size over all nodes, in requests.
	std::vector<std::string> regions;  //!< Regions whose back ends may serve it; empty for any.

	/// @returns Whether the tenant has a rate limit over all nodes.
	bool limited() const
	{
		return 0 < ratePerS;
	}
};

/// The tenants of one version of the routing table.
///
/// Keys are looked up by hash and then compared in constant time, so that response times reveal nothing about a key. No
/// key leaves this class.
class tenant_directory
{
public:
	/// Adds a tenant. A key that already belongs to another tenant stays with that tenant.
	void add(std::string_view _name, const wire::TenantRow& _row);

	/// @returns The tenant to which a key belongs, or null.
	const tenant* find(std::string_view _key) const;

	/// @returns The tenant with that name, or null.
	const tenant* findByName(const std::string& _name) const;

	/// @returns Whether the table has no tenants, in which case callers need no key.
	bool empty() const
	{
		return m_tenants.empty();
	}

	/// @returns Whether some tenant has a rate limit over all nodes.
	bool anyLimited() const
	{
		return m_anyLimited;
	}

private:
	struct key_entry
	{
		std::string key;
		const tenant* owner;
	};

	std::deque<tenant> m_tenants;  //!< A deque, since pointers to its elements must stay valid.
	bool m_anyLimited = false;
	std::unordered_map<std::string, const tenant*> m_byName;
	std::unordered_map<uint64_t, std::vector<key_entry>> m_byHash;
};

}  // namespace driftlug::tenants

#endif  // DRIFTLUG_TENANTS_TENANT_DIRECTORY_H_HEADER_GUARD
