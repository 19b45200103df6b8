#include "load_model/load_model.h"

#include <catch2/catch.hpp>
#include <fstream>

#include "base/error.h"
#include "load_model/goodput_plot.h"

namespace driftlug::load_model
{
namespace
{
constexpr char kRing[] = DRIFTLUG_SOURCE_DIR "/examples/load/crash-reports-ring.toml";

/// @returns A pattern with one service and one kind of request.
load_pattern singleServicePattern(double _perSecond)
{
	load_pattern pattern;
	pattern.name = "one";
	pattern.lengthS = 5;
	service_pattern service;
	service.name = "tiles";
	service.backEnds = 4;
	service.slots = 4;
	service.queue = 8;
	pattern.services = {service};
	kind_pattern kind;
	kind.name = "view";
	kind.service = "tiles";
	kind.perSecond = _perSecond;
	kind.workMs = 50;
	kind.spread = 0.3;
	kind.maxWorkMs = 500;
	kind.targetMs = 300;
	kind.deadlineMs = 1000;
	kind.timeoutMs = 1000;
	kind.callerRetries = 1;
	pattern.kinds = {kind};
	return pattern;
}

load_result play(const load_pattern& _pattern, double _offered = 1, uint64_t _seed = 1)
{
	return load_model(_pattern, defaultPolicy(_pattern.linkMbps), _seed, _offered).run();
}

/// @returns Lookups of the first deployment in docs/OVERLOAD.md, on an eighth of its fleet: a load of 0.65 of the
/// slots, and for 3 s 1.6 times what the slots can run.
load_pattern burstPattern()
{
	load_pattern pattern;
	pattern.name = "burst";
	pattern.lengthS = 8;
	pattern.zones = 2;
	service_pattern service;
	service.name = "lookups";
	service.backEnds = 8;
	service.slots = 14;
	service.queue = 56;
	service.speeds = {0.5, 1, 1, 1.5};
	pattern.services = {service};
	kind_pattern kind;
	kind.name = "lookup";
	kind.service = "lookups";
	kind.perSecond = 383;
	kind.workMs = 190;
	kind.spread = 0.5;
	kind.maxWorkMs = 1000;
	kind.targetMs = 500;
	kind.deadlineMs = 1500;
	kind.timeoutMs = 1500;
	kind.callerRetries = 1;
	pattern.kinds = {kind};
	pattern.bursts = {{2, 5, 1.6 / 0.65}};
	return pattern;
}

/// @returns A pattern in which lookups make nested calls to a service that has half of the capacity for them from 2 s
/// to 5 s.
load_pattern ringPattern()
{
	auto pattern = burstPattern();
	pattern.bursts.clear();
	pattern.kinds[0].nested = {"seal", 2, 0.7, true};
	service_pattern behind = pattern.services[0];
	behind.name = "orders";
	behind.backEnds = 2;
	behind.slots = 8;
	behind.queue = 4;
	behind.speeds = {1};
	pattern.services.push_back(behind);
	kind_pattern order = pattern.kinds[0];
	order.name = "order";
	order.service = "orders";
	order.perSecond = 10;
	order.workMs = 150;
	order.targetMs = 1000;
	order.deadlineMs = 2500;
	order.timeoutMs = 2500;
	order.priority = 1;
	order.nested = {};
	kind_pattern seal = order;
	seal.name = "seal";
	seal.perSecond = 0;
	seal.workMs = 47;
	seal.targetMs = 200;
	seal.deadlineMs = 600;
	seal.timeoutMs = 600;
	seal.priority = 0;
	seal.callerRetries = 0;
	pattern.kinds.push_back(order);
	pattern.kinds.push_back(seal);
	pattern.kinds[0].repeatable = false;
	pattern.bursts = {{2, 5, 2.4}};
	return pattern;
}

load_result playSeeds(const load_pattern& _pattern, bool _loadAware)
{
	load_result sum;
	for (uint64_t seed = 1; seed <= 10; ++seed)
	{
		auto policy = defaultPolicy(_pattern.linkMbps);
		policy.endpoint.loadAware = _loadAware;
		sum += load_model(_pattern, policy, seed).run();
	}
	return sum;
}

double shareOf(const kind_result& _kind, int64_t _count)
{
	return static_cast<double>(_count) / static_cast<double>(_kind.requests);
}

}  // namespace

// Guards against refused callers that return together, find no capacity and are refused for good, and against returning
// requests that take the slots of those that can be in time.
TEST_CASE("in a burst, fewer callers are refused twice, and no fewer are served in time")
{
	const auto before = playSeeds(burstPattern(), false).kinds.at("lookup");
	const auto after = playSeeds(burstPattern(), true).kinds.at("lookup");
	CHECK(before.refusedRetries > before.requests / 8);
	CHECK(shareOf(after, after.refusedRetries) < 0.93 * shareOf(before, before.refusedRetries));
	// The standard error of the difference is 0.003 with 10 seeds.
	CHECK(shareOf(after, after.inTime) > shareOf(before, before.inTime) - 0.006);
	CHECK(shareOf(after, after.inTime + after.late) > shareOf(before, before.inTime + before.late) + 0.01);
	CHECK(shareOf(after, after.failed) < 0.002);
}

// Guards against requests in front that take the capacity behind from other callers, and against slots in front that
// are held by requests whose nested calls find no capacity: without nested_admission, the lookups lose 0.008.
TEST_CASE("with too little capacity behind, its own callers are served more often, and those in front no less")
{
	const auto before = playSeeds(ringPattern(), false);
	const auto after = playSeeds(ringPattern(), true);
	const auto inTimeGain = [&](const std::string& _kind)
	{
		return after.inTimeShare(_kind) - before.inTimeShare(_kind);
	};
	CHECK(before.inTimeShare("lookup") < 0.5);
	CHECK(inTimeGain("order") > 0.05);
	CHECK(inTimeGain("lookup") > 0);
}

TEST_CASE("a fleet with spare capacity serves all requests in time")
{
	const auto result = play(singleServicePattern(100));
	CHECK(result.kinds.at("view").requests > 400);
	CHECK(result.inTimeShare() > 0.98);
	CHECK(result.kinds.at("view").failed == 0);
	CHECK(result.work.wastedMs == 0);
}

TEST_CASE("each request has one outcome, and equal seeds give equal outcomes")
{
	const auto pattern = singleServicePattern(500);
	const auto result = play(pattern);
	const auto& kind = result.kinds.at("view");
	CHECK(kind.requests == kind.inTime + kind.late + kind.refused + kind.failed);
	CHECK(kind.refused > 0);
	CHECK(play(pattern).kinds.at("view").inTime == kind.inTime);
	CHECK(play(pattern, 1, 2).kinds.at("view").inTime != kind.inTime);
}

TEST_CASE("the load of back ends that are down is shifted to the others")
{
	auto pattern = singleServicePattern(150);
	pattern.outages = {{"tiles", 2, 1, 3}};
	CHECK(play(pattern).inTimeShare() > 0.9);
	pattern.outages = {{"tiles", 4, 1, 3}};
	CHECK(play(pattern).inTimeShare() < 0.7);
}

TEST_CASE("a burst multiplies the number of requests")
{
	auto pattern = singleServicePattern(100);
	pattern.bursts = {{1, 3, 3}};
	CHECK(play(pattern).kinds.at("view").requests > 700);
}

TEST_CASE("patterns are read from files, and errors in them are reported")
{
	const auto ring = readPattern(kRing);
	REQUIRE(ring.ok());
	CHECK(ring->services.size() == 3);
	CHECK(ring->kinds.size() == 6);
	CHECK(ring->kinds[0].nested.times == 2);
	CHECK_FALSE(readPattern("no-such-file.toml").ok());
	const std::string path = "pattern-with-faults.toml";
	std::ofstream(path) << "[[kinds]]\nname = \"view\"\nservice = \"nowhere\"\n";
	const auto faulty = readPattern(path);
	CHECK(base::errorCodeOf(faulty.status()) == base::ErrorCode::kBadSetting);
	(void)std::remove(path.c_str());
}

TEST_CASE("a plot has a line for each kind")
{
	const std::vector<double> offered{0.5, 1, 2};
	const std::vector<goodput_line> lines{{"view", {1, 0.9, 0.5}}, {"order", {1, 1, 1}}};
	const auto svg = plotGoodput("one", offered, lines);
	size_t polylines = 0;
	for (size_t at = svg.find("<polyline"); at != std::string::npos; at = svg.find("<polyline", at + 1))
	{
		++polylines;
	}
	CHECK(polylines == 2);
	CHECK(svg.find("view") != std::string::npos);
}

}  // namespace driftlug::load_model
