/// The replicated state machine: the table, the outcomes of recent edits, and the history.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "table/row_change.h"
#include "table/table.h"
#include "table/validator.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

/// Maximum number of edit outcomes kept; an edit whose base revision precedes this window is rejected.
constexpr size_t kOutcomeWindow = 10'000;
/// Maximum total number of rows and problems in the kept outcomes.
constexpr size_t kMaxOutcomeDetails = 100'000;
/// Maximum number of accepted edits kept in the history.
constexpr size_t kHistoryLength = 10'000;
/// Maximum total number of row keys in the history.
constexpr size_t kMaxHistoryKeys = 100'000;

/// Applies committed edits. Deterministic: all controllers have the same state after the same entries.
///
/// Invariants: an edit is applied completely or not at all; a request id has one outcome inside the window; the
/// table's revision is the log index of the last accepted edit.
class TableState {
 public:
  /// Checks that the simulator can disable to verify that its invariant checkers detect the fault.
  struct Checks {
    bool rows = true;       ///< reject edits that would make the table invalid
    bool revisions = true;  ///< reject edits whose expected revision differs from the row's
    bool resends = true;    ///< return the first outcome for a resent edit
  };

  explicit TableState(const Checks& checks) : checks_(checks) {}
  TableState() = default;

  /// Applies the edit of one log entry.
  /// @param index the entry's log index, which becomes the revision of changed rows
  /// @param rows set to the changed rows; empty if the edit was rejected
  const wire::EditOutcome& apply(int64_t index, const wire::EditCommand& edit, table::ChangedRows* rows);

  /// Registers or removes a relay.
  void applyRelay(const wire::RelayRecord& record);

  /// @return all registered relays, by id.
  const std::map<std::string, wire::RelayRecord>& relays() const { return relays_; }

  /// @return the kept outcome of a request id, or null.
  const wire::EditOutcome* findOutcome(const std::string& requestId) const;

  /// @return the lowest base revision that an edit may have.
  int64_t windowFloor() const { return windowFloor_; }

  const table::Table& table() const { return table_; }
  const std::deque<wire::HistoryRecord>& history() const { return history_; }

  /// @return a snapshot of the whole state.
  wire::TableSnapshot takeSnapshot() const;

  /// Replaces the state with a snapshot.
  void restore(const wire::TableSnapshot& snapshot);

 private:
  table::ChangedRows decide(int64_t index, const wire::EditCommand& edit, wire::EditOutcome* outcome);
  bool findConflicts(const wire::EditCommand& edit, wire::EditOutcome* outcome) const;
  void storeOutcome(wire::EditOutcome outcome);
  void dropOldOutcomes();
  void recordHistory(int64_t index, const wire::EditCommand& edit);
  void dropOldHistory();

  Checks checks_;
  table::Table table_;
  std::deque<wire::EditOutcome> outcomes_;                     // oldest first, at most kOutcomeWindow
  std::unordered_map<std::string, int64_t> outcomeByRequest_;  // position in outcomes_ plus droppedOutcomes_
  size_t outcomeDetails_ = 0;                                  // of outcomes_
  int64_t droppedOutcomes_ = 0;                                // number of outcomes dropped from the front
  int64_t windowFloor_ = 0;
  std::deque<wire::HistoryRecord> history_;
  size_t historyKeys_ = 0;                           // of history_
  std::map<std::string, wire::RelayRecord> relays_;  // by id
};

/// @return a hash of the edit's mutations, used to detect a request id that is reused for another edit.
int64_t fingerprintOf(const wire::EditCommand& edit);

}  // namespace driftlug::controller
