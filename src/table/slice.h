/// Slices: the part of the table that one kind of node needs, and deltas between its versions.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "table/slice_selection.h"
#include "table/table.h"

namespace driftlug::table {

/// The rows of one interest, with the revision at which each entered or left, so that a delta from any
/// revision since the slice was first computed is exact. From an earlier one it is exact as long as the only rows that
/// left were deleted, since the table's tombstones tell of those.
///
/// Invariants: the rows are those that the interest selects from the table given last; digest() covers them.
class Slice {
 public:
  Slice(Interest interest, const Table& table);

  const Interest& interest() const { return selection_.interest(); }

  /// @return revision of the last change that touched the slice.
  int64_t revision() const { return revision_; }

  Digest digest() const { return digest_.value(); }
  size_t size() const { return members_.size(); }

  /// @return whether a row is part of the slice.
  bool contains(const RowKey& key) const { return members_.count(key) > 0; }

  /// Follows a change of the table that was given last.
  /// @return whether the slice changed
  bool update(const Table& table, const ChangedRows& rows);

  /// Computes the slice anew from a table.
  /// @return whether it changed
  bool refresh(const Table& table);

  /// @return rows that a reader at `fromRevision` lacks, tombstones for those that left; valid until the next change.
  /// The delta is exact when fromRevision is at least firstRevision() and none of the rows that left
  /// since is forgotten, else the reader's digest decides.
  std::vector<const Row*> changedSince(int64_t fromRevision) const;

  /// @return every row; valid until the next change.
  std::vector<const Row*> allRows() const;

  /// @return the revision at which the slice was first computed from a table that was not empty.
  int64_t firstRevision() const { return firstRevision_; }

 private:
  /// A row of the slice, or the tombstone of one that left.
  struct Entry {
    RowPtr row;
    int64_t since;  // revision at which it entered or left; before the slice began, the row's own
  };

  struct BySince {
    using is_transparent = void;
    bool operator()(const Entry* left, const Entry* right) const;
    bool operator()(int64_t revision, const Entry* entry) const { return revision < entry->since; }
    bool operator()(const Entry* entry, int64_t revision) const { return entry->since < revision; }
  };

  using Entries = std::map<RowKey, Entry, RowKeyLess>;

  void initialize(const Table& table);
  bool reconcileRow(const RowKey& key, const RowPtr& row, int64_t now);
  void putEntry(Entries* entries, const RowKey& key, Entry entry);
  void erase(Entries* entries, const RowKey& key);
  void trimRemovedRows();

  SliceSelection selection_;
  Entries members_;                          // rows of the slice
  Entries removedRows_;                      // tombstones of rows that left, kMaxTombstones at most
  std::set<const Entry*, BySince> bySince_;  // of both
  DigestSum digest_;
  int64_t firstRevision_ = 0;
  int64_t revision_ = 0;
};

}  // namespace driftlug::table
