#include "rollout/version_policy.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "rollout/run_statistics.h"
#include "rollout/trial_group.h"

namespace driftlug::rollout
{
namespace
{
wire::RolloutRow rowOf(wire::RolloutState::type _state)
{
	wire::RolloutRow row;
	row.standing = "v1";
	row.target = "v2";
	row.state = _state;
	return row;
}

std::vector<std::string> names(size_t _count)
{
	std::vector<std::string> names;
	for (size_t i = 0; i < _count; ++i)
	{
		names.push_back("i-" + std::to_string(i));
	}
	return names;
}

}  // namespace

TEST_CASE("a version that the row does not name gets no requests in any state")
{
	const auto state = GENERATE(wire::RolloutState::STANDING, wire::RolloutState::RUNNING,
								wire::RolloutState::COMPLETED, wire::RolloutState::ROLLED_BACK);
	auto row = rowOf(state);
	row.targetPermille = 500;
	const auto policy = policyOf(row);
	CHECK_FALSE(policy.acceptsRequests("v3"));
	CHECK_FALSE(policy.mayGetRequests("v3"));
	CHECK(policy.acceptsRequests("v1"));
}

TEST_CASE("a target version gets requests only while its rollout runs and it has a share")
{
	auto row = rowOf(wire::RolloutState::RUNNING);
	CHECK_FALSE(policyOf(row).acceptsRequests("v2"));
	CHECK(policyOf(row).mayGetRequests("v2"));
	row.targetPermille = 50;
	CHECK(policyOf(row).acceptsRequests("v2"));
	row.state = wire::RolloutState::ROLLED_BACK;
	CHECK_FALSE(policyOf(row).acceptsRequests("v2"));
	CHECK_FALSE(policyOf(row).mayGetRequests("v2"));
}

TEST_CASE("a retiring standing version accepts no new requests")
{
	auto row = rowOf(wire::RolloutState::RUNNING);
	row.targetPermille = kWholePermille;
	row.retiring = true;
	CHECK_FALSE(policyOf(row).acceptsRequests("v1"));
	CHECK(policyOf(row).acceptsRequests("v2"));
	row.state = wire::RolloutState::ROLLED_BACK;
	CHECK(policyOf(row).acceptsRequests("v1"));
}

TEST_CASE("a back end of unknown version accepts requests only if no other version may be running")
{
	CHECK(policyOf(rowOf(wire::RolloutState::STANDING)).acceptsRequests(""));
	CHECK(policyOf(rowOf(wire::RolloutState::COMPLETED)).acceptsRequests(""));
	CHECK_FALSE(policyOf(rowOf(wire::RolloutState::RUNNING)).acceptsRequests(""));
	CHECK_FALSE(policyOf(rowOf(wire::RolloutState::ROLLED_BACK)).acceptsRequests(""));
}

TEST_CASE("trial groups rotate through all endpoints, in whatever order these are known")
{
	auto known = names(7);
	std::set<std::string> tried;
	for (int offset = 0; offset < 7; offset += 2)
	{
		const auto group = chooseTrialGroup(known, offset, 2);
		CHECK(group.size() == 2);
		CHECK(group == chooseTrialGroup({known.rbegin(), known.rend()}, offset, 2));
		tried.insert(group.begin(), group.end());
	}
	CHECK(tried.size() == 7);
	CHECK(chooseTrialGroup(known, 3, 0).size() == 7);
	CHECK(chooseTrialGroup(names(2), 0, 5).size() == 2);
}

TEST_CASE("runs are counted by route, and run times only for warm back ends")
{
	run_statistics figures;
	figures.record(1, false, base::milliseconds(100), {});
	figures.record(1, false, base::milliseconds(100), {.cold = true});
	figures.record(1, true, base::milliseconds(2000), {});
	figures.record(2, false, base::milliseconds(10), {.underLoad = true});
	wire::VersionReport report;
	figures.fill(&report);
	REQUIRE(report.routes.size() == 2);
	CHECK(report.routes[0].answered == 3);
	CHECK(report.routes[0].failed == 1);
	CHECK(report.routes[0].runs == std::vector<int64_t>{1});
	CHECK(static_cast<size_t>(report.routes[0].firstBucket) == bucketOf(base::milliseconds(100)));
	CHECK(report.underLoad.answered == 1);
	CHECK(report.underLoad.failed == 0);
}

TEST_CASE("the number of routes in a report is limited")
{
	run_statistics figures;
	for (int64_t route = 1; route <= 1000; ++route)
	{
		figures.record(route, false, base::milliseconds(10), {});
	}
	wire::VersionReport report;
	figures.fill(&report);
	CHECK(report.routes.size() <= 33);
	int64_t answered = 0;
	for (const auto& route : report.routes)
	{
		answered += route.answered;
	}
	CHECK(answered == 1000);
}

}  // namespace driftlug::rollout
