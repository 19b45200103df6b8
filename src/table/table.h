/// The configuration table: rows by key, tombstones, and indexes for references between rows.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "table/row.h"
#include "table/row_index.h"

namespace driftlug::table {

/// Deleted rows that are remembered, for readers that lack the deletion.
constexpr size_t kMaxTombstones = 20'000;

/// @param revisions not empty
/// @return a revision that half of them don't exceed.
int64_t medianOf(std::vector<int64_t> revisions);

using RowMap = std::map<RowKey, RowPtr, RowKeyLess>;

/// All rows at one revision.
///
/// Invariants: live and deleted rows are kept apart; a key is in at most one of them; no row's
/// revision is above revision().
class Table {
 public:
  /// @return the revision of the last change.
  int64_t revision() const { return revision_; }

  /// @return the live row, or null.
  RowPtr find(const RowKey& key) const;

  /// @return the live row or the tombstone, or null.
  RowPtr findAny(const RowKey& key) const;

  /// @return the revision of the row or of its tombstone, 0 when the key was never used.
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

  /// Puts a row or, when it is marked deleted, a tombstone; moves revision() up to the row's.
  /// @return what findAny() returned before
  RowPtr put(const RowPtr& row);

  /// Takes back put(): sets a key to what findAny() returned before, and the revision to what it was.
  void undoPut(const RowKey& key, const RowPtr& previous, int64_t previousRevision);

  /// Sets the revision without a row change; it never moves back.
  void advanceTo(int64_t revision);

  /// Forgets tombstones up to a revision.
  void dropTombstones(int64_t upTo);

  /// Forgets the older half of the tombstones when there are more than kMaxTombstones; readers from before them get
  /// everything.
  void trimTombstones();

  /// @return rows and tombstones changed after a revision, in revision order; valid until the table changes.
  IndexedRows<RevisionIndex> changedSince(int64_t revision) const;

  /// @return lowest revision from which changedSince() is complete.
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
