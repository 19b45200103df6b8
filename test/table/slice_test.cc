#include "table/slice.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/random.h"
#include "random_rows.h"
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

table::Table applyRows(table::Table base, const std::vector<const wire::Row*>& rows) {
  for (const auto* row : rows) base.put(table::storeRow(*row));
  return base;
}

/// Reference implementation: computes the keys that an interest needs from the whole table.
class ReferenceSelection {
 public:
  ReferenceSelection(const table::Table& table, const table::Interest& interest) : table_(table) {
    const bool every = interest.includesAllHosts();
    const auto has = [](const auto& names, const auto& name) {
      return std::find(names.begin(), names.end(), name) != names.end();
    };
    for (const auto& [key, row] : table.rows()) {
      if (key.kind == RowKind::TENANT || key.kind == RowKind::INGRESS || key.kind == RowKind::EVACUATION) {
        keys_.insert(key);
      }
      if (key.kind == RowKind::ROUTE && (every || has(interest.hosts, row->routeRow.host))) addRoute(*row);
      if (key.kind == RowKind::SERVICE && (every || has(interest.services, key.name))) addService(key.name, false);
    }
  }

  const table::KeySet& keys() const { return keys_; }

 private:
  void add(RowKind::type kind, const std::string& name) {
    if (table_.find(table::makeKey(kind, name))) keys_.insert(table::makeKey(kind, name));
  }

  void addRoute(const wire::Row& row) {
    keys_.insert(row.key);
    for (const auto& share : row.routeRow.shares) addService(share.serviceName, true);
    for (const auto& service : row.routeRow.requiredServices) addService(service, true);
    for (const auto& secret : row.routeRow.requiredSecrets) add(RowKind::SECRET, secret);
  }

  void addService(const std::string& name, bool routed) {
    const auto service = table_.find(table::makeKey(RowKind::SERVICE, name));
    if (!service) return;
    keys_.insert(service->key);
    add(RowKind::RETRY_POLICY, service->serviceRow.retryPolicy);
    for (const auto& secret : service->serviceRow.secrets) add(RowKind::SECRET, secret);
    add(RowKind::ROLLOUT, name);
    for (const auto& [key, row] : table_.rows()) {
      if (key.kind == RowKind::LIMIT && row->limitRow.serviceName == name) keys_.insert(key);
      if (routed && key.kind == RowKind::ENDPOINT && row->endpointRow.serviceName == name) keys_.insert(key);
    }
  }

  const table::Table& table_;
  table::KeySet keys_;
};

}  // namespace

TEST_CASE("an incrementally updated slice equals a selection over the whole table") {
  const std::vector<table::Interest> interests = {{{"a"}, {}}, {{"a", "b"}, {"c"}}, {{}, {"a"}}, {{"*"}, {}}};
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    test::RandomRowGenerator draw(seed);
    table::Table table;
    table::Slice slice(interests[seed % interests.size()], table);
    for (int64_t revision = 1; revision <= 120; ++revision) {
      const auto row = draw.next(revision);
      const auto previous = table.findAny(row->key);
      table.put(row);
      (void)slice.update(table, {{row}, {previous}});
      table::KeySet held;
      for (const auto* member : slice.allRows()) held.insert(member->key);
      REQUIRE(held == ReferenceSelection(table, slice.interest()).keys());
    }
  }
}

TEST_CASE("a slice holds routes and all rows that they need, and nothing else") {
  const auto table = twoServices();
  const table::Slice slice({{"h"}, {}}, table);
  CHECK(slice.contains(table::makeKey(RowKind::SECRET, "k1")));
  CHECK(slice.contains(table::makeKey(RowKind::ENDPOINT, "e1")));
  CHECK_FALSE(slice.contains(table::makeKey(RowKind::SECRET, "k2")));
  CHECK_FALSE(slice.contains(table::makeKey(RowKind::ENDPOINT, "e2")));
}

TEST_CASE("a route moved to another service replaces the rows of its old service in the delta") {
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

TEST_CASE("a slice created later still sends deletions to readers of an earlier revision") {
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
  // Only changed rows are sent.
  CHECK(slice.changedSince(2).size() == 2);
}

TEST_CASE("a slice keeps a bounded number of tombstones") {
  auto table = twoServices();
  table::Slice slice({{"*"}, {}}, table);
  const auto live = slice.size();
  const auto put = [&](const table::RowPtr& row) {
    const auto previous = table.put(row);
    (void)slice.update(table, {{row}, {previous}});
  };
  int64_t revision = 1;
  for (size_t i = 0; i < 2 * table::kMaxTombstones; ++i) {
    const auto name = "e" + std::to_string(i + 10);
    put(test::endpointRow(name, "s1", ++revision));
    put(test::deletedRow(RowKind::ENDPOINT, name, ++revision));
  }
  CHECK(slice.changedSince(0).size() <= live + table::kMaxTombstones);
  CHECK(slice.changedSince(revision - 1).size() == 1);
  CHECK(slice.digest() == table::Slice(slice.interest(), table).digest());
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
      const auto previous = table.findAny(row->key);
      if (row->deleted && (!previous || previous->deleted)) continue;
      const auto before = slice.digest();
      table.put(row);
      const bool changed = slice.update(table, {{row}, {previous}});
      CHECK(changed == !(slice.digest() == before));
      CHECK(slice.digest() == table::Slice(slice.interest(), table).digest());
      readers.emplace_back(revision, applyRows({}, slice.allRows()));
    }
    for (const auto& [revision, rows] : readers) {
      CHECK(applyRows(rows, slice.changedSince(revision)).digest() == slice.digest());
    }
  }
}
