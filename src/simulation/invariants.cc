#include "simulation/invariants.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>

#include "base/error.h"
#include "controller/table_state.h"
#include "table/validator.h"
#include "wire/frame.h"

namespace driftlug::simulation {
namespace {

constexpr size_t kMaxViolations = 20;

uint64_t hashOf(const wire::LogEntry& entry) {
  const auto bytes = wire::encodeStruct(entry);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

InvariantChecker::InvariantChecker(const base::TimeSource& time) : time_(time) {}

void InvariantChecker::reportViolation(Guarantee guarantee, std::string message) {
  if (violations_.size() < kMaxViolations) violations_.push_back({guarantee, time_.now(), std::move(message)});
}

InvariantChecker::SliceHistory& InvariantChecker::historyOf(const table::Interest& interest) {
  auto& history = slices_[interest];
  if (history.slice) return history;
  history.slice = std::make_unique<table::Slice>(interest, committedTable_);
  history.digests[committedTable_.revision()] = history.slice->digest();
  return history;
}

void InvariantChecker::onApplied(const std::string& controller, const wire::LogEntry& entry,
                                 const table::Table& result) {
  const auto hash = hashOf(entry);
  const auto known = entryHashes_.find(entry.index);
  if (known == entryHashes_.end()) {
    entryHashes_[entry.index] = hash;
    appliedIndex_ = std::max(appliedIndex_, entry.index);
    if (entry.kind != wire::EntryKind::EDIT) return;
    if (result.revision() == entry.index) applyEdit(entry);
    tableDigests_[entry.index] = committedTable_.digest();
  } else if (known->second != hash) {
    reportViolation(Guarantee::kAcceptedIsDurable,
                    absl::StrFormat("%s applied an entry at index %d that differs from the committed one", controller,
                                    entry.index));
    return;
  }
  const auto digest = tableDigests_.find(entry.index);
  if (digest != tableDigests_.end() && !(digest->second == result.digest())) {
    reportViolation(
        Guarantee::kConsistentVersion,
        absl::StrFormat("the table of %s differs from the committed table at revision %d", controller, entry.index));
  }
}

void InvariantChecker::applyEdit(const wire::LogEntry& entry) {
  const auto& requestId = controller::operatorRequestId(entry.edit);
  const auto [effect, first] = effects_.emplace(requestId, Effect{entry.index, time_.now()});
  if (!first) {
    reportViolation(Guarantee::kAcceptedIsDurable, absl::StrFormat("edit %s took effect at revisions %d and %d",
                                                                   requestId, effect->second.revision, entry.index));
  }
  std::vector<table::RowPtr> changed;
  for (const auto& mutation : entry.edit.mutations) {
    const auto live = committedTable_.find(mutation.row.key);
    const int64_t current = live ? live->revision : 0;
    if (mutation.expectedRevision >= 0 && mutation.expectedRevision != current) {
      reportViolation(Guarantee::kAcceptedIsDurable,
                      absl::StrFormat("edit %s expected %s at revision %d and replaced revision %d", requestId,
                                      table::keyText(mutation.row.key), mutation.expectedRevision, current));
    }
  }
  for (const auto& mutation : entry.edit.mutations) {
    changed.push_back(table::storeRow(mutation.row, entry.index));
    committedTable_.put(changed.back());
  }
  auto& edit = committed_[requestId];
  edit = {requestId, entry.index, time_.now(), {}, false, {}};
  for (auto& [interest, history] : slices_) {
    if (!history.slice->refresh(committedTable_)) continue;
    history.digests[entry.index] = history.slice->digest();
    edit.lagging.insert(history.nodes.begin(), history.nodes.end());
  }
  const auto problems = table::checkEdit(committedTable_, changed);
  if (!problems.empty()) {
    reportViolation(Guarantee::kReferencesPresent,
                    absl::StrFormat("revision %d leaves an invalid row %s: %s", entry.index,
                                    table::keyText(problems.front().row), problems.front().message));
  }
  converging_.push_back(requestId);
  finishConverged();
  if (commitHook_) commitHook_();
}

void InvariantChecker::onActivated(const std::string& node, const table::Interest& interest,
                                   const node::SliceStore& slices) {
  const auto revision = slices.revision();
  auto& newest = newestActivated_[node];
  if (revision < newest) {
    reportViolation(Guarantee::kMonotonicVersion,
                    absl::StrFormat("%s went from revision %d back to %d", node, newest, revision));
  }
  newest = std::max(newest, revision);
  auto& history = historyOf(interest);
  const auto later = history.digests.upper_bound(revision);
  const bool unknown = later == history.digests.begin();
  if (!unknown && !(std::prev(later)->second == slices.rows().digest())) {
    reportViolation(Guarantee::kConsistentVersion,
                    absl::StrFormat("%s runs rows that revision %d does not have", node, revision));
  }
  for (const auto& [key, row] : slices.rows().rows()) {
    if (measureOnly_) break;
    std::vector<table::Problem> problems;
    table::checkReferences(*row, slices.rows(), &problems);
    if (problems.empty()) continue;
    reportViolation(Guarantee::kReferencesPresent, absl::StrFormat("%s at revision %d, %s: %s", node, revision,
                                                                   table::keyText(key), problems.front().message));
    break;
  }
  auto& serving = serving_[node];
  serving = {&history, revision};
  history.nodes.insert(node);
  updateLagging(node, &serving);
}

void InvariantChecker::onOutcome(const std::string& requestId, const wire::EditOutcome& outcome) {
  if (outcome.code != static_cast<int>(base::ErrorCode::kNone)) return;
  const auto effect = effects_.find(requestId);
  if (effect == effects_.end() || effect->second.revision != outcome.revision) {
    reportViolation(Guarantee::kAcceptedIsDurable,
                    absl::StrFormat("edit %s was answered as accepted at revision %d but is not committed there",
                                    requestId, outcome.revision));
    return;
  }
}

void InvariantChecker::onNodeDown(const std::string& node) {
  const auto serving = serving_.find(node);
  if (serving == serving_.end()) return;
  serving->second.history->nodes.erase(node);
  serving_.erase(serving);
  updateLagging(node, nullptr);
}

void InvariantChecker::updateLagging(const std::string& node, const Serving* serving) {
  for (const auto& requestId : converging_) {
    auto& edit = committed_[requestId];
    // A node can only lag behind edits that changed its slice.
    const bool needs = serving != nullptr && serving->history->digests.count(edit.revision) > 0;
    if (needs && serving->revision < edit.revision) {
      edit.lagging.insert(node);
    } else {
      edit.lagging.erase(node);
    }
  }
  finishConverged();
}

void InvariantChecker::finishConverged() {
  std::erase_if(converging_, [this](const auto& requestId) {
    auto& edit = committed_[requestId];
    if (!edit.lagging.empty()) return false;
    edit.inForce = true;
    edit.inForceAt = time_.now();
    return true;
  });
}

void InvariantChecker::onConvergenceReported(int64_t revision, const std::set<std::string>& exempt) {
  for (const auto& [node, serving] : serving_) {
    const auto& digests = serving.history->digests;
    const auto needed = digests.upper_bound(revision);
    const bool current = needed == digests.begin() || serving.revision >= std::prev(needed)->first;
    if (current || exempt.count(node) > 0) continue;
    reportViolation(
        Guarantee::kAcceptedIsDurable,
        absl::StrFormat("revision %d was reported as in force on all nodes while %s ran revision %d, not %d", revision,
                        node, serving.revision, std::prev(needed)->first));
  }
}

void InvariantChecker::checkEnd(const std::map<std::string, const table::Table*>& controllers,
                                const std::map<std::string, const node::SliceStore*>& nodes) {
  for (const auto& [name, table] : controllers) {
    if (table->digest() == committedTable_.digest()) continue;
    reportViolation(
        Guarantee::kAcceptedIsDurable,
        absl::StrFormat("%s ends at revision %d with a table that differs from the committed table at revision %d",
                        name, table->revision(), committedTable_.revision()));
  }
  for (const auto& [name, slices] : nodes) {
    const auto serving = serving_.find(name);
    if (serving == serving_.end()) {
      reportViolation(Guarantee::kAcceptedIsDurable, absl::StrFormat("%s ends without an active version", name));
    } else if (!(slices->rows().digest() == serving->second.history->slice->digest())) {
      reportViolation(Guarantee::kAcceptedIsDurable,
                      absl::StrFormat("%s ends at revision %d, behind the committed table", name, slices->revision()));
    }
  }
}

}  // namespace driftlug::simulation
