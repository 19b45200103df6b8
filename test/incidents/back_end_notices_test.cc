// Back ends that state in their responses how many requests they accept, or that they are shutting down.
#include <catch2/catch.hpp>

#include "incidents/notice_checker.h"

namespace driftlug::test
{
namespace
{
constexpr double kCallsPerSecond = 170;
constexpr base::Duration kNoticeAt = base::seconds(5);
constexpr base::Duration kReactionTime = base::seconds(3);

}  // namespace

TEST_CASE("a back end gets no more requests than the rate that it advertises, and the others serve the rest")
{
	crash_fleet fleet(3);
	notice_checker checker(fleet);
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(20));
	fleet.runUntil(kNoticeAt);
	checker.advertiseRate(0, "5.3");
	checker.advertiseRate(1, "10.5");
	fleet.runUntil(base::seconds(22));

	CHECK(checker.mostInFourSeconds(0, kNoticeAt + kReactionTime) <= notice_checker::allowedInFourSeconds(5.3));
	CHECK(checker.mostInFourSeconds(1, kNoticeAt + kReactionTime) <= notice_checker::allowedInFourSeconds(10.5));
	CHECK(fleet.callers.lost.empty());
	CHECK(fleet.callers.inTime * 100 >= fleet.callers.requests * 99);
}

TEST_CASE("a node that restarts beside a back end with a rate limit does not exceed it")
{
	crash_fleet fleet(5);
	notice_checker checker(fleet);
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(30));
	fleet.runUntil(kNoticeAt);
	checker.advertiseRate(0, "2");
	for (int second = 9; second < 27; second += 3)
	{
		fleet.runUntil(base::seconds(second));
		checker.restartNode(0, base::milliseconds(600));
	}
	fleet.runUntil(base::seconds(32));

	CHECK(checker.mostInFourSeconds(0, kNoticeAt + kReactionTime) <= notice_checker::allowedInFourSeconds(2));
}

TEST_CASE(
	"a back end that says in its responses that it is leaving gets no more requests, also after its node restarts")
{
	crash_fleet fleet(4);
	notice_checker checker(fleet);
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(20));
	fleet.runUntil(kNoticeAt);
	checker.leave(0);
	fleet.runUntil(base::seconds(10));
	checker.restartNode(0, base::milliseconds(600));
	fleet.runUntil(base::seconds(22));

	CHECK(0 == checker.arrivalsAfterLeaving(0));
	CHECK(fleet.callers.inTime * 100 >= fleet.callers.requests * 99);
}

}  // namespace driftlug::test
