#include "subsetting/endpoint_subset.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "routing/routing_table.h"

namespace driftlug::subsetting
{
namespace
{
using routing::EndpointTarget;

constexpr int kZones = 6;

/// A fleet of nodes that all call the same service.
struct fleet
{
	fleet(int _nodes, int _endpoints)
	{
		for (int i = 0; i < _endpoints; ++i)
		{
			endpoints.push_back(endpoint(i));
		}
		for (int i = 0; i < _nodes; ++i)
		{
			nodes.emplace_back(subset_options{}, "node-" + std::to_string(i), zoneOf(i));
		}
	}

	static std::string zoneOf(int _index)
	{
		return "zone-" + std::to_string(_index % kZones);
	}

	static EndpointTarget endpoint(int _index)
	{
		EndpointTarget target;
		target.name = "endpoint-" + std::to_string(_index);
		target.zone = zoneOf(_index);
		return target;
	}

	std::set<std::string> chosenBy(const endpoint_subset& _node) const
	{
		std::set<std::string> names;
		for (const auto& target : _node.choose(endpoints, 0,
											   [this](const auto& _name)
											   {
												   return away.count(_name) > 0;
											   }))
		{
			names.insert(target.name);
		}
		return names;
	}

	/// @returns Load of each reachable endpoint relative to the mean; 1 for an even distribution.
	std::map<std::string, double> load() const
	{
		std::map<std::string, double> sums;
		double all = 0;
		for (const auto& node : nodes)
		{
			std::vector<std::string> reached;
			for (const auto& name : chosenBy(node))
			{
				if (0 == away.count(name))
				{
					reached.push_back(name);
				}
			}
			for (const auto& name : reached)
			{
				sums[name] += 1.0 / static_cast<double>(reached.size());
			}
			all += 1;
		}
		const double mean = all / static_cast<double>(endpoints.size() - away.size());
		for (auto& [name, sum] : sums)
		{
			sum /= mean;
		}
		return sums;
	}

	std::vector<endpoint_subset> nodes;
	std::vector<EndpointTarget> endpoints;
	std::set<std::string> away;
};

double highestOf(const std::map<std::string, double>& _load)
{
	double highest = 0;
	for (const auto& [name, load] : _load)
	{
		highest = std::max(highest, load);
	}
	return highest;
}

}  // namespace

TEST_CASE("every endpoint of a large service is chosen, and none much more than the mean")
{
	const fleet all(300, 100);
	const auto load = all.load();
	CHECK(load.size() == 100);
	CHECK(highestOf(load) < 1.5);
}

TEST_CASE("the remaining endpoints share the load while a third of the service is down")
{
	fleet all(300, 100);
	for (int i = 0; i < 100; i += 3)
	{
		all.away.insert(fleet::endpoint(i).name);
	}
	const auto load = all.load();
	CHECK(load.size() == 66);
	CHECK(highestOf(load) < 2.2);  // zones 0 and 3 are entirely down
	for (const auto& node : all.nodes)
	{
		CHECK(all.chosenBy(node).size() < 3 * 16);
	}
}

TEST_CASE("callers in a failed zone use the endpoints of other zones")
{
	fleet all(300, 100);
	for (int i = 0; i < 100; i += kZones)
	{
		all.away.insert(fleet::endpoint(i).name);
	}
	const auto load = all.load();
	CHECK(load.size() == 83);
	CHECK(highestOf(load) < 1.8);
}

TEST_CASE("an added endpoint replaces at most one connection of each node")
{
	fleet all(300, 100);
	std::vector<std::set<std::string>> before;
	for (const auto& node : all.nodes)
	{
		before.push_back(all.chosenBy(node));
	}
	const auto newcomer = fleet::endpoint(100);
	all.endpoints.push_back(newcomer);
	int callers = 0;
	for (size_t i = 0; i < all.nodes.size(); ++i)
	{
		const auto now = all.chosenBy(all.nodes[i]);
		std::set<std::string> kept;
		std::set_intersection(now.begin(), now.end(), before[i].begin(), before[i].end(),
							  std::inserter(kept, kept.begin()));
		CHECK(kept.size() + 1 >= before[i].size());
		callers += static_cast<int>(now.count(newcomer.name));
	}
	CHECK(callers >= 20);  // on average 48 nodes choose an endpoint
}

TEST_CASE("the own zone comes first, a small service is linked whole, and a full one gets more links")
{
	const fleet all(6, 100);
	size_t own = 0;
	for (const auto& target : all.nodes[0].choose(all.endpoints, 0,
												  [](const auto&)
												  {
													  return false;
												  }))
	{
		own += target.zone == "zone-0" ? 1 : 0;
	}
	CHECK(own == 12);
	const auto more = all.nodes[0].choose(all.endpoints, 8,
										  [](const auto&)
										  {
											  return false;
										  });
	CHECK(more.size() == 24);
	const fleet small(6, 12);
	CHECK(small.nodes[0]
			  .choose(small.endpoints, 0,
					  [](const auto&)
					  {
						  return false;
					  })
			  .size()
		  == 12);
}

}  // namespace driftlug::subsetting
