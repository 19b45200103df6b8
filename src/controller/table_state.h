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

/// Edits whose outcomes are remembered; an edit based on an older revision is refused.
constexpr size_t kOutcomeWindow = 10'000;
/// Rows and problems that they may tell of together.
constexpr size_t kMaxOutcomeDetails = 100'000;
/// Accepted edits that history shows.
constexpr size_t kHistoryLength = 10'000;
/// Keys of rows that they may name together.
constexpr size_t kMaxHistoryKeys = 100'000;

/// Applies committed edits; equal on every controller after equal entries.
///
/// Invariants: an edit is applied whole or not at all; a request id has one outcome inside the window; the
/// table's revision is the index of the last accepted edit.
class TableState {
 public:
  /// Parts of the decision that the simulator can switch off, to prove that a checker notices.
  struct Checks {
    bool rows = true;       ///< refuse edits that leave the table invalid
    bool revisions = true;  ///< refuse edits whose expected revision is not the row's
    bool resends = true;    ///< give a resent edit its first outcome
  };

  explicit TableState(const Checks& checks) : checks_(checks) {}
  TableState() = default;

  /// Applies the edit of one log entry.
  /// @param index the entry's log index, which becomes the revision of changed rows
  /// @param rows set to the rows that changed, none when the edit was refused
  const wire::EditOutcome& apply(int64_t index, const wire::EditCommand& edit, table::ChangedRows* rows);

  /// Registers or removes a relay.
  void applyRelay(const wire::RelayRecord& record);

  /// @return all registered relays, by id.
  const std::map<std::string, wire::RelayRecord>& relays() const { return relays_; }

  /// @return the remembered outcome of a request id, or null.
  const wire::EditOutcome* findOutcome(const std::string& requestId) const;

  /// @return lowest base revision that an edit may name.
  int64_t windowFloor() const { return windowFloor_; }

  const table::Table& table() const { return table_; }
  const std::deque<wire::HistoryRecord>& history() const { return history_; }

  /// @return the whole state.
  wire::TableSnapshot takeSnapshot() const;

  /// Replaces the state.
  void restore(const wire::TableSnapshot& snapshot);

 private:
  table::ChangedRows decide(int64_t index, const wire::EditCommand& edit, wire::EditOutcome* outcome);
  bool findConflicts(const wire::EditCommand& edit, wire::EditOutcome* outcome) const;
  void remember(wire::EditOutcome outcome);
  void dropOldOutcomes();
  void recordHistory(int64_t index, const wire::EditCommand& edit);
  void dropOldHistory();

  Checks checks_;
  table::Table table_;
  std::deque<wire::EditOutcome> outcomes_;                     // oldest first, kOutcomeWindow at most
  std::unordered_map<std::string, int64_t> outcomeByRequest_;  // position in outcomes_ plus dropped_
  size_t outcomeDetails_ = 0;                                  // of outcomes_
  int64_t droppedOutcomes_ = 0;                                // outcomes dropped at the front
  int64_t windowFloor_ = 0;
  std::deque<wire::HistoryRecord> history_;
  size_t historyKeys_ = 0;                           // of history_
  std::map<std::string, wire::RelayRecord> relays_;  // by id
};

/// @return a hash over what an edit changes, to notice a request id that is used for another edit.
int64_t fingerprintOf(const wire::EditCommand& edit);

}  // namespace driftlug::controller
