/// Incremental selection of the rows that an interest needs.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "table/row_change.h"
#include "table/table.h"

namespace driftlug::table {

using KeySet = std::set<RowKey, RowKeyLess>;

/// Subscription of a node: the hosts it accepts calls for and the services it is a sidecar of.
struct Interest {
  std::vector<std::string> hosts;     ///< sorted; selects the routes of these hosts and all rows they refer to
  std::vector<std::string> services;  ///< sorted; selects the limits, retry policy and secrets of these services

  bool operator==(const Interest&) const = default;
  auto operator<=>(const Interest&) const = default;

  /// @return the interest in all hosts, which includes all services.
  static Interest allHosts();

  bool includesAllHosts() const;
};

/// Counts references from selected rows, so that the cost of a change depends on the affected rows and not on the size
/// of the table.
///
/// Invariant: selects() is true for exactly the rows of the table that the interest needs, directly or by reference.
class SliceSelection {
 public:
  explicit SliceSelection(Interest interest) : interest_(std::move(interest)) {}

  const Interest& interest() const { return interest_; }

  /// Recomputes the selection from all rows of a table.
  void rebuild(const Table& table);

  /// Applies a change of the table.
  /// @return the keys of the changed rows and of all rows whose selection may have changed
  KeySet apply(const Table& table, const ChangedRows& rows);

  /// @return whether a live row of the table is selected.
  bool selects(const StoredRow& row) const;

 private:
  /// Reference counts by name.
  class Counts {
   public:
    void add(const std::string& name) { ++counts_[name]; }
    void remove(const std::string& name);
    bool has(const std::string& name) const { return counts_.count(name) > 0; }

   private:
    std::map<std::string, int> counts_;  // positive counts only
  };

  /// A service whose rows are selected.
  struct Service {
    RowPtr row;           // version whose references are counted
    bool routed = false;  // whether a selected route needs it; then its endpoints are selected too
  };

  bool matchesInterest(const StoredRow& row) const;
  void applyRoute(const StoredRow& route, bool added);
  void updateService(const Table& table, const std::string& name);
  void countReferences(const StoredRow& service, bool added);
  void markAffected(RowKey key);

  Interest interest_;
  std::map<std::string, Service> services_;
  Counts routedServices_;                  // references from selected routes
  Counts secrets_;                         // references from selected routes and services
  Counts policies_;                        // references from selected services
  std::set<std::string> pendingServices_;  // services to update in the current change
  KeySet affectedKeys_;                    // keys affected by the current change
  bool collectAffected_ = true;            // false during rebuild()
};

}  // namespace driftlug::table
