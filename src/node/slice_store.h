/// A node's slice of the table, and the rules by which a new version replaces it.
#pragma once

#include <vector>

#include "routing/routing_table.h"
#include "table/table.h"

namespace driftlug::node {

/// Result of taking an update.
enum class SliceResult {
  kActivated,
  kUnchanged,  ///< the same rows under a newer revision
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

/// Invariants: the revision never decreases; a version is active whole or not at all; every reference of an
/// active version is inside it.
class SliceStore {
 public:
  /// Verifies an update and takes its rows in; where it is refused, the rows are as before.
  /// @param next set to the version to activate, with kActivated and kUnchanged; nothing else may be prepared before
  /// that
  SliceResult prepare(wire::SliceUpdate update, SliceVersion* next);

  /// Replaces the active version in one step.
  void activate(SliceVersion next) { version_ = std::move(next); }

  /// prepare() and activate() in one.
  SliceResult apply(wire::SliceUpdate update);

  /// @return the active version, null before the first one; callers keep it as long as they need it.
  routing::RoutingTablePtr active() const { return version_.routing; }

  int64_t revision() const { return version_.revision; }

  /// @return digest of the active version's rows.
  const table::Digest& digest() const { return version_.digest; }

  /// @return the rows of the version that was prepared last.
  const table::Table& rows() const { return rows_; }

  /// Parts of the verification that the simulator can switch off, to prove that a checker notices.
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
