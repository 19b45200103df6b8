#include "overload/caller_wait_estimator.h"

#include <catch2/catch.hpp>

namespace driftlug::overload
{
TEST_CASE("who states less time than first requests do has waited for the difference")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 20; ++i)
	{
		CHECK(estimator.onCall(2500 - i % 2) <= 1);
	}
	CHECK(estimator.typicalDeadlineMs() == 2500);
	CHECK(estimator.onCall(1500) == 1000);
	CHECK(estimator.onCall(2500) == 0);
}

TEST_CASE("a few callers with more patience are no measure for the others")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 100; ++i)
	{
		estimator.onCall(0 == i % 20 ? 9000 : 2500);
	}
	CHECK(estimator.typicalDeadlineMs() == 2500);
	CHECK(estimator.onCall(9000) == 0);
}

TEST_CASE("first requests stand out among many that come back")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 3000; ++i)
	{
		estimator.onCall(0 == i % 3 ? 2500 : 900 + i * 37 % 900);
	}
	CHECK(estimator.typicalDeadlineMs() == 2500);
}

TEST_CASE("where no time stands out nobody has waited")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 3000; ++i)
	{
		estimator.onCall(1000 + i * 37 % 4000);
	}
	CHECK(estimator.typicalDeadlineMs() == 0);
	CHECK(estimator.onCall(1000) == 0);
}

TEST_CASE("another usual time is learned, and no time at all is none")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 500; ++i)
	{
		estimator.onCall(2500);
	}
	for (int i = 0; i < 300; ++i)
	{
		estimator.onCall(800);
	}
	CHECK(estimator.typicalDeadlineMs() == 800);
	CHECK(estimator.onCall(0) == 0);
}

}  // namespace driftlug::overload
