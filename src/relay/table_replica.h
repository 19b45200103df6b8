/// The table that a relay serves.
#pragma once

#include "table/row_change.h"
#include "table/table.h"

namespace driftlug::relay {

/// Result of taking an update.
enum class ReplicaResult {
  kApplied,
  kNothingNew,      ///< the update is not newer than the copy
  kBaseMismatch,    ///< the update starts behind a gap
  kDigestMismatch,  ///< the result is not what the controller has; the copy is unchanged
};

/// A copy that updates keep current, or the table of a controller in the same process.
///
/// Invariants: the revision never decreases; the digest of a copy was confirmed at every revision.
class TableReplica {
 public:
  /// Serves a table that outlives this object in place of a copy.
  void share(const table::Table& table) { shared_ = &table; }

  /// @return whether the table is another's, and takes no updates here.
  bool shares() const { return shared_ != nullptr; }

  /// Takes an update of the copy whole or not at all.
  ReplicaResult apply(const wire::TableUpdate& update, table::ChangedRows* change);

  const table::Table& table() const { return shares() ? *shared_ : copy_; }
  int64_t revision() const { return table().revision(); }

 private:
  ReplicaResult applyDelta(const wire::TableUpdate& update, table::ChangedRows* change);
  ReplicaResult applyFull(const wire::TableUpdate& update, table::ChangedRows* change);

  const table::Table* shared_ = nullptr;  // null where there is a copy
  table::Table copy_;
};

}  // namespace driftlug::relay
