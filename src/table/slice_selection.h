/// Which rows an interest needs, kept up to date as rows change.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "table/row_change.h"
#include "table/table.h"

namespace driftlug::table {

using KeySet = std::set<RowKey, RowKeyLess>;

/// What a node asks for: routes of the hosts it accepts calls for, and the services it runs beside.
struct Interest {
  std::vector<std::string> hosts;     ///< sorted; routes with these hosts and all they need
  std::vector<std::string> services;  ///< sorted; limits, policy and secrets of these services

  bool operator==(const Interest&) const = default;
  auto operator<=>(const Interest&) const = default;

  /// @return the interest in every host, and with them in every service.
  static Interest allHosts();

  bool includesAllHosts() const;
};

/// Counts the references from selected rows, so that a change costs what it touches and not what the table holds.
///
/// Invariant: selects() holds for exactly the rows of the table that the interest needs, directly or by references.
class SliceSelection {
 public:
  explicit SliceSelection(Interest interest) : interest_(std::move(interest)) {}

  const Interest& interest() const { return interest_; }

  /// Begins with all rows of a table.
  void rebuild(const Table& table);

  /// Takes a change of the table in.
  /// @return the changed rows' keys, and those of rows that may be selected or not because of the change
  KeySet apply(const Table& table, const ChangedRows& rows);

  /// @return whether a live row of the table is selected.
  bool selects(const StoredRow& row) const;

 private:
  /// References by name.
  class Counts {
   public:
    void add(const std::string& name) { ++counts_[name]; }
    void remove(const std::string& name);
    bool has(const std::string& name) const { return counts_.count(name) > 0; }

   private:
    std::map<std::string, int> counts_;  // above 0
  };

  /// A service whose rows are selected.
  struct Service {
    RowPtr row;           // as it was when its references were counted
    bool routed = false;  // a selected route needs it, so its endpoints are selected too
  };

  bool matchesInterest(const StoredRow& row) const;
  void applyRoute(const StoredRow& route, bool added);
  void updateService(const Table& table, const std::string& name);
  void countReferences(const StoredRow& service, bool added);
  void markAffected(RowKey key);

  Interest interest_;
  std::map<std::string, Service> services_;
  Counts routedServices_;                  // by selected routes
  Counts secrets_;                         // by selected routes and services
  Counts policies_;                        // by selected services
  std::set<std::string> pendingServices_;  // services that the change in progress touches
  KeySet affectedKeys_;                    // by the change in progress
  bool collectAffected_ = true;            // into touched_
};

}  // namespace driftlug::table
