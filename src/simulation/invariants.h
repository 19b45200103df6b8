/// What must always hold, checked against the truth after every event that could break it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "node/slice_store.h"
#include "table/slice.h"

namespace driftlug::simulation {

/// The guarantees of the product, by the numbers that the documents use.
enum class Guarantee : int {
  kMonotonicVersion = 1,
  kReferencesPresent = 2,
  kConsistentVersion = 3,
  kCompleteAnswer = 4,
  kNotRunIsAccurate = 5,
  kAtMostOnce = 6,
  kDrainingGetsNoCalls = 7,
  kShutdownDropsNothing = 8,
  kAcceptedIsDurable = 9,
};

/// One broken guarantee.
struct Violation {
  Guarantee guarantee;
  base::TimePoint at;
  std::string sentence;
};

/// One edit that took effect.
struct CommittedEdit {
  std::string requestId;
  int64_t revision = 0;
  base::TimePoint committedAt{};  ///< when the first controller applied it, which is when its answer leaves
  base::TimePoint inForceAt{};    ///< when the last serving node had it; unset until then
  bool inForce = false;
  std::set<std::string> lagging;  ///< serving nodes that need it and run an older version
};

/// Keeps the truth, which is the sequence of committed entries, and compares every controller and node with it.
class InvariantChecker {
 public:
  explicit InvariantChecker(const base::TimeSource& time);

  /// Begins to keep the history of an interest, so that versions of any later revision can be compared.
  void watch(const table::Interest& interest) { historyOf(interest); }

  /// A controller applied a committed entry.
  void onApplied(const std::string& controller, const wire::LogEntry& entry, const table::Table& result);

  /// A node activated a version.
  void onActivated(const std::string& node, const table::Interest& interest, const node::SliceStore& slices);

  /// Called whenever an edit took effect for the first time.
  void onCommit(std::function<void()> hook) { commitHook_ = std::move(hook); }

  /// An operator was told the outcome of an edit.
  void onOutcome(const std::string& requestId, const wire::EditOutcome& outcome);

  /// A node stopped to serve; its next version must still not be older.
  void onNodeDown(const std::string& node);

  /// A controller says that a revision is in force everywhere.
  /// @param excused nodes that were cut off, frozen or restarted a short time ago
  void onConvergenceReported(int64_t revision, const std::set<std::string>& exempt);

  /// At the end of a run, after all faults were healed.
  void checkEnd(const std::map<std::string, const table::Table*>& controllers,
                const std::map<std::string, const node::SliceStore*>& nodes);

  /// Reports a broken guarantee.
  void reportViolation(Guarantee guarantee, std::string sentence);

  /// Leaves out the checks whose cost grows with the square of the cluster; convergence is still measured.
  void measureOnly() { measureOnly_ = true; }

  const std::vector<Violation>& violations() const { return violations_; }
  const std::map<std::string, CommittedEdit>& committed() const { return committed_; }
  const table::Table& table() const { return committedTable_; }

 private:
  struct SliceHistory {
    std::unique_ptr<table::Slice> slice;
    std::map<int64_t, table::Digest> digests;  // by the revision from which it was valid
    std::set<std::string> nodes;               // that serve a version of it now
  };

  struct Effect {
    int64_t revision;
    base::TimePoint at;
  };

  struct Serving {
    SliceHistory* history = nullptr;
    int64_t revision = 0;  // of the version in force
  };

  SliceHistory& historyOf(const table::Interest& interest);
  void applyEdit(const wire::LogEntry& entry);
  void updateLagging(const std::string& node, const Serving* serving);
  void finishConverged();

  const base::TimeSource& time_;
  table::Table committedTable_;
  int64_t appliedIndex_ = 0;
  std::map<int64_t, uint64_t> entryHashes_;
  std::map<int64_t, table::Digest> tableDigests_;  // after each edit, by its log index
  std::map<std::string, Effect> effects_;          // by request id
  std::map<table::Interest, SliceHistory> slices_;
  std::map<std::string, int64_t> newestActivated_;  // by node, across its restarts
  std::map<std::string, Serving> serving_;          // nodes with an active version now
  std::map<std::string, CommittedEdit> committed_;  // by request id
  std::vector<std::string> converging_;             // committed, not yet in force everywhere
  bool measureOnly_ = false;
  std::vector<Violation> violations_;
  std::function<void()> commitHook_;  // may be empty
};

}  // namespace driftlug::simulation
