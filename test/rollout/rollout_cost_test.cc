// Network cost of a rollout by message type, with simulated processes on the virtual clock.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "rollout_fleet.h"

namespace driftlug::test
{
namespace
{
constexpr double kPerSecond = 300;
constexpr base::Duration kOrderAt = base::seconds(6);
constexpr base::Duration kFinishBy = base::seconds(15);

/// Limits for the required fleet size, with two versions of 300 endpoints for each service: the report bandwidth of a
/// node with a back end on a link of 1 Mbit/s, and the size of one row.
constexpr double kReportBytesPerSecond = 1250;
constexpr double kRowBytes = 200;

template <typename T>
size_t kindOf(const T& _message)
{
	return wire::Message(_message).index();
}

struct cost
{
	int64_t frames = 0;
	int64_t bytes = 0;
};

cost costOf(const simulation::Traffic& _traffic, size_t _kind)
{
	return {_traffic.frames[_kind], _traffic.bytes[_kind]};
}

}  // namespace

TEST_CASE(
	"without a rollout nothing is reported; with one, a node's reports use less than a hundredth of a 1 Mbit/s link")
{
	rollout_fleet fleet(1);
	const auto reports = kindOf(wire::VersionReports());
	const auto slices = kindOf(wire::SliceUpdate());
	fleet.generateLoad(kPerSecond, kOrderAt + kFinishBy);
	fleet.runUntil(kOrderAt);
	CHECK(0 == costOf(fleet.traffic(), reports).frames);

	REQUIRE(base::ErrorCode::kNone == fleet.order(kNewVersion, kFinishBy));
	fleet.startVersion(kNewVersion);
	const auto slicesBefore = costOf(fleet.traffic(), slices);
	const auto begun = fleet.now();
	REQUIRE(wire::RolloutState::COMPLETED == fleet.runUntilDecided(kOrderAt + kFinishBy));
	const double took = std::chrono::duration<double>(fleet.now() - begun).count();
	const auto reported = costOf(fleet.traffic(), reports);
	const auto sliced = costOf(fleet.traffic(), slices);
	const auto nodes = static_cast<double>(fleet.nodes());
	// A report crosses the link of its node and, batched with others, the link of its relay.
	const double perNode = static_cast<double>(reported.bytes) / 2 / nodes / took;
	const auto updates = static_cast<double>(std::max<int64_t>(1, sliced.frames - slicesBefore.frames));
	const double perUpdate = static_cast<double>(sliced.bytes - slicesBefore.bytes) / updates;
	std::printf(
		"reports: %.0f bytes per second and node, %.0f nodes over %.1f s; steps: %.0f bytes per update, %.1f "
		"updates per node\n",
		perNode, nodes, took, perUpdate, updates / nodes);
	CHECK(perNode <= kReportBytesPerSecond);
	CHECK(perUpdate <= kRowBytes);

	// Reports of the last 250 ms may still be in flight.
	fleet.runUntil(fleet.now() + base::seconds(1));
	const auto after = costOf(fleet.traffic(), reports).frames;
	fleet.runUntil(fleet.now() + base::seconds(3));
	CHECK(after == costOf(fleet.traffic(), reports).frames);
}

}  // namespace driftlug::test
