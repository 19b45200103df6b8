#include "rollout_fleet.h"

#include <catch2/catch.hpp>

namespace driftlug::test
{
namespace
{
constexpr double kPerSecond = 300;
constexpr base::Duration kFinishBy = base::seconds(15);
constexpr base::Duration kOrderAt = base::seconds(6);
constexpr base::Duration kEnd = kOrderAt + kFinishBy;
/// Of the aim: how long behind its fiftieth bad answer a version may still get requests, and how many in all.
constexpr base::Duration kMaxRollbackDelay = base::seconds(5);
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;

/// Requests run; the order has just been accepted, and back ends of the new version start.
struct fixture
{
	explicit fixture(uint64_t _seed = 1)
		: fleet(_seed)
	{
		fleet.generateLoad(kPerSecond, kEnd + base::seconds(10));
		fleet.runUntil(kOrderAt);
	}

	void startRollout()
	{
		REQUIRE(base::ErrorCode::kNone == fleet.order(kNewVersion, kFinishBy));
		fleet.startVersion(kNewVersion);
	}

	/// Goes on until the new version gets a share.
	void runUntilOnTrial()
	{
		while (fleet.now() < kEnd && fleet.row()->targetPermille < 80)
		{
			fleet.runUntil(fleet.now() + base::milliseconds(50));
		}
		REQUIRE(fleet.row()->targetPermille >= 80);
	}

	/// Checks that nothing reaches the old version any more, nothing runs there, and nobody lost an answer.
	void checkCompleted()
	{
		REQUIRE(fleet.runUntilDecided(kEnd) == wire::RolloutState::COMPLETED);
		const auto at = base::TimePoint{} + fleet.now();
		CHECK(fleet.runningOn(kOldVersion) == 0);
		for (size_t i = 0; i < rollout_fleet::kBackEnds; ++i)
		{
			fleet.backEnd(i).stop();
		}
		fleet.runUntil(fleet.now() + base::seconds(5));
		CHECK(fleet.record.arrivalsOf(kOldVersion, at) == 0);
		CHECK(fleet.record.arrivalsOf(kNewVersion, at) > 1000);
		CHECK(fleet.callers.unknown == 0);
	}

	rollout_fleet fleet;
};

}  // namespace

TEST_CASE("the version that runs at the start stands, without an order")
{
	rollout_fleet fleet(1);
	REQUIRE(fleet.row());
	CHECK(fleet.row()->standing == kOldVersion);
	CHECK(fleet.row()->state == wire::RolloutState::STANDING);
}

TEST_CASE("back ends of a version without an order get nothing, also from nodes that start")
{
	fixture f;
	const auto first = f.fleet.startVersion(kNewVersion);
	f.fleet.runUntil(f.fleet.now() + base::seconds(2));
	f.fleet.node(0).kill();
	f.fleet.node(first).kill();
	f.fleet.runUntil(f.fleet.now() + base::milliseconds(300));
	f.fleet.node(0).start();
	f.fleet.node(first).start();
	f.fleet.runUntil(f.fleet.now() + base::seconds(3));
	CHECK(f.fleet.record.arrivalsOf(kNewVersion, base::TimePoint{}) == 0);
	CHECK(f.fleet.callers.answered > 1000);
}

TEST_CASE("a good version is completed in time, with nothing at work on the old one and nothing sent there any more")
{
	const auto seed = GENERATE(range(1, 6));
	fixture f(static_cast<uint64_t>(seed));
	f.startRollout();
	f.checkCompleted();
	CHECK(f.fleet.callers.failed == 0);
	CHECK(f.fleet.callers.notRun == 0);
}

TEST_CASE("a bad version is rolled back in time, within its exposure, and gets nothing any more")
{
	const auto seed = GENERATE(range(1, 6));
	fixture f(static_cast<uint64_t>(seed));
	f.fleet.record.badVersion = kNewVersion;
	f.fleet.record.badShare = 0.4;
	f.startRollout();
	REQUIRE(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::ROLLED_BACK);
	f.fleet.runUntil(f.fleet.now() + base::seconds(5));

	const auto& arrivals = f.fleet.record.arrivals;
	size_t bad = 0;
	size_t exposed = 0;
	base::TimePoint fiftieth = base::TimePoint::max() - kMaxRollbackDelay;
	base::TimePoint last{};
	for (const auto& arrival : arrivals)
	{
		if (arrival.version == kNewVersion)
		{
			++exposed;
			last = arrival.time;
			bad += arrival.bad ? 1 : 0;
			fiftieth = arrival.bad && 50 == bad ? arrival.time : fiftieth;
		}
	}
	CHECK(last <= fiftieth + kMaxRollbackDelay);
	const double all = kPerSecond * 15;
	CHECK(static_cast<double>(exposed) <= kExposureShare * all + kExposureSlack);
}

TEST_CASE("an order survives the end of the leader, and is carried on by the next one")
{
	fixture f;
	f.startRollout();
	f.runUntilOnTrial();
	auto* old = f.fleet.leader();
	old->losePower();
	f.fleet.runUntil(f.fleet.now() + base::seconds(2));
	REQUIRE(f.fleet.leader() != nullptr);
	CHECK(f.fleet.row()->state == wire::RolloutState::RUNNING);
	old->start(f.fleet.seeds(), false);
	f.checkCompleted();
}

TEST_CASE("a bad version is rolled back over the end of the leader")
{
	fixture f;
	f.startRollout();
	f.runUntilOnTrial();
	f.fleet.record.badVersion = kNewVersion;
	f.fleet.record.badShare = 0.4;
	f.fleet.leader()->losePower();
	CHECK(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::ROLLED_BACK);
}

TEST_CASE("orders and their outcome survive the loss of all power")
{
	fixture f;
	f.startRollout();
	const bool decided = GENERATE(false, true);
	if (decided)
	{
		REQUIRE(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::COMPLETED);
	}
	for (const auto& host : f.fleet.controllers())
	{
		host->losePower();
	}
	f.fleet.runUntil(f.fleet.now() + base::milliseconds(500));
	for (const auto& host : f.fleet.controllers())
	{
		host->start(f.fleet.seeds(), false);
	}
	f.fleet.runUntil(f.fleet.now() + base::seconds(3));
	REQUIRE(f.fleet.row());
	CHECK(f.fleet.row()->target == kNewVersion);
	CHECK(f.fleet.row()->state == (decided ? wire::RolloutState::COMPLETED : wire::RolloutState::RUNNING));
	CHECK(f.fleet.row()->standing == (decided ? kNewVersion : kOldVersion));
}

TEST_CASE("an order that comes again is the same; another one is refused while it runs")
{
	fixture f;
	f.startRollout();
	const auto row = f.fleet.row();
	CHECK(f.fleet.order(kNewVersion, kFinishBy) == base::ErrorCode::kNone);
	CHECK(f.fleet.row()->elapsedMs == row->elapsedMs);
	CHECK(f.fleet.order("v3", kFinishBy) == base::ErrorCode::kRevisionConflict);
	REQUIRE(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::COMPLETED);
	CHECK(f.fleet.order(kNewVersion, kFinishBy) == base::ErrorCode::kNone);
	CHECK(f.fleet.row()->state == wire::RolloutState::COMPLETED);
}

TEST_CASE("an order for the version that stands is completed at once")
{
	fixture f;
	CHECK(f.fleet.order(kOldVersion, kFinishBy) == base::ErrorCode::kNone);
	CHECK(f.fleet.row()->state == wire::RolloutState::COMPLETED);
	CHECK(f.fleet.row()->target == kOldVersion);
	CHECK(f.fleet.row()->standing == kOldVersion);
}

TEST_CASE("an order for a version without back ends ends with its time, and the service goes on")
{
	fixture f;
	REQUIRE(f.fleet.order(kNewVersion, base::seconds(4)) == base::ErrorCode::kNone);
	CHECK(f.fleet.runUntilDecided(kOrderAt + base::seconds(5)) == wire::RolloutState::ROLLED_BACK);
	CHECK(f.fleet.callers.notRun == 0);
	CHECK(f.fleet.record.arrivalsOf(kNewVersion, base::TimePoint{}) == 0);
}

TEST_CASE("after a rollback the same version may be ordered again, and is completed once it is well")
{
	fixture f;
	f.fleet.record.badVersion = kNewVersion;
	f.fleet.record.badShare = 0.5;
	f.startRollout();
	REQUIRE(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::ROLLED_BACK);
	f.fleet.record.badVersion.clear();
	f.fleet.runUntil(f.fleet.now() + base::seconds(11));
	REQUIRE(f.fleet.order(kNewVersion, kFinishBy) == base::ErrorCode::kNone);
	CHECK(f.fleet.row()->state == wire::RolloutState::RUNNING);
	CHECK(f.fleet.runUntilDecided(f.fleet.now() + kFinishBy) == wire::RolloutState::COMPLETED);
}

TEST_CASE("a node that is cut off holds nothing up, and sends nothing to the old version when it is back")
{
	fixture f;
	f.startRollout();
	f.runUntilOnTrial();
	f.fleet.cutOff(0, true);
	REQUIRE(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::COMPLETED);
	for (size_t i = 1; i < rollout_fleet::kBackEnds; ++i)
	{
		f.fleet.backEnd(i).stop();
	}
	f.fleet.cutOff(0, false);
	f.fleet.runUntil(f.fleet.now() + base::seconds(4));
	const auto at = base::TimePoint{} + f.fleet.now();
	f.fleet.runUntil(f.fleet.now() + base::seconds(3));
	CHECK(f.fleet.record.arrivalsOf(kOldVersion, at) == 0);
}

TEST_CASE("a node that doesn't hear of the controllers sends nothing to a version on trial")
{
	fixture f;
	f.startRollout();
	f.runUntilOnTrial();
	for (size_t i = 0; i < rollout_fleet::kBackEnds; ++i)
	{
		f.fleet.cutOff(i, true);
	}
	f.fleet.runUntil(f.fleet.now() + base::seconds(5));
	const auto at = base::TimePoint{} + f.fleet.now();
	f.fleet.runUntil(f.fleet.now() + base::seconds(2));
	CHECK(f.fleet.record.arrivalsOf(kNewVersion, at) == 0);
	CHECK(f.fleet.record.arrivalsOf(kOldVersion, at) > 300);
}

TEST_CASE("the node beside a back end of a version that was rolled back refuses what nodes with an old row send")
{
	fixture f;
	f.fleet.record.badVersion = kNewVersion;
	f.fleet.record.badShare = 0.5;
	f.startRollout();
	f.runUntilOnTrial();
	f.fleet.cutOff(0, true);
	REQUIRE(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::ROLLED_BACK);
	f.fleet.runUntil(f.fleet.now() + base::milliseconds(300));
	const auto at = base::TimePoint{} + f.fleet.now();
	f.fleet.runUntil(f.fleet.now() + base::seconds(5));
	CHECK(f.fleet.record.arrivalsOf(kNewVersion, at) == 0);
}

}  // namespace driftlug::test
