/// A node's slice of the table, and the checks before a new version replaces it.
#pragma once

#include <vector>

#include "routing/routing_table.h"
#include "table/table.h"

namespace driftlug::node {

/// Result of verifying an update.
enum class SliceResult {
  kActivated,
  kUnchanged,  ///< same rows under a newer revision
  kOlder,
  kBaseMismatch,
  kDigestMismatch,
  kDanglingReference,
};

/// A verified version of the slice.
struct SliceVersion {
  int64_t revision = 0;
  table::Digest digest;
  routing::RoutingTablePtr routing;  ///< null before the first version
};

/// Invariants: the revision never decreases; versions are activated atomically; every reference of an active version
/// resolves within it.
class SliceStore {
 public:
  /// Verifies an update and applies its rows; a rejected update leaves the rows unchanged.
  /// @param next set to the version to activate if the result is kActivated or kUnchanged; it must be activated before
  /// another update is prepared
  SliceResult prepare(wire::SliceUpdate update, SliceVersion* next);

  /// Replaces the active version atomically.
  void activate(SliceVersion next) { version_ = std::move(next); }

  /// Combines prepare() and activate().
  SliceResult apply(wire::SliceUpdate update);

  /// @return the active version, null before the first one; callers keep it as long as they need it.
  routing::RoutingTablePtr active() const { return version_.routing; }

  int64_t revision() const { return version_.revision; }

  /// @return digest of the active version's rows.
  const table::Digest& digest() const { return version_.digest; }

  /// @return the rows of the version that was prepared last.
  const table::Table& rows() const { return rows_; }

  /// Checks that the simulator can disable, to prove that its invariant checkers detect the fault.
  struct Checks {
    bool neverOlder = true;
    bool digest = true;
    bool references = true;
  };
  void setChecks(const Checks& checks) { checks_ = checks; }

 private:
  SliceResult prepareFull(wire::SliceUpdate* update, SliceVersion* next);
  SliceResult prepareDelta(wire::SliceUpdate* update, SliceVersion* next);

  SliceVersion version_;
  table::Table rows_;
  Checks checks_;
};

}  // namespace driftlug::node
