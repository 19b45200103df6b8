#include <catch2/catch.hpp>

#include "slow_fleet.h"

namespace driftlug::test
{
namespace
{
constexpr size_t kFirstRoutes = 1600;
constexpr size_t kMoreRoutes = 1640;
constexpr int kChanges = 4;
constexpr base::Duration kMaxConvergenceTime = base::seconds(2);  // after the acknowledgement, on all nodes
constexpr base::Duration kRecoveryTime = base::seconds(15);       // after the start of all processes
constexpr base::Duration kElectionTimeout = base::milliseconds(400);
constexpr base::Duration kBetweenChanges = base::seconds(5);

}  // namespace

TEST_CASE("large changes of a growing table are in force in time, and the leader stays")
{
	slow_fleet fleet;
	REQUIRE(fleet.addRoutes(kFirstRoutes));
	fleet.waitForNodes();
	fleet.runFor(kBetweenChanges);
	const auto term = fleet.term();
	for (int i = 0; i < kChanges; ++i)
	{
		REQUIRE(fleet.addRoutes(kMoreRoutes));
		CHECK(fleet.waitForNodes() <= kMaxConvergenceTime);
		fleet.runFor(kBetweenChanges);
	}
	CHECK(fleet.term() == term);
	CHECK(fleet.longestCoreAction() < kElectionTimeout);
}

TEST_CASE("a large table is in force again in time after all processes were killed")
{
	slow_fleet fleet;
	for (int i = 0; i <= kChanges; ++i)
	{
		REQUIRE(fleet.addRoutes(kMoreRoutes));
		fleet.waitForNodes();
		fleet.runFor(kBetweenChanges);
	}
	const auto term = fleet.term();
	fleet.killAll(base::seconds(1));
	fleet.runFor(kRecoveryTime);
	CHECK(fleet.configReadable());
	CHECK(fleet.nodesUpToDate() == fleet.nodes());
	CHECK(fleet.term() <= term + 3);
}

}  // namespace driftlug::test
