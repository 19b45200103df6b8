#include "soak/soak_plan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace driftlug::soak
{
namespace
{
constexpr uint64_t kSeeds = 50;

std::vector<soak_target> someTargets()
{
	return {{"c-1", soak_role::controller}, {"c-2", soak_role::controller}, {"c-3", soak_role::controller},
			{"r-1", soak_role::relay},      {"e-1", soak_role::entry},      {"n-1", soak_role::node},
			{"n-2", soak_role::node},       {"b-1", soak_role::back_end}};
}

bool isElectionStep(const soak_step& _step)
{
	return kLeaderTarget == _step.target || kFollowerTarget == _step.target;
}

/// @returns Whether two steps overlap in time.
bool overlap(const soak_step& _left, const soak_step& _right)
{
	return _left.atMs < _right.atMs + _right.forMs && _right.atMs < _left.atMs + _left.forMs;
}

/// Calls back for each pair of overlapping disruptive steps of a plan.
template <typename Callback>
void forEachOverlap(const std::vector<soak_step>& _plan, Callback _callback)
{
	for (size_t i = 0; i < _plan.size(); ++i)
	{
		for (size_t j = i + 1; j < _plan.size(); ++j)
		{
			if (isDisruptive(_plan[i].action) && isDisruptive(_plan[j].action) && overlap(_plan[i], _plan[j]))
			{
				_callback(_plan[i], _plan[j]);
			}
		}
	}
}

}  // namespace

TEST_CASE("equal seeds draw equal plans, other seeds others")
{
	const auto targets = someTargets();
	const auto text = [&](uint64_t _seed)
	{
		std::string all;
		for (const auto& step : drawPlan(_seed, targets, {}))
		{
			all += textOf(step) + "\n";
		}
		return all;
	};
	CHECK(text(1) == text(1));
	CHECK(text(1) != text(2));
}

TEST_CASE("plans draw every action, but never stop a back end or affect an entry's link")
{
	const auto targets = someTargets();
	std::set<std::string> actions;
	for (uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		for (const auto& step : drawPlan(seed, targets, {}))
		{
			CHECK(step.atMs + step.forMs <= plan_options{}.durationMs);
			const bool link = soak_action::link == step.action;
			actions.insert(std::string(link ? nameOf(step.fault) : nameOf(step.action)));
			const bool backEnd = "b-1" == step.target;
			CHECK_FALSE((backEnd && !link && soak_action::pause != step.action));
			CHECK_FALSE(("r-1" == step.target && soak_action::reload == step.action));
			CHECK_FALSE(("e-1" == step.target && link));
		}
	}
	CHECK(actions.size() == 13);
}

TEST_CASE("a process has one fault at a time, and so has its link, but the two may overlap")
{
	const auto targets = someTargets();
	int both = 0;
	for (uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		forEachOverlap(drawPlan(seed, targets, {}),
					   [&](const soak_step& _left, const soak_step& _right)
					   {
						   if (_left.target != _right.target)
						   {
							   return;
						   }
						   const bool leftLink = soak_action::link == _left.action;
						   const bool rightLink = soak_action::link == _right.action;
						   CHECK(leftLink != rightLink);
						   both += leftLink != rightLink ? 1 : 0;
					   });
	}
	CHECK(both > 0);
}

TEST_CASE("one controller has a fault at a time, except for the two of a disturbed election")
{
	const auto targets = someTargets();
	int elections = 0;
	const auto controller = [](const soak_step& _step)
	{
		return 'c' == _step.target[0] || isElectionStep(_step);
	};
	for (uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		forEachOverlap(drawPlan(seed, targets, {}),
					   [&](const soak_step& _left, const soak_step& _right)
					   {
						   if (controller(_left) && controller(_right) && _left.target != _right.target)
						   {
							   CHECK(isElectionStep(_left));
							   CHECK(isElectionStep(_right));
							   ++elections;
						   }
					   });
	}
	CHECK(elections > 0);
}

TEST_CASE("signals to a process that stops come within its stop")
{
	const auto targets = someTargets();
	int again = 0;
	for (uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		const auto plan = drawPlan(seed, targets, {});
		for (const auto& step : plan)
		{
			if (soak_action::stop_again != step.action)
			{
				continue;
			}
			++again;
			CHECK(std::any_of(plan.begin(), plan.end(),
							  [&](const soak_step& _stop)
							  {
								  return soak_action::restart == _stop.action && _stop.target == step.target
										 && _stop.atMs < step.atMs && step.atMs < _stop.atMs + _stop.forMs;
							  }));
		}
	}
	CHECK(again > 0);
}

TEST_CASE("the rolling plan stops every node twice, one after another, and changes the table throughout")
{
	constexpr int kGapMs = 900;
	std::map<std::string, int> stops;
	int lastMs = 0;
	const auto targets = someTargets();
	const auto plan = rollingPlan(targets, kGapMs);
	REQUIRE_FALSE(plan.empty());
	CHECK(soak_action::edit_storm == plan.front().action);
	for (size_t i = 1; i < plan.size(); ++i)
	{
		CHECK(soak_action::restart == plan[i].action);
		CHECK(plan[i].atMs >= lastMs + kGapMs);
		lastMs = plan[i].atMs;
		++stops[plan[i].target];
	}
	CHECK(stops == std::map<std::string, int>{{"e-1", 2}, {"n-1", 2}, {"n-2", 2}});
	CHECK(plan.front().forMs >= lastMs);
}

}  // namespace driftlug::soak
