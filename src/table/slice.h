/// Slices: the subset of the table that nodes with one interest need, and deltas between its versions.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "table/slice_selection.h"
#include "table/table.h"

namespace driftlug::table {

/// The rows of one interest, each with the revision at which it entered or left the slice. Deltas from any revision
/// since the slice was first computed are exact. A delta from an earlier revision is exact if all rows that left
/// since then were deleted, since the table has tombstones for those.
///
/// Invariants: the rows are those that the interest selects from the last table passed in; digest() covers them.
class Slice {
 public:
  Slice(Interest interest, const Table& table);

  const Interest& interest() const { return selection_.interest(); }

  /// @return the revision of the last change that affected the slice.
  int64_t revision() const { return revision_; }

  Digest digest() const { return digest_.value(); }
  size_t size() const { return members_.size(); }

  /// @return whether a row is part of the slice.
  bool contains(const RowKey& key) const { return members_.count(key) > 0; }

  /// Applies a change of the table that was passed in last.
  /// @return whether the slice changed
  bool update(const Table& table, const ChangedRows& rows);

  /// Recomputes the slice from a table.
  /// @return whether it changed
  bool refresh(const Table& table);

  /// @return the rows that a reader at `fromRevision` lacks, with tombstones for rows that left the slice; valid until
  /// the next change. The delta is exact if fromRevision is at least firstRevision() and no tombstone since then was
  /// trimmed; otherwise the reader has to compare its digest.
  std::vector<const Row*> changedSince(int64_t fromRevision) const;

  /// @return all rows; valid until the next change.
  std::vector<const Row*> allRows() const;

  /// @return the revision at which the slice was first computed from a table that was not empty.
  int64_t firstRevision() const { return firstRevision_; }

 private:
  /// A row of the slice, or the tombstone of one that left.
  struct Entry {
    RowPtr row;
    int64_t since;  // revision at which it entered or left; the row's own if that was before firstRevision_
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
  Entries removedRows_;                      // tombstones of rows that left, at most kMaxTombstones
  std::set<const Entry*, BySince> bySince_;  // entries of members_ and removedRows_
  DigestSum digest_;
  int64_t firstRevision_ = 0;
  int64_t revision_ = 0;
};

}  // namespace driftlug::table
