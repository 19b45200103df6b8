#include "rollout/version_evidence.h"

#include <catch2/catch.hpp>

#include "manual_time.h"
#include "rollout/run_statistics.h"
#include "rollout/version_test.h"

namespace driftlug::rollout
{
namespace
{
constexpr int64_t kRoute = 7;

/// Node of an endpoint, which counts answers and reports them.
struct reporter
{
	std::string endpoint;
	std::string version;
	int64_t life = 1;
	int64_t sequence = 0;
	run_statistics figures;

	void answer(int _count, int _failed, base::Duration _run = base::milliseconds(100))
	{
		for (int i = 0; i < _count; ++i)
		{
			figures.record(kRoute, i < _failed, _run, {});
		}
	}

	void answerUnderLoad(int _count, int _failed)
	{
		for (int i = 0; i < _count; ++i)
		{
			figures.record(kRoute, i < _failed, base::milliseconds(100), {.underLoad = true});
		}
	}

	wire::VersionReport report()
	{
		wire::VersionReport report;
		report.endpoint = endpoint;
		report.version = version;
		report.life = life;
		report.sequence = ++sequence;
		report.slots = 6;
		figures.fill(&report);
		return report;
	}
};

struct fixture
{
	fixture()
	{
		policy.standing = "v1";
		policy.target = "v2";
		policy.running = true;
		for (int i = 0; i < 10; ++i)
		{
			standing.push_back({"old-" + std::to_string(i), "v1", 1, 0, {}});
			target.push_back({"new-" + std::to_string(i), "v2", 1, 0, {}});
		}
		reportAll();
	}

	void reportAll()
	{
		for (auto* reporters : {&standing, &target})
		{
			for (auto& reporter : *reporters)
			{
				evidence.onReport(reporter.report(), policy);
			}
		}
		time.advance(base::milliseconds(250));
	}

	version_health health() const
	{
		return evidence.evaluate(policy).health;
	}

	test::ManualTime time;
	version_policy policy;
	version_evidence evidence{time};
	std::vector<reporter> standing;
	std::vector<reporter> target;
};

}  // namespace

TEST_CASE_METHOD(fixture,
				 "a single failing endpoint does not make its version unhealthy, however many answers it gives")
{
	for (int i = 0; i < 40; ++i)
	{
		for (auto& reporter : standing)
		{
			reporter.answer(5, 0);
		}
		target[0].answer(5, 4);
		target[1].answer(5, 0);
		reportAll();
		CHECK(health() == version_health::healthy);
	}
}

TEST_CASE_METHOD(fixture, "several failing endpoints make their version unhealthy, and so do several slow ones")
{
	const bool slow = GENERATE(false, true);
	int evaluations = 0;
	while (health() != version_health::unhealthy && evaluations < 40)
	{
		++evaluations;
		for (auto& reporter : standing)
		{
			reporter.answer(5, 0);
		}
		for (size_t i = 0; i < 5; ++i)
		{
			target[i].answer(5, slow ? 0 : 2, base::milliseconds(slow ? 400 : 100));
		}
		reportAll();
	}
	CHECK(health() == version_health::unhealthy);
	CHECK(evaluations <= 8);
}

TEST_CASE_METHOD(
	fixture,
	"a version that fails only under load is unhealthy, although it fails no more requests than the standing one")
{
	const bool counted = GENERATE(false, true);
	int evaluations = 0;
	while (health() != version_health::unhealthy && evaluations < 12)
	{
		++evaluations;
		for (auto& reporter : standing)
		{
			reporter.answer(30, 1);
		}
		for (auto& reporter : target)
		{
			reporter.answer(29, 0);
			counted ? reporter.answerUnderLoad(1, 1) : reporter.answer(1, 1);
		}
		reportAll();
	}
	CHECK((health() == version_health::unhealthy) == counted);
}

TEST_CASE_METHOD(fixture, "a fault of both versions that only the target's answers under load show is not its own")
{
	for (int i = 0; i < 20; ++i)
	{
		for (auto& reporter : standing)
		{
			reporter.answer(6, 3);
		}
		for (auto& reporter : target)
		{
			reporter.answer(1, 0);
			reporter.answerUnderLoad(2, 1);
		}
		reportAll();
		CHECK(health() != version_health::unhealthy);
	}
}

TEST_CASE_METHOD(fixture, "failures on both versions alike do not make the target version unhealthy")
{
	for (int i = 0; i < 20; ++i)
	{
		for (auto* reporters : {&standing, &target})
		{
			for (auto& reporter : *reporters)
			{
				reporter.answer(5, i % 3);
			}
		}
		reportAll();
		CHECK(health() != version_health::unhealthy);
	}
}

TEST_CASE_METHOD(fixture, "duplicate, late and lost reports change nothing")
{
	for (auto& reporter : target)
	{
		reporter.answer(10, 4);
		const auto lost = reporter.report();
		reporter.answer(10, 4);
		const auto newest = reporter.report();
		evidence.onReport(newest, policy);
		evidence.onReport(newest, policy);
		evidence.onReport(lost, policy);
	}
	CHECK(evidence.answersPerSecond() == Approx(10 * 20 / 4.0));
}

TEST_CASE_METHOD(fixture, "the counts of a restarted node start at zero")
{
	target[0].answer(100, 0);
	evidence.onReport(target[0].report(), policy);
	target[0] = {"new-0", "v2", 2, 0, {}};
	target[0].answer(20, 0);
	evidence.onReport(target[0].report(), policy);
	CHECK(evidence.answersPerSecond() == Approx(120 / 4.0));
}

TEST_CASE_METHOD(fixture, "answers from before a controller became leader do not count as recent")
{
	evidence.clear();
	for (auto& reporter : target)
	{
		reporter.answer(100, 90);
	}
	reportAll();
	CHECK(health() == version_health::healthy);
}

TEST_CASE("the number of endpoints that may be faulty by chance depends on the share of faulty endpoints")
{
	CHECK(faultyByChance(1, 0.03) == 1);
	CHECK(faultyByChance(3, 0.03) == 2);
	CHECK(faultyByChance(20, 0.03) < 6);
	CHECK(faultyByChance(20, 0.2) > 8);
}

}  // namespace driftlug::rollout
