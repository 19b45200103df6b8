#include "overload/caller_wait_estimator.h"

#include <catch2/catch.hpp>

namespace driftlug::overload
{
TEST_CASE("a caller with less remaining time than first requests has waited for the difference")
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

TEST_CASE("a few callers with longer deadlines do not change the estimate")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 100; ++i)
	{
		estimator.onCall(0 == i % 20 ? 9000 : 2500);
	}
	CHECK(estimator.typicalDeadlineMs() == 2500);
	CHECK(estimator.onCall(9000) == 0);
}

TEST_CASE("first requests are recognized among many retries")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 3000; ++i)
	{
		estimator.onCall(0 == i % 3 ? 2500 : 900 + i * 37 % 900);
	}
	CHECK(estimator.typicalDeadlineMs() == 2500);
}

TEST_CASE("no caller has waited while no deadline is frequent enough")
{
	caller_wait_estimator estimator;
	for (int i = 0; i < 3000; ++i)
	{
		estimator.onCall(1000 + i * 37 % 4000);
	}
	CHECK(estimator.typicalDeadlineMs() == 0);
	CHECK(estimator.onCall(1000) == 0);
}

TEST_CASE("the estimate follows a new typical deadline, and a caller without a deadline has not waited")
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
