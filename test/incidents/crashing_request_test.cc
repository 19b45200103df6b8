// Symptom: one request, sent again now and then by its caller, took down back end after back end of a service: eleven
// in twelve seconds. Each time up to nine other requests were cut, and for seconds all of the service's were refused.
//
// Sequence: a back end ends while it runs the request, with all else that it runs. The node where the call began sends
// it to the next back end at once, which ends as well; the answer is "unknown", or "not run" once all back ends are
// away. The caller comes again some seconds later, at another node, when back ends have started again; it all begins
// anew.
//
// Cause: that a back end ended under a request was known to the call alone, as a count of attempts and a list of
// endpoints to leave out, and died with it. Bounds held for each call (two attempts) and for each service and node
// (retries as a share of calls), none for the request.
//
// What settled it: for six of the eleven ends the logs show what ran, each time the same GET of one path. Five
// different calls at two nodes took it there, each within its own bound: `attempt ... error=backend_failed ...
// attempts=1 ... again=true because=allowed`, once `attempts=2 again=false because=attempts_used`. In the test's fleet
// the request ends 49 back ends in 55 s, 45 of them later than 3 s after the third; without second attempts of the
// nodes still 33 and 28, so these are not what carries it on; without the request none.
#include <catch2/catch.hpp>

#include "incidents/crash_fleet.h"

namespace driftlug::test
{
namespace
{
constexpr char kFatal[] = "/tiles/fatal";
/// What a fleet knows after the third crash, it knows everywhere within this time.
constexpr base::Duration kKnownWithin = base::seconds(3);
/// Times that a request may reach a back end after that.
constexpr size_t kMostPastThird = 3;
constexpr double kCallsPerSecond = 170;

}  // namespace

TEST_CASE("a request that crashes what runs it is kept from back ends in the whole fleet")
{
	crash_fleet fleet(7);
	fleet.backEnds.fatal = {kFatal};
	fleet.callAllTheTime(kCallsPerSecond, base::seconds(60));
	fleet.runUntil(base::seconds(5));
	fleet.repeat(kFatal, base::milliseconds(2500), base::seconds(60));
	fleet.runUntil(base::seconds(65));

	CHECK(kMostPastThird >= fleet.backEnds.arrivalsPastThird(kFatal, kKnownWithin));
	CHECK(6 >= fleet.backEnds.crashesBy(kFatal));
	// Callers of everything else: nine in ten are served in time, also with two back ends of four away for some
	// seconds.
	CHECK(9 * fleet.callers.asked <= 10 * fleet.callers.inTime);
	CHECK(fleet.callers.lost.size() * 50 <= static_cast<size_t>(fleet.callers.asked));
}

}  // namespace driftlug::test
