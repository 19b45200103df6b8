#include <catch2/catch.hpp>

#include "allocation_meter.h"
#include "large_table.h"
#include "node/slice_store.h"

namespace driftlug::test
{
namespace
{
constexpr size_t kSmallTableRoutes = 1'000;
constexpr size_t kLargeTableRoutes = 16'000;
constexpr size_t kChangedRoutes = 50;

wire::SliceUpdate updateTo(const large_table& _rows, int64_t _from)
{
	wire::SliceUpdate update;
	update.fromRevision = _from;
	update.toRevision = _rows.table.revision();
	update.full = 0 == _from;
	update.digest = _rows.table.digest();
	if (update.full)
	{
		for (const auto& [key, row] : _rows.table.rows())
		{
			update.rows.push_back(*row);
		}
	}
	else
	{
		update.rows = _rows.changedRows();
	}
	return update;
}

/// @returns Number of allocations when a node switches to a version that differs in some routes.
uint64_t allocationsPerChange(size_t _routes)
{
	large_table rows(_routes);
	node::SliceStore store;
	REQUIRE(node::SliceResult::kActivated == store.apply(updateTo(rows, 0)));
	const int64_t before = rows.table.revision();
	rows.addRoutes(kChangedRoutes);
	const auto update = updateTo(rows, before);
	const auto start = currentAllocations().count;
	REQUIRE(node::SliceResult::kActivated == store.apply(update));
	return currentAllocations().count - start;
}

}  // namespace

TEST_CASE("a change costs a node the same in a small table and in a large one")
{
	const auto small = allocationsPerChange(kSmallTableRoutes);
	CHECK(allocationsPerChange(kLargeTableRoutes) <= small + small / 10);
}

}  // namespace driftlug::test
