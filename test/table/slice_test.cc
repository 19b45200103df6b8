#include "table/slice.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "table_rows.h"

using namespace driftlug;
using table::RowKind;

namespace {

table::Table twoServices() {
  table::Table table;
  table.put(test::secretRow("k1", 1));
  table.put(test::secretRow("k2", 1));
  table.put(test::serviceRow("s1", 1, {"k1"}));
  table.put(test::serviceRow("s2", 1, {"k2"}));
  table.put(test::endpointRow("e1", "s1", 1));
  table.put(test::endpointRow("e2", "s2", 1));
  table.put(test::routeRow("r", "h", "/", {{"s1", 100}}, 1));
  return table;
}

table::Table applyRows(table::Table base, const std::vector<wire::Row>& rows) {
  for (const auto& row : rows) base.put(table::storeRow(row));
  return base;
}

}  // namespace

TEST_CASE("a slice holds routes and all that they need, and nothing else") {
  const auto table = twoServices();
  const table::Slice slice({{"h"}, {}}, table);
  CHECK(slice.contains(table::makeKey(RowKind::SECRET, "k1")));
  CHECK(slice.contains(table::makeKey(RowKind::ENDPOINT, "e1")));
  CHECK_FALSE(slice.contains(table::makeKey(RowKind::SECRET, "k2")));
  CHECK_FALSE(slice.contains(table::makeKey(RowKind::ENDPOINT, "e2")));
}

TEST_CASE("a route that turns to another service brings its old rows along") {
  auto table = twoServices();
  table::Slice slice({{"h"}, {}}, table);
  table.put(test::routeRow("r", "h", "/", {{"s2", 100}}, 2));
  REQUIRE(slice.refresh(table));
  const auto after =
      applyRows(applyRows({}, table::Slice({{"h"}, {}}, twoServices()).allRows()), slice.changedSince(1));
  CHECK(after.digest() == slice.digest());
  CHECK(after.find(table::makeKey(RowKind::SECRET, "k2")) != nullptr);
  CHECK(after.find(table::makeKey(RowKind::SECRET, "k1")) == nullptr);
}

TEST_CASE("a slice that begins later still tells an earlier reader of rows that were deleted") {
  auto table = twoServices();
  const auto reader = applyRows({}, table::Slice({{"*"}, {}}, table).allRows());
  table.put(test::routeRow("gone", "h", "/gone/", {{"s1", 100}}, 2));
  const auto later = applyRows({}, table::Slice({{"*"}, {}}, table).allRows());
  table.put(test::deletedRow(RowKind::ROUTE, "gone", 3));
  table.put(test::routeRow("new", "h", "/new/", {{"s1", 100}}, 4));
  table::Slice slice({{"*"}, {}}, table::Table());
  CHECK(slice.refresh(table));
  CHECK(applyRows(reader, slice.changedSince(1)).digest() == slice.digest());
  CHECK(applyRows(later, slice.changedSince(2)).digest() == slice.digest());
  // Only what changed is told.
  CHECK(slice.changedSince(2).size() == 2);
}

TEST_CASE("deltas from any revision equal the full slice, over random edits") {
  base::RandomSource random(11);
  for (int round = 0; round < 20; ++round) {
    auto table = twoServices();
    table::Slice slice({{"h"}, {"s2"}}, table);
    std::vector<std::pair<int64_t, table::Table>> readers;
    readers.emplace_back(1, applyRows({}, slice.allRows()));
    for (int64_t revision = 2; revision < 40; ++revision) {
      const auto service = random.chance(0.5) ? "s1" : "s2";
      const auto name = "e" + std::to_string(random.below(6));
      table::RowPtr row;
      switch (random.below(4)) {
        case 0:
          row = test::routeRow("r", "h", "/", {{service, 100}}, revision);
          break;
        case 1:
          row = test::endpointRow(name, service, revision);
          break;
        case 2:
          row = test::deletedRow(RowKind::ENDPOINT, name, revision);
          break;
        default:
          row = test::limitRow("l", service, revision);
          break;
      }
      const auto previous = table.find(row->key);
      if (row->deleted && !previous) continue;
      const bool touches = slice.mayContain(*row, previous.get());
      table.put(row);
      const bool changed = slice.refresh(table);
      CHECK((touches || !changed));
      readers.emplace_back(revision, applyRows({}, slice.allRows()));
    }
    for (const auto& [revision, rows] : readers) {
      CHECK(applyRows(rows, slice.changedSince(revision)).digest() == slice.digest());
    }
  }
}
