#include "relay/table_replica.h"

#include <catch2/catch.hpp>

#include "table_rows.h"

using namespace driftlug;

TEST_CASE("a relay's copy of the table does not remember every deletion") {
  constexpr int64_t kDeletions = 2 * table::kMaxTombstones;
  table::Table table;
  table.put(test::serviceRow("s", 1));
  relay::TableReplica replica;
  for (int64_t revision = 2; revision <= kDeletions; ++revision) {
    wire::TableUpdate update;
    update.fromRevision = replica.revision();
    update.toRevision = revision;
    if (revision == 2) update.rows.push_back(*test::serviceRow("s", 1));
    update.rows.push_back(*test::deletedRow(table::RowKind::ROUTE, "r" + std::to_string(revision), revision));
    update.digest = table.digest();
    table::ChangedRows change;
    REQUIRE(replica.apply(update, &change) == relay::ReplicaResult::kApplied);
  }
  CHECK(replica.table().tombstones().size() <= table::kMaxTombstones);
  CHECK(replica.table().horizon() > 0);
  CHECK(replica.table().digest() == table.digest());
}
