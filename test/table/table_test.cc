#include "table/table.h"

#include <catch2/catch.hpp>

#include "table_rows.h"

using namespace driftlug;
using table::RowKind;

TEST_CASE("changedSince returns rows and tombstones in revision order") {
  table::Table table;
  table.put(test::serviceRow("a", 1));
  table.put(test::serviceRow("b", 2));
  table.put(test::serviceRow("a", 3));
  table.put(test::deletedRow(RowKind::SERVICE, "b", 4));
  const auto changed = table.changedSince(2);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0]->revision == 3);
  CHECK(changed[1]->deleted);
}

TEST_CASE("the digest does not depend on the order of changes") {
  table::Table left;
  table::Table right;
  left.put(test::serviceRow("a", 1));
  left.put(test::serviceRow("b", 2));
  right.put(test::serviceRow("b", 2));
  right.put(test::serviceRow("x", 1));
  right.put(test::deletedRow(RowKind::SERVICE, "x", 3));
  right.put(test::serviceRow("a", 1));
  CHECK(left.digest() == right.digest());
  right.put(test::serviceRow("a", 4));
  CHECK_FALSE(left.digest() == right.digest());
}

TEST_CASE("undoPut takes a change back whole") {
  table::Table table;
  table.put(test::endpointRow("e", "old", 1));
  const auto digest = table.digest();
  const auto previous = table.findAny(table::makeKey(RowKind::ENDPOINT, "e"));
  table.put(test::endpointRow("e", "new", 2));
  table.undoPut(table::makeKey(RowKind::ENDPOINT, "e"), previous, 1);
  CHECK(table.digest() == digest);
  CHECK(table.revision() == 1);
  CHECK(table.endpointsOf("old").count("e") == 1);
  CHECK(table.endpointsOf("new").empty());
}

TEST_CASE("tombstones behind the horizon are dropped") {
  table::Table table;
  table.put(test::serviceRow("a", 1));
  table.put(test::deletedRow(RowKind::SERVICE, "a", 2));
  table.dropTombstones(2);
  CHECK(table.horizon() == 2);
  CHECK(table.tombstones().empty());
  CHECK(table.changedSince(0).empty());
}
