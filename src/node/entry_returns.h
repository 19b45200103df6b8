/// State of the entry side for refused requests that return.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/time.h"
#include "quarantine/request_fingerprint.h"

namespace driftlug::node {

/// A reservation that an endpoint offered for a request that it refused.
struct KeptReservation {
  std::string endpoint;
  int64_t id = 0;
  base::TimePoint at{};
};

/// Reservations of refused requests until they return, in memory only, and the routes of nested calls.
class EntryReturns {
 public:
  /// Request and name of its tenant.
  using Key = std::pair<quarantine::request_fingerprint, std::string>;

  /// Upper bound of kept reservations. A node of 14 slots or less sees a few hundred refusals a second at most, and
  /// each is kept for less than a second; an entry takes some 200 bytes.
  static constexpr size_t kMaxKept = 1024;

  /// Keeps a reservation until it expires. It is not kept if kMaxKept others are.
  void keep(const Key& key, KeptReservation reservation, base::TimePoint now);

  /// Removes the reservation of a request that returns.
  /// @return nullopt if there is none that holds now
  std::optional<KeptReservation> take(const Key& key, base::TimePoint now);

  bool empty() const { return kept_.empty(); }
  size_t size() const { return kept_.size(); }

  std::set<std::string> nestedRoutes;  ///< routes whose calls are made by the local back end

 private:
  std::map<Key, KeptReservation> kept_;
};

}  // namespace driftlug::node
