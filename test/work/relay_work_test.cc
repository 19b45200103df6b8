#include <catch2/catch.hpp>

#include "allocation_meter.h"
#include "large_table.h"
#include "relay/slice_cache.h"

namespace driftlug::test
{
namespace
{
constexpr size_t kSmallTableRoutes = 1'000;
constexpr size_t kLargeTableRoutes = 16'000;
constexpr size_t kChangedRoutes = 50;

/// @returns Number of allocations when a relay applies a change and encodes the frame for its nodes.
uint64_t allocationsPerChange(size_t _routes)
{
	large_table rows(_routes);
	relay::SliceCache slices;
	const auto slice = slices.get(table::Interest::allHosts(), rows.table);
	const int64_t before = rows.table.revision();
	rows.addRoutes(kChangedRoutes);
	const auto start = currentAllocations().count;
	(void)slices.onTableChange(rows.table, rows.change);
	(void)slice->deltaFrame(before, true);
	return currentAllocations().count - start;
}

}  // namespace

TEST_CASE("a change costs a relay the same in a small table and in a large one")
{
	const auto small = allocationsPerChange(kSmallTableRoutes);
	CHECK(allocationsPerChange(kLargeTableRoutes) <= small + small / 10);
}

TEST_CASE("nodes that are interested in every host share a slice, whatever their local service is")
{
	large_table rows(kSmallTableRoutes);
	relay::SliceCache slices;
	const auto slice = slices.get({{"*"}, {"archive"}}, rows.table);
	CHECK(slices.get({{"*"}, {"intake"}}, rows.table) == slice);
	CHECK(slice->slice().contains(table::makeKey(wire::RowKind::SERVICE, "archive")));
	CHECK(slice->slice().contains(table::makeKey(wire::RowKind::SERVICE, "intake")));
}

}  // namespace driftlug::test
