#include "node/slice_store.h"

#include <catch2/catch.hpp>

#include "random_rows.h"

using namespace driftlug;
using node::SliceResult;
using node::SliceStore;

namespace {

/// The delta that a relay sends to a store at revision `from`.
wire::SliceUpdate deltaOf(const table::Table& table, int64_t from, const table::RowPtr& row) {
  wire::SliceUpdate update;
  update.fromRevision = from;
  update.toRevision = row->revision;
  update.rows = {*row};
  update.digest = table.digest();
  return update;
}

const std::vector<std::string> kNames = {"a", "b", "c", "d"};

/// Compares everything that calls read from a routing table.
void checkEquivalent(const routing::RoutingTable& left, const routing::RoutingTable& right) {
  for (const auto& name : kNames) {
    const auto* one = left.match(name, "/", "GET");
    const auto* other = right.match(name, "/", "GET");
    REQUIRE((one == nullptr) == (other == nullptr));
    if (one != nullptr) {
      CHECK(one->name == other->name);
      CHECK(one->shares.front().name == other->shares.front().name);
    }
    const auto names = [&](const routing::RoutingTable& table) {
      std::vector<std::string> found;
      for (const auto& endpoint : table.endpoints(name)) found.push_back(endpoint.name);
      return found;
    };
    CHECK(names(left) == names(right));
    CHECK((left.limit(name) == nullptr) == (right.limit(name) == nullptr));
    CHECK(left.retryRule(name).has_value() == right.retryRule(name).has_value());
    CHECK(left.maxConnections(name) == right.maxConnections(name));
    CHECK(left.evacuated(name) == right.evacuated(name));
    CHECK((left.tenants().findByName(name) == nullptr) == (right.tenants().findByName(name) == nullptr));
  }
}

}  // namespace

TEST_CASE("a version updated by a delta equals one that is built from all rows") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    test::RandomRowGenerator draw(seed);
    table::Table table;
    SliceStore store;
    store.setChecks({true, true, false});  // these rows refer to arbitrary others
    for (int64_t revision = 1; revision <= 100; ++revision) {
      const auto row = draw.next(revision);
      table.put(row);
      REQUIRE(store.apply(deltaOf(table, store.revision(), row)) == SliceResult::kActivated);
      CHECK(store.digest() == table.digest());
      checkEquivalent(*store.active(), routing::RoutingTable(table, revision));
    }
  }
}

TEST_CASE("a rejected update leaves the rows and the version unchanged") {
  table::Table table;
  SliceStore store;
  for (const auto& row : {test::secretRow("k", 1), test::serviceRow("s", 2, {"k"})}) {
    table.put(row);
    REQUIRE(store.apply(deltaOf(table, store.revision(), row)) == SliceResult::kActivated);
  }
  const auto active = store.active();
  const auto rows = store.rows().rows();

  auto broken = deltaOf(table, 2, test::serviceRow("other", 3));
  CHECK(store.apply(broken) == SliceResult::kDigestMismatch);

  auto dangling = table;
  const auto gone = test::deletedRow(table::RowKind::SECRET, "k", 3);
  dangling.put(gone);
  CHECK(store.apply(deltaOf(dangling, 2, gone)) == SliceResult::kDanglingReference);

  CHECK(store.apply(deltaOf(table, 1, test::serviceRow("other", 3))) == SliceResult::kBaseMismatch);

  CHECK(store.active() == active);
  CHECK(store.revision() == 2);
  CHECK(store.rows().rows() == rows);
  CHECK(store.rows().digest() == table.digest());
  const auto next = test::secretRow("k", 4);
  table.put(next);
  CHECK(store.apply(deltaOf(table, 2, next)) == SliceResult::kActivated);
}
