#include "soak/soak_plan.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace driftlug::soak
{
namespace
{
std::vector<soak_target> someTargets()
{
	return {{"c-1", soak_role::controller}, {"c-2", soak_role::controller}, {"c-3", soak_role::controller},
			{"r-1", soak_role::relay},      {"n-1", soak_role::node},       {"b-1", soak_role::back_end}};
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

TEST_CASE("a plan harms no process twice at once, and one controller at a time")
{
	const auto targets = someTargets();
	std::set<std::string> actions;
	for (uint64_t seed = 1; seed <= 50; ++seed)
	{
		std::map<std::string, int> until;
		int controllerUntil = 0;
		for (const auto& step : drawPlan(seed, targets, {}))
		{
			CHECK(step.atMs >= until[step.target]);
			CHECK(step.atMs + step.forMs <= soak_shape{}.durationMs);
			until[step.target] = step.atMs + step.forMs;
			actions.insert(soak_action::link == step.action ? std::string(nameOf(step.fault))
															: std::string(nameOf(step.action)));
			if ('c' == step.target[0])
			{
				CHECK(step.atMs >= controllerUntil);
				controllerUntil = step.atMs + step.forMs;
			}
			const bool ended = soak_action::kill == step.action || soak_action::restart == step.action;
			CHECK_FALSE(('b' == step.target[0] && ended));
		}
	}
	CHECK(actions.size() == 8);
}

}  // namespace driftlug::soak
