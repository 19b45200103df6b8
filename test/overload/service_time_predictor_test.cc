#include "overload/service_time_predictor.h"

#include <catch2/catch.hpp>

namespace driftlug::overload
{
namespace
{
constexpr call_kind kShort = {0, 200, false};
constexpr call_kind kLong = {2, 4000, false};
constexpr call_kind kUnseen = {1, 800, false};

service_time_predictor taught()
{
	service_time_predictor predictor;
	for (int i = 0; i < 100; ++i)
	{
		predictor.onRun(kShort, base::milliseconds(i % 2 == 0 ? 37 : 57));
		predictor.onRun(kLong, base::milliseconds(i % 2 == 0 ? 660 : 860));
	}
	return predictor;
}

double msOf(base::Duration _duration)
{
	return std::chrono::duration<double, std::milli>(_duration).count();
}

}  // namespace

// Guards against one mean for kinds that differ by an order of magnitude.
TEST_CASE("run times are predicted by kind and pace")
{
	const auto predictor = taught();
	CHECK(msOf(*predictor.runTime(kShort, 1)) == Approx(47).epsilon(0.05));
	CHECK(msOf(*predictor.runTime(kLong, 1)) == Approx(760).epsilon(0.05));
	CHECK(msOf(*predictor.runTime(kLong, 2.5)) == Approx(1900).epsilon(0.05));
	CHECK(!predictor.runTime(kUnseen, 1));
}

TEST_CASE("a kind without a run is expected to hold a slot for the mean of all kinds")
{
	auto predictor = taught();
	CHECK(msOf(predictor.holdTime(predictor.idOf(kUnseen), 1)) == Approx(403).epsilon(0.3));
	CHECK(msOf(predictor.holdTime(predictor.idOf(kShort), 2)) == Approx(94).epsilon(0.05));
	CHECK(msOf(predictor.holdTime(-1, 1)) == Approx(403).epsilon(0.3));
	CHECK(base::Duration(0) == service_time_predictor().holdTime(7, 1));
}

// Guards against a slot that is expected to be free at once for as long as a request overruns its mean.
TEST_CASE("the rest of a run is what its kind's time leaves, and some time for a run that takes longer")
{
	const auto predictor = taught();
	CHECK(msOf(predictor.restTime(kLong, base::milliseconds(200), 1)) == Approx(560).epsilon(0.05));
	CHECK(msOf(predictor.restTime(kLong, base::milliseconds(200), 2.5)) == Approx(1400).epsilon(0.05));
	CHECK(msOf(predictor.restTime(kLong, base::milliseconds(900), 1)) == Approx(100).epsilon(0.2));
}

// Guards against memory that grows with the kinds that callers invent.
TEST_CASE("kinds beyond the bound share one prediction")
{
	service_time_predictor predictor;
	for (int i = 1; i <= 1000; ++i)
	{
		predictor.onRun({0, i, false}, base::milliseconds(i <= 64 ? 10 : 100));
	}
	CHECK(predictor.idOf({0, 64, false}) == 64);
	CHECK(predictor.idOf({0, 65, false}) == 0);
	CHECK(msOf(*predictor.runTime({0, 64, false}, 1)) == Approx(10));
	CHECK(msOf(*predictor.runTime({0, 5000, false}, 1)) == Approx(100));
}

}  // namespace driftlug::overload
