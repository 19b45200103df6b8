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
/// Requirements: time from the 50th bad answer after which a version may get no more requests, and its total exposure.
constexpr base::Duration kMaxRollbackDelay = base::seconds(5);
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;

/// Fleet under load, shortly before an order. startRollout() orders the new version and starts its back ends.
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

	/// Runs until the new version gets a share of 80 permille.
	void runUntilOnTrial()
	{
		while (fleet.now() < kEnd && fleet.row()->targetPermille < 80)
		{
			fleet.runUntil(fleet.now() + base::milliseconds(50));
		}
		REQUIRE(fleet.row()->targetPermille >= 80);
	}

	/// Checks that the old version runs and receives no more requests, and that no call is without an answer.
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

TEST_CASE("the version that runs at the start becomes the standing version without an order")
{
	rollout_fleet fleet(1);
	REQUIRE(fleet.row());
	CHECK(fleet.row()->standing == kOldVersion);
	CHECK(fleet.row()->state == wire::RolloutState::STANDING);
}

TEST_CASE("back ends of a version without an order get no requests, also from nodes that start")
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

TEST_CASE("a healthy version is completed in time, and the old version then runs and receives no requests")
{
	const auto seed = GENERATE(range(1, 6));
	fixture f(static_cast<uint64_t>(seed));
	f.startRollout();
	f.checkCompleted();
	CHECK(f.fleet.callers.failed == 0);
	CHECK(f.fleet.callers.notRun == 0);
}

TEST_CASE("an unhealthy version is rolled back in time, within the exposure limit, and gets no more requests")
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

TEST_CASE("a rollout continues under the next leader when the leader fails")
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

TEST_CASE("an unhealthy version is rolled back when the leader fails")
{
	fixture f;
	f.startRollout();
	f.runUntilOnTrial();
	f.fleet.record.badVersion = kNewVersion;
	f.fleet.record.badShare = 0.4;
	f.fleet.leader()->losePower();
	CHECK(f.fleet.runUntilDecided(kEnd) == wire::RolloutState::ROLLED_BACK);
}

TEST_CASE("orders and their outcome survive a power failure of all controllers")
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

TEST_CASE("a repeated order has no effect; a different one is refused while a rollout runs")
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

TEST_CASE("an order for the standing version is completed at once")
{
	fixture f;
	CHECK(f.fleet.order(kOldVersion, kFinishBy) == base::ErrorCode::kNone);
	CHECK(f.fleet.row()->state == wire::RolloutState::COMPLETED);
	CHECK(f.fleet.row()->target == kOldVersion);
	CHECK(f.fleet.row()->standing == kOldVersion);
}

TEST_CASE("a rollout to a version without back ends ends at its deadline, and the service stays available")
{
	fixture f;
	REQUIRE(f.fleet.order(kNewVersion, base::seconds(4)) == base::ErrorCode::kNone);
	CHECK(f.fleet.runUntilDecided(kOrderAt + base::seconds(5)) == wire::RolloutState::ROLLED_BACK);
	CHECK(f.fleet.callers.notRun == 0);
	CHECK(f.fleet.record.arrivalsOf(kNewVersion, base::TimePoint{}) == 0);
}

TEST_CASE("after a rollback the same version may be ordered again, and is completed once it is healthy")
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

TEST_CASE("a disconnected node does not delay a rollout, and sends nothing to the old version once it reconnects")
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

TEST_CASE("a node that is disconnected from the controllers sends nothing to the target version")
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

TEST_CASE("the node of a back end whose version was rolled back refuses requests of nodes with an outdated row")
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
