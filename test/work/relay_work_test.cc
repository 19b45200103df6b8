#include <catch2/catch.hpp>

#include "allocation_meter.h"
#include "large_table.h"
#include "relay/slice_cache.h"

namespace driftlug::test
{
namespace
{
constexpr size_t kSmall = 1'000;
constexpr size_t kLarge = 16'000;
constexpr size_t kChange = 50;

/// @returns Allocations with which a relay takes a change in and makes the frame for its nodes.
uint64_t workOfChange(size_t _routes)
{
	large_table rows(_routes);
	relay::SliceCache slices;
	const auto slice = slices.get(table::Interest::allHosts(), rows.table);
	const int64_t before = rows.table.revision();
	rows.addRoutes(kChange);
	const auto start = allocationsSoFar().count;
	(void)slices.onTableChange(rows.table, rows.change);
	(void)slice->deltaFrame(before, true);
	return allocationsSoFar().count - start;
}

}  // namespace

TEST_CASE("a change costs a relay the same in a small table and in a large one")
{
	const auto small = workOfChange(kSmall);
	CHECK(workOfChange(kLarge) <= small + small / 10);
}

TEST_CASE("nodes of every host share a slice, whatever service they run beside")
{
	large_table rows(kSmall);
	relay::SliceCache slices;
	const auto slice = slices.get({{"*"}, {"archive"}}, rows.table);
	CHECK(slices.get({{"*"}, {"intake"}}, rows.table) == slice);
	CHECK(slice->slice().contains(table::makeKey(wire::RowKind::SERVICE, "archive")));
	CHECK(slice->slice().contains(table::makeKey(wire::RowKind::SERVICE, "intake")));
}

}  // namespace driftlug::test
