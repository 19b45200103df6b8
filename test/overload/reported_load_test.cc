#include "overload/reported_load.h"

#include <catch2/catch.hpp>

namespace driftlug::overload
{
namespace
{
base::TimePoint at(int _milliseconds)
{
	return base::TimePoint{} + base::milliseconds(100'000 + _milliseconds);
}

load_report paced(int _percent)
{
	return {1, 2, 9, _percent};
}

/// Reports a pace every 20 ms.
void report(reported_load* _load, int _percent, int _fromMs, int _toMs)
{
	for (int time = _fromMs; time < _toMs; time += 20)
	{
		_load->onReport(paced(_percent), at(time), at(time));
	}
}

}  // namespace

TEST_CASE("the report counted last is current, with its age")
{
	reported_load load;
	CHECK(!load.current(at(0)));
	CHECK(!load.age(at(0)));
	CHECK(1 == load.pace(at(0)));
	CHECK(load.onReport(paced(250), at(0), at(5)));
	CHECK(9 == load.current(at(10))->slots);
	CHECK(base::milliseconds(5) == load.age(at(10)));
	CHECK(2.5 == load.pace(at(10)));
}

// Guards against a slow response that overtakes nothing but arrives last, and puts an old load in place of a newer one.
TEST_CASE("a report of a request sent before one already counted is ignored")
{
	reported_load load;
	CHECK(load.onReport(paced(100), at(50), at(60)));
	CHECK(!load.onReport(paced(250), at(0), at(70)));
	CHECK(1 == load.pace(at(70)));
	CHECK(base::milliseconds(10) == load.age(at(70)));
	CHECK(load.onReport(paced(250), at(50), at(71)));
}

// Guards against an idle back end that is taken for slow, or full, for as long as nobody asks it.
TEST_CASE("a stale report is forgotten, and its pace before that")
{
	reported_load load;
	report(&load, 100, 0, 4000);
	report(&load, 250, 4000, 4600);
	CHECK(2.5 == load.pace(at(4600)));
	CHECK(2.5 == load.pace(at(5000)));
	CHECK(load.pace(at(5700)) < 1.3);
	CHECK(load.current(at(9000)));
	CHECK(!load.current(at(9700)));
	CHECK(!load.age(at(9700)));
	CHECK(1 == load.pace(at(9700)));
}

// Guards against values of an earlier start of the back end, whose responses can still arrive after its restart.
TEST_CASE("after a reset, no report of a request sent earlier counts")
{
	reported_load load;
	load.onReport(paced(250), at(0), at(5));
	load.reset(at(10));
	CHECK(!load.current(at(10)));
	CHECK(1 == load.pace(at(10)));
	CHECK(!load.onReport(paced(250), at(8), at(12)));
	CHECK(!load.current(at(12)));
	CHECK(load.onReport(paced(120), at(11), at(13)));
}

// Guards against a mean that grows while the back end is slow: its slowness would then be counted twice.
TEST_CASE("time worked is converted by the pace that held meanwhile")
{
	reported_load load;
	CHECK(base::milliseconds(100) == load.usualTime(at(0), at(100)));
	report(&load, 100, 0, 1000);
	report(&load, 250, 1000, 1600);
	report(&load, 100, 1600, 2000);
	CHECK(base::milliseconds(100) == load.usualTime(at(1100), at(1350)));
	CHECK(base::milliseconds(300) == load.usualTime(at(900), at(1500)));
	CHECK(base::milliseconds(200) == load.usualTime(at(1350), at(1700)));
}

// Guards against a pace that is taken to have held through a silence, which would teach service times that are too low.
TEST_CASE("a slow pace is not taken to have held through a long silence")
{
	reported_load load;
	report(&load, 100, 0, 1000);
	report(&load, 250, 1000, 1600);
	CHECK(load.usualTime(at(4000), at(4100)) > base::milliseconds(90));
	load.onReport(paced(100), at(4000), at(4100));
	CHECK(load.usualTime(at(4000), at(4100)) > base::milliseconds(90));
}

}  // namespace driftlug::overload
