/// A relay's copy of the table.
#pragma once

#include <vector>

#include "table/table.h"

namespace driftlug::relay {

/// Result of taking an update.
enum class ReplicaResult {
  kApplied,
  kNothingNew,      ///< the update is not newer than the copy
  kBaseMismatch,    ///< the update starts behind a gap
  kDigestMismatch,  ///< the result is not what the controller has; the copy is unchanged
};

/// Rows that an update changed.
struct ReplicaChange {
  std::vector<table::RowPtr> changed;
  std::vector<table::RowPtr> previous;  ///< null where the row was new
};

/// Invariants: the revision never decreases; the digest was confirmed at every revision.
class TableReplica {
 public:
  /// Takes an update whole or not at all.
  ReplicaResult apply(const wire::TableUpdate& update, ReplicaChange* change);

  const table::Table& table() const { return table_; }
  int64_t revision() const { return table_.revision(); }

 private:
  ReplicaResult applyDelta(const wire::TableUpdate& update, ReplicaChange* change);
  ReplicaResult applyFull(const wire::TableUpdate& update, ReplicaChange* change);

  table::Table table_;
};

}  // namespace driftlug::relay
