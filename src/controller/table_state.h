/// The replicated state machine: the table, the outcomes of recent edits, and the history.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "controller/outcome_log.h"
#include "table/row_change.h"
#include "table/table.h"
#include "table/validator.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

/// Maximum number of edit outcomes kept; an edit whose base revision precedes this window is rejected. All controllers
/// must have the same window: with different ones, controllers of two builds would decide the same edit differently.
constexpr size_t kOutcomeWindow = 10'000;
/// Maximum total number of rows and problems in the window.
constexpr size_t kMaxOutcomeDetails = 100'000;
/// Maximum number of accepted edits kept in the history.
constexpr size_t kHistoryLength = 10'000;
/// Maximum total number of row keys in the history.
constexpr size_t kMaxHistoryKeys = 100'000;

/// Applies committed edits. Deterministic: all controllers have the same state after the same entries.
///
/// Invariants: an edit is applied completely or not at all; a request id has one outcome inside the window; the
/// table's revision is the log index of the last accepted edit; the outcomes of the last kOutcomeWindow accepted edits
/// are known, however many edits were rejected since.
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

  /// @return the known outcome of an operator's request id, or null. An edit that is known to be accepted may have left
  /// the window.
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
  void addToWindow(wire::EditOutcome outcome);
  void dropOldOutcomes();
  void recordHistory(int64_t index, const wire::EditCommand& edit);
  void dropOldHistory();
  void restoreOutcomesFromHistory();

  Checks checks_;
  table::Table table_;
  OutcomeLog window_;             // outcomes of the last edits, at most kOutcomeWindow
  size_t windowDetails_ = 0;      // number of rows and problems in window_
  size_t windowAccepted_ = 0;     // number of accepted edits in window_
  int64_t windowFloor_ = 0;       // log index of the last outcome dropped from window_
  OutcomeLog displacedOutcomes_;  // of accepted edits that window_ does not hold under the operator's request id
  std::deque<wire::HistoryRecord> history_;
  size_t historyKeys_ = 0;                           // of history_
  std::map<std::string, wire::RelayRecord> relays_;  // by id
};

/// @return the request id that the operator gave to an edit.
const std::string& operatorRequestId(const wire::EditCommand& edit);

/// Fingerprint of an accepted edit of which only the history is known.
constexpr int64_t kUnknownFingerprint = 0;

/// @return a hash of the edit's mutations, used to detect a request id that is reused for another edit.
int64_t fingerprintOf(const wire::EditCommand& edit);

}  // namespace driftlug::controller
