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

	/// Goes on by some time; takes the step that is due, if any.
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

	/// Goes on until a state holds.
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

TEST_CASE_METHOD(fixture, "a version that looks well gets a small share for long, then everything, and is completed")
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

TEST_CASE_METHOD(fixture, "without reports of the new version nothing goes there, and the order ends with its time")
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

TEST_CASE_METHOD(fixture, "a bad version is rolled back at each step, also while the standing one retires")
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

TEST_CASE_METHOD(fixture, "a doubtful version gets no more than it has, and is rolled back when the time is over")
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

TEST_CASE_METHOD(fixture, "a controller that has just begun to lead takes no step up before it has reports of all")
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

TEST_CASE_METHOD(fixture,
				 "a controller that has just begun to lead doesn't complete before the last endpoint has reported")
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

TEST_CASE_METHOD(fixture, "nodes that are cut off hold completion up for two seconds at the most")
{
	runUntilRetiring();
	situation.standingIdle = true;
	CHECK_FALSE(advance(base::milliseconds(1900)));
	CHECK(advance(base::milliseconds(200)));
	CHECK(row.state == wire::RolloutState::COMPLETED);
}

TEST_CASE_METHOD(fixture, "a version with too few slots for what is at work gets no more than its trial")
{
	situation.target = {5, 30, 0};
	runUntilTrue(
		[&]
		{
			return row.state == wire::RolloutState::ROLLED_BACK;
		});
	CHECK(row.reason == "out of time: the version has too few slots");
}

TEST_CASE_METHOD(fixture, "the endpoints on trial carry what they will in the end, and take turns")
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

TEST_CASE_METHOD(fixture,
				 "where there are many nodes, so many endpoints are on trial that each is linked by 500 at the most")
{
	situation.target = {200, 1200, 0};
	situation.nodes = 14'000;
	CHECK(advance(base::milliseconds(100)));
	CHECK(row.groupSize >= 28);
}

TEST_CASE_METHOD(fixture, "an order whose time is too short for a look is not completed")
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
