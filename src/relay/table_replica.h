/// The table that a relay serves: a replica of the controllers' table, or a table shared within the process.
#pragma once

#include "table/row_change.h"
#include "table/table.h"

namespace driftlug::relay {

/// Result of applying an update.
enum class ReplicaResult {
  kApplied,
  kNothingNew,      ///< the update is not newer than the copy
  kBaseMismatch,    ///< the update starts at a revision that the copy has not reached
  kDigestMismatch,  ///< the resulting digest differs from the controller's; the copy is unchanged
};

/// Holds a copy of the table that is kept up to date by updates, or refers to the table of a controller in the same
/// process.
///
/// Invariants: the revision never decreases; the digest of a copy matched the controller's at every revision.
class TableReplica {
 public:
  /// Serves a table that outlives this object instead of a copy.
  void share(const table::Table& table) { shared_ = &table; }

  /// @return whether the table is shared with a controller and must not be updated here.
  bool isShared() const { return shared_ != nullptr; }

  /// Applies an update to the copy atomically.
  /// @param change receives the changed rows
  ReplicaResult apply(const wire::TableUpdate& update, table::ChangedRows* change);

  const table::Table& table() const { return isShared() ? *shared_ : copy_; }
  int64_t revision() const { return table().revision(); }

 private:
  ReplicaResult applyDelta(const wire::TableUpdate& update, table::ChangedRows* change);
  ReplicaResult applyFull(const wire::TableUpdate& update, table::ChangedRows* change);

  const table::Table* shared_ = nullptr;  // null if the copy is served
  table::Table copy_;
};

}  // namespace driftlug::relay
