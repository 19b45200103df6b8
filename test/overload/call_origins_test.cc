#include "overload/call_origins.h"

#include <catch2/catch.hpp>

namespace driftlug::overload
{
namespace
{
constexpr call_kind kOrder = {1, 500, true};
constexpr call_kind kCheck = {1, 120, false};
constexpr call_kind kSearch = {2, 400, false};

const std::string kServices[] = {"catalogue", "orders", "deliveries"};

}  // namespace

TEST_CASE("what comes from beside one service only, while others call too, is nested")
{
	call_origins origins;
	for (int i = 0; i < 100; ++i)
	{
		origins.onCall(kOrder, kServices[i % 3]);
		origins.onCall(kCheck, "catalogue");
	}
	CHECK(origins.nested(kCheck));
	CHECK(!origins.nested(kOrder));
	CHECK(!origins.nested(kSearch));
}

TEST_CASE("what comes from beside all services but one is nested as well")
{
	call_origins origins;
	for (int i = 0; i < 300; ++i)
	{
		origins.onCall(kOrder, kServices[i % 3]);
		origins.onCall(kCheck, kServices[i % 2]);
	}
	CHECK(origins.nested(kCheck));
	CHECK(!origins.nested(kOrder));
}

TEST_CASE("nothing is nested before there is enough to tell by")
{
	call_origins origins;
	for (int i = 0; i < 9; ++i)
	{
		origins.onCall(kOrder, kServices[i % 3]);
		origins.onCall(kCheck, "catalogue");
	}
	CHECK(!origins.nested(kCheck));
}

TEST_CASE("where all callers are beside one service nothing can be told")
{
	call_origins origins;
	for (int i = 0; i < 1000; ++i)
	{
		origins.onCall(kOrder, "orders");
		origins.onCall(kCheck, "orders");
		origins.onCall(kSearch, "");
	}
	CHECK(!origins.nested(kCheck));
	CHECK(!origins.nested(kOrder));
}

TEST_CASE("a kind that callers outside begin to use is no longer nested")
{
	call_origins origins;
	for (int i = 0; i < 600; ++i)
	{
		origins.onCall(kOrder, kServices[i % 3]);
		origins.onCall(kCheck, "catalogue");
	}
	CHECK(origins.nested(kCheck));
	for (int i = 0; i < 60; ++i)
	{
		origins.onCall(kCheck, kServices[i % 3]);
	}
	CHECK(!origins.nested(kCheck));
}

}  // namespace driftlug::overload
