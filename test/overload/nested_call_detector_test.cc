#include "overload/nested_call_detector.h"

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

TEST_CASE("a kind that comes from the nodes of one service only, while others call too, is nested")
{
	nested_call_detector detector;
	for (int i = 0; i < 100; ++i)
	{
		detector.onCall(kOrder, kServices[i % 3]);
		detector.onCall(kCheck, "catalogue");
	}
	CHECK(detector.isNested(kCheck));
	CHECK(!detector.isNested(kOrder));
	CHECK(!detector.isNested(kSearch));
}

TEST_CASE("a kind that comes from the nodes of all services but one is nested as well")
{
	nested_call_detector detector;
	for (int i = 0; i < 300; ++i)
	{
		detector.onCall(kOrder, kServices[i % 3]);
		detector.onCall(kCheck, kServices[i % 2]);
	}
	CHECK(detector.isNested(kCheck));
	CHECK(!detector.isNested(kOrder));
}

TEST_CASE("nothing is nested before there is enough evidence")
{
	nested_call_detector detector;
	for (int i = 0; i < 9; ++i)
	{
		detector.onCall(kOrder, kServices[i % 3]);
		detector.onCall(kCheck, "catalogue");
	}
	CHECK(!detector.isNested(kCheck));
}

TEST_CASE("nothing is nested while all calls come from the nodes of one service")
{
	nested_call_detector detector;
	for (int i = 0; i < 1000; ++i)
	{
		detector.onCall(kOrder, "orders");
		detector.onCall(kCheck, "orders");
		detector.onCall(kSearch, "");
	}
	CHECK(!detector.isNested(kCheck));
	CHECK(!detector.isNested(kOrder));
}

TEST_CASE("a kind that callers outside begin to use is no longer nested")
{
	nested_call_detector detector;
	for (int i = 0; i < 600; ++i)
	{
		detector.onCall(kOrder, kServices[i % 3]);
		detector.onCall(kCheck, "catalogue");
	}
	CHECK(detector.isNested(kCheck));
	for (int i = 0; i < 60; ++i)
	{
		detector.onCall(kCheck, kServices[i % 3]);
	}
	CHECK(!detector.isNested(kCheck));
}

}  // namespace driftlug::overload
