#include "table/table.h"

#include <catch2/catch.hpp>

#include "table_rows.h"

using namespace driftlug;
using table::RowKind;

namespace {

template <typename Rows>
std::set<std::string> names(const Rows& rows) {
  std::set<std::string> names;
  for (const auto* row : rows) names.insert(row->key.name);
  return names;
}

}  // namespace

TEST_CASE("changedSince returns rows and tombstones in revision order") {
  table::Table table;
  table.put(test::serviceRow("a", 1));
  table.put(test::serviceRow("b", 2));
  table.put(test::serviceRow("a", 3));
  table.put(test::deletedRow(RowKind::SERVICE, "b", 4));
  const auto range = table.changedSince(2);
  const std::vector<const table::StoredRow*> changed(range.begin(), range.end());
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

TEST_CASE("undoPut reverts a change completely") {
  table::Table table;
  table.put(test::endpointRow("e", "old", 1));
  const auto digest = table.digest();
  const auto previous = table.findAny(table::makeKey(RowKind::ENDPOINT, "e"));
  table.put(test::endpointRow("e", "new", 2));
  table.undoPut(table::makeKey(RowKind::ENDPOINT, "e"), previous, 1);
  CHECK(table.digest() == digest);
  CHECK(table.revision() == 1);
  CHECK(names(table.endpointsOf("old")) == std::set<std::string>{"e"});
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

TEST_CASE("lookup of routes with the same match condition follows every change") {
  table::Table table;
  table.put(test::routeRow("a", "h", "/p/", {{"s", 100}}, 1));
  table.put(test::routeRow("b", "h", "/p/", {{"s", 100}}, 2, "GET"));
  table.put(test::routeRow("c", "h", "/q/", {{"s", 100}}, 3));
  const auto like = [&](const char* name, const char* host, const char* prefix, const char* method) {
    return names(table.routesWithSameMatch(test::routeRow(name, host, prefix, {{"s", 100}}, 9, method)->routeRow));
  };
  CHECK(like("x", "h", "/p/", "") == std::set<std::string>{"a"});
  CHECK(like("x", "h", "/p/", "GET") == std::set<std::string>{"b"});
  CHECK(like("x", "h/p", "/", "").empty());
  const auto key = table::makeKey(RowKind::ROUTE, "c");
  const auto previous = table.findAny(key);
  table.put(test::routeRow("c", "h", "/p/", {{"s", 100}}, 4));
  CHECK(like("x", "h", "/p/", "") == std::set<std::string>{"a", "c"});
  CHECK(like("x", "h", "/q/", "").empty());
  table.undoPut(key, previous, 3);
  CHECK(like("x", "h", "/p/", "") == std::set<std::string>{"a"});
  CHECK(like("x", "h", "/q/", "") == std::set<std::string>{"c"});
  table.put(test::deletedRow(RowKind::ROUTE, "a", 5));
  CHECK(like("x", "h", "/p/", "").empty());
}
