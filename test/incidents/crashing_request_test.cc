// Symptom: one request that its caller resent from time to time crashed eleven back ends of a service in twelve
// seconds. Each crash cut off up to nine other requests, and for seconds all requests of the service were refused.
//
// Sequence: a back end crashes while it runs the request, with all other requests that it runs. The entry node retries
// the request at once on the next back end, which crashes as well; the answer is "unknown", or "not run" once all back
// ends are down. Some seconds later, when back ends have restarted, the caller resends the request to another node.
//
// Cause: only the call kept track of crashes under a request, as a count of attempts and a list of endpoints to
// exclude, which were lost when the call ended. There were limits per call (two attempts) and per service and node
// (retries as a share of calls), but none per request.
//
// Evidence: for six of the eleven crashes the logs show what ran, each time the same GET of one path. Five different
// calls at two nodes carried it, each within its limit: `attempt ... error=backend_failed ... attempts=1 ... again=true
// because=allowed`, once `attempts=2 again=false because=attempts_used`. In the fleet of this test the request crashes
// 49 back ends in 55 s, 45 of them later than 3 s after the third; without second attempts by the nodes it is still 33
// and 28, so these attempts don't sustain the sequence; without the request it is none.
#include <catch2/catch.hpp>

#include "incidents/crash_fleet.h"

namespace driftlug::test
{
namespace
{
constexpr char kFatal[] = "/tiles/fatal";
/// Time within which the whole fleet knows of the third crash.
constexpr base::Duration kPropagationLimit = base::seconds(3);
/// Limit of the request's arrivals at back ends after that.
constexpr size_t kMaxArrivalsAfterThirdCrash = 3;
constexpr double kCallsPerSecond = 170;

}  // namespace

TEST_CASE("a request that crashes what runs it is kept from back ends in the whole fleet")
{
	crash_fleet fleet(7);
	fleet.backEnds.fatal = {kFatal};
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(60));
	fleet.runUntil(base::seconds(5));
	fleet.repeat(kFatal, base::milliseconds(2500), base::seconds(60));
	fleet.runUntil(base::seconds(65));

	CHECK(kMaxArrivalsAfterThirdCrash >= fleet.backEnds.arrivalsAfterThirdCrash(kFatal, kPropagationLimit));
	CHECK(6 >= fleet.backEnds.crashesBy(kFatal));
	// Nine in ten requests are served in time, although two of four back ends are down for some seconds.
	CHECK(9 * fleet.callers.requests <= 10 * fleet.callers.inTime);
	CHECK(fleet.callers.lost.size() * 50 <= static_cast<size_t>(fleet.callers.requests));
}

TEST_CASE("a crash on probation is known to all nodes within a tenth of a second")
{
	crash_fleet fleet(11);
	fleet.backEnds.fatal = {kFatal};
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(10));
	fleet.runUntil(base::seconds(5));
	fleet.repeat(kFatal, base::milliseconds(500), base::seconds(10));
	while (2 > fleet.backEnds.crashesBy(kFatal))
	{
		fleet.runUntil(fleet.now() + base::milliseconds(1));
	}
	fleet.runUntil(fleet.now() + base::milliseconds(100));
	for (size_t i = 0; i < fleet.nodes(); ++i)
	{
		CHECK(1 == fleet.node(i).quarantine()->history().quarantinedRequests().size());
	}
}

TEST_CASE("restarts of nodes and relays, also of all relays at once, cause no further crashes")
{
	crash_fleet fleet(13);
	fleet.backEnds.fatal = {kFatal};
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(60));
	fleet.runUntil(base::seconds(5));
	fleet.repeat(kFatal, base::milliseconds(500), base::seconds(60));
	fleet.runUntil(base::seconds(10));
	const auto restartNode = [&](size_t _node)
	{
		fleet.node(_node).kill();
		fleet.runUntil(fleet.now() + base::milliseconds(500));
		fleet.node(_node).start();
		fleet.runUntil(fleet.now() + base::seconds(2));
	};
	for (size_t i = 0; i < fleet.nodes(); ++i)
	{
		restartNode(i);
	}
	for (int round = 0; round < 3; ++round)
	{
		fleet.relay(0).kill();
		fleet.relay(1).kill();
		fleet.runUntil(fleet.now() + base::milliseconds(500));
		fleet.relay(0).start();
		fleet.relay(1).start();
		fleet.runUntil(fleet.now() + base::seconds(3));
		restartNode(0);
	}
	fleet.runUntil(base::seconds(65));
	CHECK(2 == fleet.backEnds.crashesBy(kFatal));
}

TEST_CASE("a node that was cut off from relays receives the crash reports once it reconnects")
{
	crash_fleet fleet(17);
	fleet.backEnds.fatal = {kFatal};
	const size_t cutOff = fleet.nodes() - 1;
	const auto setCut = [&](bool _cut)
	{
		for (const char* relay : {"relay-0", "relay-1"})
		{
			fleet.network().setCut(fleet.node(cutOff).process().name(), relay, _cut);
			fleet.network().setCut(relay, fleet.node(cutOff).process().name(), _cut);
		}
	};
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(40));
	fleet.runUntil(base::seconds(5));
	setCut(true);
	fleet.runUntil(base::seconds(8));
	fleet.call(kFatal);
	fleet.runUntil(base::seconds(12));
	REQUIRE(2 == fleet.backEnds.crashesBy(kFatal));
	setCut(false);
	fleet.runUntil(base::seconds(16));
	CHECK(1 == fleet.node(cutOff).quarantine()->history().quarantinedRequests().size());
	fleet.repeat(kFatal, base::milliseconds(300), base::seconds(40));
	fleet.runUntil(base::seconds(45));
	CHECK(2 == fleet.backEnds.crashesBy(kFatal));
}

TEST_CASE("concurrent copies of a request crash each back end at most once, and one of them once more")
{
	crash_fleet fleet(19);
	fleet.backEnds.fatal = {kFatal};
	fleet.runUntil(base::seconds(5));
	for (int i = 0; i < 40; ++i)
	{
		fleet.call(kFatal);
	}
	fleet.runUntil(base::seconds(20));
	fleet.repeat(kFatal, base::milliseconds(300), base::seconds(40));
	fleet.runUntil(base::seconds(45));
	CHECK(5 >= fleet.backEnds.crashesBy(kFatal));
	CHECK(0 == fleet.backEnds.arrivalsAfterThirdCrash(kFatal, kPropagationLimit));
}

TEST_CASE("a request that crashes back ends never takes down both of two at a time")
{
	crash_fleet fleet(21, 2);
	fleet.backEnds.fatal = {kFatal};
	fleet.startBackgroundTraffic(80, base::seconds(40));
	fleet.runUntil(base::seconds(5));
	fleet.repeat(kFatal, base::milliseconds(500), base::seconds(40));
	while (fleet.now() < base::seconds(45))
	{
		fleet.runUntil(fleet.now() + base::milliseconds(10));
		CHECK((fleet.backEnd(0).up() || fleet.backEnd(1).up()));
	}
	CHECK(2 == fleet.backEnds.crashesBy(kFatal));
}

TEST_CASE("crashes of back ends that no request causes hold no requests")
{
	crash_fleet fleet(23);
	fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(60));
	fleet.runUntil(base::seconds(5));
	// A path that callers request all the time runs on every back end that crashes.
	fleet.repeat("/tiles/favourite", base::milliseconds(20), base::seconds(60));
	for (size_t i = 0; i < 14; ++i)
	{
		fleet.backEnd(i % 4).crashExternally();
		fleet.runUntil(fleet.now() + base::milliseconds(3900));
	}
	fleet.runUntil(base::seconds(65));
	CHECK(14 == fleet.backEnds.externalCrashes.size());
	CHECK(0 == fleet.callers.otherRequestsHeld);
	CHECK(fleet.callers.lost.empty());
	CHECK(99 * fleet.callers.requests <= 100 * fleet.callers.inTime);
}

TEST_CASE("two back ends of four that crash at the same moment hold no requests")
{
	crash_fleet fleet(29);
	fleet.startBackgroundTraffic(100, base::seconds(60));
	fleet.repeat("/tiles/favourite", base::milliseconds(20), base::seconds(60));
	for (size_t i = 0; i < 7; ++i)
	{
		fleet.runUntil(base::seconds(5 + 7 * static_cast<int>(i)));
		fleet.backEnd(i % 4).crashExternally();
		fleet.backEnd((i + 1) % 4).crashExternally();
	}
	fleet.runUntil(base::seconds(65));
	CHECK(0 == fleet.callers.otherRequestsHeld);
	CHECK(50 * fleet.callers.lost.size() <= static_cast<size_t>(fleet.callers.requests));
}

TEST_CASE("a request that is held is refused at once, as not run, until long after")
{
	crash_fleet fleet(31);
	fleet.backEnds.fatal = {kFatal};
	fleet.runUntil(base::seconds(5));
	fleet.call(kFatal);
	fleet.runUntil(base::seconds(10));
	REQUIRE(2 == fleet.backEnds.crashesBy(kFatal));
	// The request has run, so it must not be answered as not run.
	REQUIRE_FALSE(fleet.callers.fatalAnswers.empty());
	CHECK(wire::CallOutcome::UNKNOWN == fleet.callers.fatalAnswers.front().outcome);
	CHECK(502 == fleet.callers.fatalAnswers.front().httpStatus);

	const auto before = fleet.now();
	fleet.callers.fatalAnswers.clear();
	fleet.call(kFatal);
	fleet.runUntil(before + base::milliseconds(5));
	REQUIRE(1 == fleet.callers.fatalAnswers.size());
	const auto& answer = fleet.callers.fatalAnswers.front();
	CHECK(wire::CallOutcome::NOT_RUN == answer.outcome);
	CHECK(base::ErrorCode::kRequestHeld == answer.error);
	CHECK(503 == answer.httpStatus);
	CHECK(60'000 < answer.retryAfterMs);
}

TEST_CASE("a held request is tried again some minutes later, once, and served when it crashes nothing any more")
{
	crash_fleet fleet(37);
	fleet.backEnds.fatal = {kFatal};
	fleet.runUntil(base::seconds(5));
	fleet.repeat(kFatal, base::seconds(10), std::chrono::minutes(20));
	fleet.runUntil(std::chrono::minutes(10));
	CHECK(3 == fleet.backEnds.crashesBy(kFatal));

	crash_fleet mended(37);
	mended.backEnds.fatal = {kFatal};
	mended.runUntil(base::seconds(5));
	mended.repeat(kFatal, base::seconds(10), std::chrono::minutes(20));
	mended.runUntil(std::chrono::minutes(2));
	mended.backEnds.fatal.clear();
	mended.runUntil(std::chrono::minutes(6));
	const int served = mended.callers.served;
	CHECK(0 < served);
	mended.runUntil(std::chrono::minutes(8));
	CHECK(served + 8 <= mended.callers.served);
}

TEST_CASE("back ends that start again under their name get calls at once, and a request is held all the same")
{
	for (const base::Duration step : {base::milliseconds(0), base::milliseconds(20'137), base::milliseconds(-20'137)})
	{
		INFO("the back ends' clocks step by " << step / base::milliseconds(1) << " ms between two starts");
		crash_fleet fleet(41);
		fleet.backEnds.keepIncarnationName = true;
		fleet.backEnds.clockStep = step;
		fleet.backEnds.fatal = {kFatal};
		fleet.startBackgroundTraffic(kCallsPerSecond, base::seconds(60));
		fleet.runUntil(base::seconds(15));  // so that a report sequence that restarts at 1 is far behind
		fleet.repeat(kFatal, base::milliseconds(2500), base::seconds(60));
		for (size_t i = 0; i < 8; ++i)
		{
			fleet.runUntil(base::seconds(20 + 5 * static_cast<int>(i)));
			fleet.backEnd(i % 4).crashExternally();
		}
		fleet.runUntil(base::seconds(65));
		CHECK(2 == fleet.backEnds.crashesBy(kFatal));
		const auto times = fleet.backEnds.restartToFirstCall();
		REQUIRE(10 == times.size());
		CHECK(base::milliseconds(150) > *std::max_element(times.begin(), times.end()));
		CHECK(99 * fleet.callers.requests <= 100 * fleet.callers.inTime);
	}
}

}  // namespace driftlug::test
