/// Slices: the part of the table that one kind of node needs, and deltas between its versions.
#pragma once

#include <string>
#include <vector>

#include "table/table.h"

namespace driftlug::table {

/// What a node asks for: routes of the hosts it accepts calls for, and the services it runs beside.
struct Interest {
  std::vector<std::string> hosts;     ///< sorted; routes with these hosts and all they need
  std::vector<std::string> services;  ///< sorted; limits, policy and secrets of these services

  bool operator==(const Interest&) const = default;
  auto operator<=>(const Interest&) const = default;
};

/// @return the keys of the rows that an interest needs: routes with their transitive services, endpoints,
/// limits, retry policies and secrets.
std::set<RowKey, RowKeyLess> selectKeys(const Table& table, const Interest& interest);

/// The rows of one interest, with the revision at which each entered or left, so that a delta from any
/// revision since the slice was first computed is exact. From an earlier one it is exact as long as the only rows that
/// left were deleted, since the table's tombstones tell of those.
///
/// Invariants: rows() equals selectKeys() over the table given to the last refresh(); digest() covers rows().
class Slice {
 public:
  Slice(Interest interest, const Table& table);

  const Interest& interest() const { return interest_; }

  /// @return revision of the last change that touched the slice.
  int64_t revision() const { return revision_; }

  Digest digest() const { return digest_.value(); }
  size_t size() const { return members_.size(); }

  /// @return whether a row is part of the slice.
  bool contains(const RowKey& key) const { return members_.count(key) > 0; }

  /// @return whether a change of this row may touch the slice.
  bool mayContain(const Row& row, const Row* previous) const;

  /// Computes the slice anew.
  /// @return whether it changed
  bool refresh(const Table& table);

  /// @return rows that a reader at `fromRevision` lacks; rows that left come as deleted.
  /// The delta is exact when fromRevision is at least firstRevision(), else the reader's digest decides.
  std::vector<Row> changedSince(int64_t fromRevision) const;

  /// @return every row.
  std::vector<Row> allRows() const;

  /// @return the revision at which the slice was first computed from a table that was not empty.
  int64_t firstRevision() const { return firstRevision_; }

 private:
  void begin(const Table& table);

  struct Member {
    RowPtr row;
    int64_t since;  // revision at which the row, as it is, became part of the slice
  };

  Interest interest_;
  std::map<RowKey, Member, RowKeyLess> members_;    // rows of the slice
  std::map<RowKey, int64_t, RowKeyLess> departed_;  // keys that left, with the revision
  std::set<std::string> services_;                  // services whose rows are members
  DigestSum digest_;
  int64_t firstRevision_ = 0;
  int64_t revision_ = 0;
};

}  // namespace driftlug::table
