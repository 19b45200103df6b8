// Back ends that state in their responses how many requests they accept, or that they are shutting down.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "incidents/notice_checker.h"

namespace driftlug::test
{
namespace
{
constexpr double kCallsPerSecond = 170;
constexpr base::Duration kNoticeAt = base::seconds(5);
constexpr base::Duration kReactionTime = base::seconds(3);

/// Makes a random back end change its notices or crash, or restarts a random node.
void playNotice(crash_fleet& _fleet, notice_checker& _checker, base::RandomSource& _random)
{
	const auto backEnd = _random.below(4);
	switch (_random.below(9))
	{
		case 0:
			return _checker.advertiseRate(backEnd, "");
		case 1:
			return _checker.crash(backEnd);
		case 2:
		case 3:
			return _checker.restartNode(backEnd, base::milliseconds(300) + _random.duration(base::seconds(1)));
		case 4:
			return _checker.restartNode(4 + _random.below(_fleet.nodes() - 4), base::milliseconds(500));
		case 5:
			return _checker.leave(backEnd);
		default:
			return _checker.advertiseRate(backEnd,
										  std::to_string(0.5 + 0.01 * static_cast<double>(_random.below(2000))));
	}
}

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

TEST_CASE("while all back ends have a rate limit, callers get what the limits allow and learn when to return")
{
	constexpr double kRate = 12;
	crash_fleet fleet(6);
	notice_checker checker(fleet);
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(25));
	fleet.runUntil(kNoticeAt);
	for (size_t i = 0; i < 4; ++i)
	{
		checker.advertiseRate(i, std::to_string(kRate));
	}
	fleet.runUntil(kNoticeAt + kReactionTime);
	const auto servedBefore = fleet.callers.served;
	const auto begunAt = fleet.now();
	std::vector<int> retryAfterMs;
	const auto passOn = fleet.onAttemptAnswered;
	fleet.onAttemptAnswered = [&](size_t _node, const node::CallAnswer& _answer)
	{
		passOn(_node, _answer);
		if (wire::CallOutcome::NOT_RUN == _answer.outcome)
		{
			retryAfterMs.push_back(_answer.retryAfterMs);
		}
	};
	fleet.runUntil(base::seconds(25));

	CHECK(checker.worstExcess() <= 0);
	const double seconds = std::chrono::duration<double>(fleet.now() - begunAt).count();
	CHECK(fleet.callers.served - servedBefore >= 0.9 * 4 * kRate * seconds);
	REQUIRE(!retryAfterMs.empty());
	CHECK(*std::min_element(retryAfterMs.begin(), retryAfterMs.end()) > 0);
	CHECK(*std::max_element(retryAfterMs.begin(), retryAfterMs.end()) <= 2000);
}

TEST_CASE("a back end whose rate limit has ended gets its share of the requests again")
{
	crash_fleet fleet(8);
	notice_checker checker(fleet);
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(30));
	fleet.runUntil(kNoticeAt);
	checker.advertiseRate(0, "0.5");
	fleet.runUntil(base::seconds(15));
	checker.advertiseRate(0, "");
	fleet.runUntil(base::seconds(20));
	const auto isOfFirst = [](const back_end_event& _arrival)
	{
		return 0 == _arrival.node;
	};
	const auto before = std::count_if(fleet.backEnds.arrivals.begin(), fleet.backEnds.arrivals.end(), isOfFirst);
	fleet.runUntil(base::seconds(30));
	const auto after = std::count_if(fleet.backEnds.arrivals.begin(), fleet.backEnds.arrivals.end(), isOfFirst);
	CHECK(after - before >= 10 * kCallsPerSecond / 8);
	CHECK(fleet.callers.lost.empty());
}

TEST_CASE("notices of back ends are followed over restarts of nodes and crashes of back ends")
{
	const char* seeds = std::getenv("DRIFTLUG_NOTICE_SEEDS");
	const int lastSeed = nullptr == seeds ? 40 : std::stoi(seeds);
	for (int seed = 1; seed <= lastSeed; ++seed)
	{
		CAPTURE(seed);
		crash_fleet fleet(static_cast<uint64_t>(seed));
		fleet.backEnds.keepIncarnationName = 0 == seed % 2;
		notice_checker checker(fleet);
		base::RandomSource random(static_cast<uint64_t>(seed) + 1000);
		constexpr base::Duration kEnd = base::seconds(45);
		fleet.startBackgroundTraffic(kCallsPerSecond, kEnd);
		fleet.runUntil(base::seconds(4));  // back ends report the name that they keep
		while (fleet.now() < kEnd)
		{
			fleet.runUntil(fleet.now() + base::milliseconds(200) + random.duration(base::milliseconds(2500)));
			playNotice(fleet, checker, random);
		}
		CHECK(checker.worstExcess() <= 0);
		CHECK(0 == checker.arrivalsAfterLeaving());
	}
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

	CHECK(0 == checker.arrivalsAfterLeaving());
	CHECK(fleet.callers.inTime * 100 >= fleet.callers.requests * 99);
}

}  // namespace driftlug::test
