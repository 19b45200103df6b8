#include "overload/caller_patience.h"

#include <catch2/catch.hpp>

namespace driftlug::overload
{
TEST_CASE("who states less time than first requests do has waited for the difference")
{
	caller_patience patience;
	for (int i = 0; i < 20; ++i)
	{
		CHECK(patience.onCall(2500 - i % 2) <= 1);
	}
	CHECK(patience.usualMs() == 2500);
	CHECK(patience.onCall(1500) == 1000);
	CHECK(patience.onCall(2500) == 0);
}

TEST_CASE("a few callers with more patience are no measure for the others")
{
	caller_patience patience;
	for (int i = 0; i < 100; ++i)
	{
		patience.onCall(0 == i % 20 ? 9000 : 2500);
	}
	CHECK(patience.usualMs() == 2500);
	CHECK(patience.onCall(9000) == 0);
}

TEST_CASE("first requests stand out among many that come back")
{
	caller_patience patience;
	for (int i = 0; i < 3000; ++i)
	{
		patience.onCall(0 == i % 3 ? 2500 : 900 + i * 37 % 900);
	}
	CHECK(patience.usualMs() == 2500);
}

TEST_CASE("where no time stands out nobody has waited")
{
	caller_patience patience;
	for (int i = 0; i < 3000; ++i)
	{
		patience.onCall(1000 + i * 37 % 4000);
	}
	CHECK(patience.usualMs() == 0);
	CHECK(patience.onCall(1000) == 0);
}

TEST_CASE("another usual time is learned, and no time at all is none")
{
	caller_patience patience;
	for (int i = 0; i < 500; ++i)
	{
		patience.onCall(2500);
	}
	for (int i = 0; i < 300; ++i)
	{
		patience.onCall(800);
	}
	CHECK(patience.usualMs() == 800);
	CHECK(patience.onCall(0) == 0);
}

}  // namespace driftlug::overload
