// Prints figures of a fleet with crashing back ends. Hidden; run with test-incidents "[.figures]".
#include <catch2/catch.hpp>

#include <cstdio>

#include "incidents/crash_fleet.h"
#include "node/call_fingerprint.h"

namespace driftlug::test
{
namespace
{
constexpr int kSeeds = 20;
constexpr base::Duration kWarmUp = base::seconds(5);
constexpr base::Duration kTrafficEnd = base::seconds(60);
constexpr base::Duration kScenarioEnd = base::seconds(65);

struct scenario_totals
{
	double crashes = 0;
	double maxCrashes = 0;
	double externalCrashes = 0;
	double afterThirdCrash = 0;
	double inTime = 0;
	double lost = 0;
	double held = 0;

	void add(const crash_fleet& _fleet, const std::vector<std::string>& _fatal)
	{
		for (const auto& path : _fatal)
		{
			const auto crashes = static_cast<double>(_fleet.backEnds.crashesBy(path));
			maxCrashes = std::max(maxCrashes, crashes);
			this->crashes += crashes / static_cast<double>(_fatal.size());
			afterThirdCrash = std::max(
				afterThirdCrash, static_cast<double>(_fleet.backEnds.arrivalsAfterThirdCrash(path, base::seconds(3))));
		}
		const auto requests = static_cast<double>(_fleet.callers.requests);
		externalCrashes += static_cast<double>(_fleet.backEnds.externalCrashes.size());
		inTime += _fleet.callers.inTime / requests;
		lost += static_cast<double>(_fleet.callers.otherRequestsLost(_fleet.backEnds)) / requests;
		held += _fleet.callers.otherRequestsHeld;
	}

	void print(const char* _name) const
	{
		std::printf(
			"%-34s crashes per fatal request %.2f (max %.0f, after third %.0f), external %.1f, in time %.4f, lost "
			"%.5f, "
			"others "
			"held %.2f\n",
			_name, crashes / kSeeds, maxCrashes, afterThirdCrash, externalCrashes / kSeeds, inTime / kSeeds,
			lost / kSeeds, held / kSeeds);
	}
};

void crashExternally(crash_fleet* _fleet, base::Duration _gap)
{
	if (_fleet->now() > kTrafficEnd)
	{
		return;
	}
	_fleet->backEnd(_fleet->random().below(4)).crashExternally();
	_fleet->queue().after(_gap / 2 + _fleet->random().duration(_gap),
						  [_fleet, _gap]
						  {
							  crashExternally(_fleet, _gap);
						  });
}

void runScenario(const char* _name, double _perSecond, size_t _fatalRequests, bool _externalCrashes,
				 size_t _backEnds = 4)
{
	scenario_totals total;
	for (int seed = 1; seed <= kSeeds; ++seed)
	{
		crash_fleet fleet(static_cast<uint64_t>(seed), _backEnds);
		for (size_t i = 0; i < _fatalRequests; ++i)
		{
			fleet.backEnds.fatal.push_back("/tiles/fatal-" + std::to_string(i));
		}
		fleet.startBackgroundTraffic(_perSecond, kTrafficEnd);
		fleet.runUntil(kWarmUp);
		for (const auto& path : fleet.backEnds.fatal)
		{
			fleet.repeat(path, base::milliseconds(2500), kTrafficEnd);
			fleet.runUntil(fleet.now() + fleet.random().duration(base::seconds(2)));
		}
		if (_externalCrashes)
		{
			crashExternally(&fleet, base::seconds(4));
		}
		fleet.runUntil(kScenarioEnd);
		total.add(fleet, fleet.backEnds.fatal);
	}
	total.print(_name);
}

void measureReportTraffic(size_t _fatalRequests)
{
	crash_fleet fleet(3, 60, 240);
	const auto kind = wire::Message(wire::CrashReports()).index();
	for (size_t i = 0; i < _fatalRequests; ++i)
	{
		fleet.backEnds.fatal.push_back("/tiles/fatal-" + std::to_string(i));
	}
	fleet.startBackgroundTraffic(2000, base::seconds(40));
	fleet.runUntil(kWarmUp);
	for (const auto& path : fleet.backEnds.fatal)
	{
		fleet.repeat(path, base::milliseconds(2500), base::seconds(40));
		fleet.runUntil(fleet.now() + base::seconds(30) / static_cast<int>(_fatalRequests));
	}
	fleet.runUntil(base::seconds(45));
	const auto& traffic = fleet.network().traffic();
	double crashes = 0;
	for (const auto& path : fleet.backEnds.fatal)
	{
		crashes += static_cast<double>(fleet.backEnds.crashesBy(path));
	}
	std::printf(
		"%zu fatal, 300 nodes, 40 s: %lld frames, %lld bytes of crash reports, %.2f crashes per request, marks %zu\n",
		_fatalRequests, static_cast<long long>(traffic.frames[kind]), static_cast<long long>(traffic.bytes[kind]),
		crashes / static_cast<double>(_fatalRequests), fleet.node(0).quarantine()->history().marks());
	fleet.runUntil(std::chrono::minutes(3));
	const auto reports = fleet.node(0).quarantine()->all();
	wire::CrashReports all;
	all.reports = reports;
	std::printf("all crash reports of a node: %zu bytes\n", wire::encodeFrame(all)->size());
}

}  // namespace

TEST_CASE("figures of the traffic of crash reports", "[.spread]")
{
	measureReportTraffic(1);
	measureReportTraffic(100);
}

TEST_CASE("figures of fingerprints", "[.fingerprints]")
{
	for (const size_t bytes : {size_t{0}, size_t{300}, size_t{60'000}})
	{
		node::InboundCall call;
		call.method = "POST";
		call.host = kHost;
		call.path = "/tiles/some/longer/path/with/a/query?zoom=3&sheet=1234";
		call.body = std::string(bytes, 'b');
		constexpr int kIterations = 100'000;
		uint64_t sum = 0;
		const auto begun = std::chrono::steady_clock::now();
		for (int i = 0; i < kIterations; ++i)
		{
			sum += node::fingerprintOf(call).low;
		}
		const auto took = std::chrono::steady_clock::now() - begun;
		std::printf("a fingerprint of a call with %zu bytes: %.0f ns (%llx)\n", bytes,
					std::chrono::duration<double, std::nano>(took).count() / kIterations,
					static_cast<unsigned long long>(sum));
	}
}

TEST_CASE("figures of crashes", "[.figures]")
{
	runScenario("nothing crashes", 170, 0, false);
	runScenario("one fatal request, 170 a second", 170, 1, false);
	runScenario("one fatal request, 250 a second", 250, 1, false);
	runScenario("one fatal, three back ends, 150", 150, 1, false, 3);
	runScenario("one fatal, two back ends, 80", 80, 1, false, 2);
	runScenario("one fatal, one back end, 40", 40, 1, false, 1);
	runScenario("ten fatal requests", 170, 10, false);
	runScenario("external crashes", 170, 0, true);
	runScenario("external crashes, 250 a second", 250, 0, true);
	runScenario("both", 170, 1, true);
}

}  // namespace driftlug::test
