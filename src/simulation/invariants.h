/// Checks the product's guarantees against the committed entries after every event that could violate them.
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

/// Guarantees of the product; the values are their numbers in the documentation.
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

/// A violation of a guarantee.
struct Violation {
  Guarantee guarantee;
  base::TimePoint at;
  std::string message;
};

/// A committed edit that was accepted.
struct CommittedEdit {
  std::string requestId;
  int64_t revision = 0;
  base::TimePoint committedAt{};  ///< when the first controller applied it and its answer is sent
  base::TimePoint inForceAt{};    ///< when the last serving node activated it; unset until then
  bool inForce = false;
  std::set<std::string> lagging;  ///< serving nodes that need it and run an older version
};

/// Records the sequence of committed entries and compares every controller and node with it.
class InvariantChecker {
 public:
  explicit InvariantChecker(const base::TimeSource& time);

  /// Starts to record the history of an interest so that versions of any later revision can be compared.
  void watch(const table::Interest& interest) { historyOf(interest); }

  /// Called when a controller has applied a committed entry.
  void onApplied(const std::string& controller, const wire::LogEntry& entry, const table::Table& result);

  /// Called when a node has activated a version.
  void onActivated(const std::string& node, const table::Interest& interest, const node::SliceStore& slices);

  /// Sets a hook that is called for each edit that takes effect.
  void onCommit(std::function<void()> hook) { commitHook_ = std::move(hook); }

  /// Called when an operator receives the outcome of an edit.
  void onOutcome(const std::string& requestId, const wire::EditOutcome& outcome);

  /// Called when a node stops serving; its next version must not be older than its last one.
  void onNodeDown(const std::string& node);

  /// Called when a controller reports that a revision is in force on all nodes.
  /// @param exempt nodes that were recently partitioned, frozen or restarted
  void onConvergenceReported(int64_t revision, const std::set<std::string>& exempt);

  /// Checks that everything has converged; called at the end of a run, after all faults have healed.
  void checkEnd(const std::map<std::string, const table::Table*>& controllers,
                const std::map<std::string, const node::SliceStore*>& nodes);

  /// Records a violation of a guarantee.
  void reportViolation(Guarantee guarantee, std::string message);

  /// Skips the checks whose cost grows with the square of the cluster size; convergence is still measured.
  void measureOnly() { measureOnly_ = true; }

  const std::vector<Violation>& violations() const { return violations_; }
  const std::map<std::string, CommittedEdit>& committed() const { return committed_; }
  const table::Table& table() const { return committedTable_; }

 private:
  struct SliceHistory {
    std::unique_ptr<table::Slice> slice;
    std::map<int64_t, table::Digest> digests;  // by the first revision that they are valid for
    std::set<std::string> nodes;               // that currently serve a version of it
  };

  struct Effect {
    int64_t revision;
    base::TimePoint at;
  };

  struct Serving {
    SliceHistory* history = nullptr;
    int64_t revision = 0;  // of the active version
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
  std::map<std::string, Serving> serving_;          // nodes that currently have an active version
  std::map<std::string, CommittedEdit> committed_;  // by request id
  std::vector<std::string> converging_;             // committed, not yet in force everywhere
  bool measureOnly_ = false;
  std::vector<Violation> violations_;
  std::function<void()> commitHook_;  // may be empty
};

}  // namespace driftlug::simulation
