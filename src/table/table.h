/// The configuration table: rows by key, tombstones, and indexes for references between rows.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "table/row.h"
#include "table/row_index.h"

namespace driftlug::table {

/// Maximum number of tombstones kept for readers that have not seen the deletions.
constexpr size_t kMaxTombstones = 20'000;

/// @param revisions must not be empty
/// @return the median: at least half of the revisions do not exceed it.
int64_t medianOf(std::vector<int64_t> revisions);

using RowMap = std::map<RowKey, RowPtr, RowKeyLess>;

/// All rows at one revision.
///
/// Invariants: a key is in at most one of rows() and tombstones(); no row's revision exceeds revision().
class Table {
 public:
  /// @return the revision of the last change.
  int64_t revision() const { return revision_; }

  /// @return the live row; null when there is none.
  RowPtr find(const RowKey& key) const;

  /// @return the live row or the tombstone; null when there is neither.
  RowPtr findAny(const RowKey& key) const;

  /// @return the revision of the row or of its tombstone, 0 when there is neither.
  int64_t rowRevision(const RowKey& key) const;

  const RowMap& rows() const { return rows_; }
  const RowMap& tombstones() const { return tombstones_; }

  /// @return digest over the live rows.
  Digest digest() const { return digest_.value(); }

  /// @return the endpoints of a service, by name.
  IndexedRows<ServiceIndex> endpointsOf(std::string_view service) const;

  /// @return the limits of a service, by name.
  IndexedRows<ServiceIndex> limitsOf(std::string_view service) const;

  /// @return the routes that match on a host.
  IndexedRows<MatchIndex> routesOf(std::string_view host) const;

  /// @return the routes that match on the same host, prefix and method, by name.
  IndexedRows<MatchIndex> routesWithSameMatch(const wire::RouteRow& route) const;

  /// Inserts or replaces a row, or a tombstone when the row is marked deleted; raises revision() to the row's.
  /// @return what findAny() returned before
  RowPtr put(const RowPtr& row);

  /// Reverts put(): restores what findAny() returned for the key before, and the previous revision.
  void undoPut(const RowKey& key, const RowPtr& previous, int64_t previousRevision);

  /// Raises the revision without a row change; a lower revision has no effect.
  void advanceTo(int64_t revision);

  /// Drops tombstones up to a revision, and raises the horizon to it.
  void dropTombstones(int64_t upTo);

  /// Drops the older half of the tombstones when there are more than kMaxTombstones; readers at an older revision then
  /// get the full table.
  void trimTombstones();

  /// @return rows and tombstones changed after a revision, in revision order; valid until the table changes.
  IndexedRows<RevisionIndex> changedSince(int64_t revision) const;

  /// @return the lowest revision from which changedSince() is complete.
  int64_t horizon() const { return horizon_; }

  /// Declares that changes up to a revision may be missing from changedSince().
  void setHorizon(int64_t revision) { horizon_ = revision; }

 private:
  void unlink(const StoredRow& row);
  void link(const StoredRow& row);
  void remove(const StoredRow& row);

  RowMap rows_;               // live rows
  RowMap tombstones_;         // deleted rows above horizon_
  RevisionIndex byRevision_;  // rows_ and tombstones_
  ServiceIndex endpoints_;    // of rows_
  ServiceIndex limits_;       // of rows_
  MatchIndex routes_;         // of rows_
  DigestSum digest_;          // over rows_
  int64_t revision_ = 0;
  int64_t horizon_ = 0;
};

}  // namespace driftlug::table
