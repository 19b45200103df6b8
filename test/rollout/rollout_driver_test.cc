#include "rollout/rollout_driver.h"

#include <catch2/catch.hpp>

namespace driftlug::rollout
{
namespace
{
constexpr base::Duration kFinishBy = base::seconds(15);

struct fixture
{
	fixture()
	{
		wire::RolloutRow standing;
		standing.standing = "v1";
		standing.state = wire::RolloutState::STANDING;
		row = rollout_driver::begin(standing, "v2", kFinishBy);
		situation.leadershipAge = base::seconds(60);
		situation.answersPerSecond = 400;
		situation.target = {20, 120, 0};
		situation.standing = {20, 120, 80};
		situation.nodes = 70;
	}

	/// Advances the time and takes the step that is due, if any.
	/// @returns Whether a step was taken.
	bool advance(base::Duration _time)
	{
		situation.elapsed += _time;
		situation.stepAge += _time;
		const auto next = driver.next(row, situation);
		if (next)
		{
			row = *next;
			situation.stepAge = base::Duration(0);
		}
		return next.has_value();
	}

	/// Advances the time until the predicate holds, for at most 20 s.
	template <typename Predicate>
	void runUntilTrue(Predicate _holds)
	{
		for (int i = 0; i < 200 && !_holds(); ++i)
		{
			advance(base::milliseconds(100));
		}
		REQUIRE(_holds());
	}

	void runUntilRetiring()
	{
		runUntilTrue(
			[&]
			{
				return row.retiring;
			});
	}

	rollout_driver driver{{}};
	wire::RolloutRow row;
	rollout_situation situation;
};

}  // namespace

TEST_CASE_METHOD(fixture,
				 "a healthy version keeps a small share for most of the time, then gets all requests and is completed")
{
	runUntilTrue(
		[&]
		{
			return row.targetPermille > 0;
		});
	CHECK(situation.elapsed < base::seconds(1));
	runUntilTrue(
		[&]
		{
			return row.targetPermille > 100;
		});
	CHECK(situation.elapsed > base::seconds(9));
	runUntilRetiring();
	CHECK(row.targetPermille == kWholePermille);
	CHECK(situation.elapsed < kFinishBy);

	situation.standing.active = 1;
	CHECK_FALSE(advance(base::milliseconds(300)));
	situation.standing.active = 0;
	situation.standingIdle = true;
	situation.inForceEverywhere = true;
	REQUIRE(advance(base::milliseconds(100)));
	CHECK(row.state == wire::RolloutState::COMPLETED);
	CHECK(row.standing == "v2");
	CHECK_FALSE(row.retiring);
}

TEST_CASE_METHOD(fixture, "without reports the target version gets no requests, and the rollout ends at its deadline")
{
	situation.target = {};
	while (situation.elapsed < kFinishBy - base::milliseconds(200))
	{
		CHECK_FALSE(advance(base::milliseconds(100)));
	}
	runUntilTrue(
		[&]
		{
			return row.state == wire::RolloutState::ROLLED_BACK;
		});
	CHECK(row.reason == "out of time: no endpoint of the version reports");
}

TEST_CASE_METHOD(fixture, "an unhealthy version is rolled back at each step, also while the standing version retires")
{
	const int permille = GENERATE(0, 50, 350, 950, 1000);
	runUntilTrue(
		[&]
		{
			return row.targetPermille >= permille;
		});
	situation.verdict.health = version_health::unhealthy;
	situation.verdict.reason = "fails often";
	REQUIRE(advance(base::milliseconds(100)));
	CHECK(row.state == wire::RolloutState::ROLLED_BACK);
	CHECK(row.targetPermille == 0);
	CHECK(row.standing == "v1");
	CHECK_FALSE(row.retiring);
	CHECK(row.reason == "fails often");
	CHECK_FALSE(advance(base::seconds(60)));
}

TEST_CASE_METHOD(fixture,
				 "the share of a suspect version is not increased, and the version is rolled back at the deadline")
{
	runUntilTrue(
		[&]
		{
			return row.targetPermille >= 50;
		});
	const int permille = row.targetPermille;
	situation.verdict.health = version_health::suspect;
	while (situation.elapsed < kFinishBy - base::milliseconds(200))
	{
		advance(base::milliseconds(100));
		CHECK(row.targetPermille == permille);
	}
	runUntilTrue(
		[&]
		{
			return row.state == wire::RolloutState::ROLLED_BACK;
		});
}

TEST_CASE_METHOD(fixture, "a new leader does not increase the share before all endpoints have reported")
{
	situation.leadershipAge = base::Duration(0);
	for (int i = 0; i < 10; ++i)
	{
		situation.leadershipAge += base::milliseconds(100);
		CHECK_FALSE(advance(base::milliseconds(100)));
	}
	situation.leadershipAge = base::seconds(2);
	CHECK(advance(base::milliseconds(100)));
}

TEST_CASE_METHOD(fixture, "a new leader completes no rollout before the last endpoint has reported")
{
	runUntilRetiring();
	situation.standingIdle = true;
	situation.inForceEverywhere = true;
	situation.leadershipAge = base::seconds(2);
	CHECK_FALSE(advance(base::milliseconds(100)));
	situation.leadershipAge = base::seconds(3);
	CHECK(advance(base::milliseconds(100)));
	CHECK(row.state == wire::RolloutState::COMPLETED);
}

TEST_CASE_METHOD(fixture, "disconnected nodes delay completion by two seconds at most")
{
	runUntilRetiring();
	situation.standingIdle = true;
	CHECK_FALSE(advance(base::milliseconds(1900)));
	CHECK(advance(base::milliseconds(200)));
	CHECK(row.state == wire::RolloutState::COMPLETED);
}

TEST_CASE_METHOD(fixture, "a version with too few slots for the active requests stays at the trial share")
{
	situation.target = {5, 30, 0};
	runUntilTrue(
		[&]
		{
			return row.state == wire::RolloutState::ROLLED_BACK;
		});
	CHECK(row.reason == "out of time: the version has too few slots");
}

TEST_CASE_METHOD(fixture, "the trial group gets the load that its endpoints get in the end, and groups rotate")
{
	runUntilTrue(
		[&]
		{
			return row.targetPermille >= 80;
		});
	CHECK(row.groupSize == 2);
	const int offset = row.groupOffset;
	runUntilTrue(
		[&]
		{
			return row.groupOffset != offset;
		});
	CHECK(row.groupOffset == offset + 2);
}

TEST_CASE_METHOD(fixture, "with many nodes the trial group is so large that at most 500 nodes connect to each endpoint")
{
	situation.target = {200, 1200, 0};
	situation.nodes = 14'000;
	CHECK(advance(base::milliseconds(100)));
	CHECK(row.groupSize >= 28);
}

TEST_CASE_METHOD(fixture,
				 "a rollout too short for an evaluation retires the standing version or is rolled back by its deadline")
{
	const auto seconds = GENERATE(1, 2);
	row.finishByMs = seconds * 1000;
	runUntilTrue(
		[&]
		{
			return row.state != wire::RolloutState::RUNNING || row.retiring;
		});
	CHECK((row.retiring || row.state == wire::RolloutState::ROLLED_BACK));
	CHECK(situation.elapsed <= base::seconds(seconds) + base::milliseconds(200));
}

}  // namespace driftlug::rollout
