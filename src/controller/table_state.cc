#include "controller/table_state.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_set>

#include "base/error.h"
#include "table/row_change.h"
#include "wire/bulk_frames.h"

namespace driftlug::controller {
namespace {

using base::ErrorCode;

constexpr int64_t kAnyRevision = -1;

wire::EditProblem toWire(const table::Problem& problem) {
  wire::EditProblem out;
  out.key = problem.row;
  out.field = problem.field;
  out.problem = std::string(table::problemName(problem.kind));
  out.message = problem.message;
  return out;
}

size_t detailsOf(const wire::EditOutcome& outcome) { return outcome.currentRows.size() + outcome.problems.size(); }

bool isAccepted(const wire::EditOutcome& outcome) { return outcome.code == static_cast<int>(ErrorCode::kNone); }

}  // namespace

const std::string& operatorRequestId(const wire::EditCommand& edit) {
  return edit.__isset.retryOf ? edit.retryOf : edit.requestId;
}

int64_t fingerprintOf(const wire::EditCommand& edit) {
  const auto bytes = wire::encodeMutations(edit.mutations);
  return static_cast<int64_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

const wire::EditOutcome* TableState::findOutcome(const std::string& requestId) const {
  const auto* displaced = displacedOutcomes_.find(requestId);
  return displaced != nullptr ? displaced : window_.find(requestId);
}

const wire::EditOutcome& TableState::apply(int64_t index, const wire::EditCommand& edit, table::ChangedRows* rows) {
  if (const auto* known = window_.find(edit.requestId); known != nullptr && checks_.resends) return *known;
  wire::EditOutcome outcome;
  outcome.requestId = edit.requestId;
  outcome.revision = index;
  outcome.fingerprint = fingerprintOf(edit);
  *rows = decide(index, edit, &outcome);
  if (isAccepted(outcome) && edit.__isset.retryOf) {
    auto retried = outcome;
    retried.requestId = edit.retryOf;
    displacedOutcomes_.push(std::move(retried));
  }
  addToWindow(std::move(outcome));
  dropOldOutcomes();
  return window_.all().back();
}

table::ChangedRows TableState::decide(int64_t index, const wire::EditCommand& edit, wire::EditOutcome* outcome) {
  if (edit.baseRevision < windowFloor_) {
    outcome->code = static_cast<int>(ErrorCode::kRequestIdExpired);
    return {};
  }
  if (checks_.revisions && findConflicts(edit, outcome)) {
    outcome->code = static_cast<int>(ErrorCode::kRevisionConflict);
    return {};
  }
  table::RowChange change(&table_);
  for (const auto& mutation : edit.mutations) change.put(table::storeRow(mutation.row, index));
  const auto problems = table::checkEdit(table_, change.rows().changed);
  for (const auto& problem : problems) outcome->problems.push_back(toWire(problem));
  if (checks_.rows && !outcome->problems.empty()) {
    outcome->code = static_cast<int>(ErrorCode::kInvalidEdit);
    return {};
  }
  auto rows = change.commit();
  table_.trimTombstones();
  recordHistory(index, edit);
  return rows;
}

bool TableState::findConflicts(const wire::EditCommand& edit, wire::EditOutcome* outcome) const {
  bool conflict = false;
  std::unordered_set<wire::RowKey, table::RowKeyHash> seen;
  seen.reserve(edit.mutations.size());
  for (const auto& mutation : edit.mutations) {
    const bool duplicate = !seen.insert(mutation.row.key).second;
    const auto live = table_.find(mutation.row.key);
    const int64_t current = live ? live->revision : 0;
    const bool rowMissing = mutation.row.deleted && !live;
    const bool matches = mutation.expectedRevision == kAnyRevision || mutation.expectedRevision == current;
    if (matches && !rowMissing && !duplicate) continue;
    conflict = true;
    if (live) {
      outcome->currentRows.push_back(*live);
    } else {
      wire::Row absent;
      absent.key = mutation.row.key;
      absent.revision = table_.rowRevision(mutation.row.key);
      absent.deleted = true;
      outcome->currentRows.push_back(absent);
    }
  }
  return conflict;
}

void TableState::addToWindow(wire::EditOutcome outcome) {
  windowDetails_ += detailsOf(outcome);
  if (isAccepted(outcome)) ++windowAccepted_;
  window_.push(std::move(outcome));
}

void TableState::dropOldOutcomes() {
  while (window_.size() > kOutcomeWindow || (windowDetails_ > kMaxOutcomeDetails && window_.size() > 1)) {
    const auto& oldest = window_.all().front();
    windowFloor_ = oldest.revision;
    windowDetails_ -= detailsOf(oldest);
    if (isAccepted(oldest)) {
      --windowAccepted_;
      displacedOutcomes_.push(oldest);
    }
    window_.popOldest();
  }
  while (displacedOutcomes_.size() > 0 && displacedOutcomes_.size() + windowAccepted_ > kOutcomeWindow) {
    displacedOutcomes_.popOldest();
  }
}

void TableState::recordHistory(int64_t index, const wire::EditCommand& edit) {
  wire::HistoryRecord record;
  record.revision = index;
  record.requestId = operatorRequestId(edit);
  record.author = edit.author;
  for (const auto& mutation : edit.mutations) record.keys.push_back(mutation.row.key);
  historyKeys_ += record.keys.size();
  history_.push_back(std::move(record));
  dropOldHistory();
}

void TableState::dropOldHistory() {
  while (history_.size() > kHistoryLength || (historyKeys_ > kMaxHistoryKeys && history_.size() > 1)) {
    historyKeys_ -= history_.front().keys.size();
    history_.pop_front();
  }
}

void TableState::applyRelay(const wire::RelayRecord& record) {
  if (record.removed) {
    relays_.erase(record.id);
  } else {
    relays_[record.id] = record;
  }
}

wire::TableSnapshot TableState::takeSnapshot() const {
  wire::TableSnapshot snapshot;
  for (const auto& [id, record] : relays_) snapshot.relays.push_back(record);
  for (const auto& [key, row] : table_.rows()) snapshot.rows.push_back(*row);
  for (const auto& [key, row] : table_.tombstones()) snapshot.rows.push_back(*row);
  snapshot.outcomes.assign(window_.all().begin(), window_.all().end());
  snapshot.displacedOutcomes.assign(displacedOutcomes_.all().begin(), displacedOutcomes_.all().end());
  snapshot.history.assign(history_.begin(), history_.end());
  snapshot.tableRevision = table_.revision();
  snapshot.historyFloor = windowFloor_;
  snapshot.horizon = table_.horizon();
  return snapshot;
}

void TableState::restore(const wire::TableSnapshot& snapshot) {
  *this = TableState(checks_);
  for (const auto& row : snapshot.rows) table_.put(table::storeRow(row));
  table_.advanceTo(snapshot.tableRevision);
  table_.setHorizon(snapshot.horizon);
  for (const auto& outcome : snapshot.outcomes) addToWindow(outcome);
  for (const auto& outcome : snapshot.displacedOutcomes) displacedOutcomes_.push(outcome);
  history_.assign(snapshot.history.begin(), snapshot.history.end());
  for (const auto& record : history_) historyKeys_ += record.keys.size();
  restoreOutcomesFromHistory();
  windowFloor_ = snapshot.historyFloor;
  for (const auto& record : snapshot.relays) relays_[record.id] = record;
}

/// Snapshots of older builds lack the accepted edits that rejected ones displaced from the window. A resend of these
/// must not be decided as a new edit.
void TableState::restoreOutcomesFromHistory() {
  for (const auto& record : history_) {
    const auto* known = findOutcome(record.requestId);
    if (known != nullptr && isAccepted(*known)) continue;
    wire::EditOutcome outcome;
    outcome.requestId = record.requestId;
    outcome.revision = record.revision;
    outcome.fingerprint = kUnknownFingerprint;
    displacedOutcomes_.push(std::move(outcome));
  }
}

}  // namespace driftlug::controller
