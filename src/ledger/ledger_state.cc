#include "ledger/ledger_state.h"

#include <algorithm>

namespace driftlug::ledger {

using wire::LedgerAction;
using wire::LedgerVerdict;

size_t LedgerState::bytesOf(const wire::LedgerRecord& record) {
  constexpr size_t kRecordOverhead = 200;
  size_t bytes = kRecordOverhead + 2 * record.key.size() + record.owner.size() + record.answer.body.size();
  for (const auto& header : record.answer.headers) bytes += header.name.size() + header.value.size();
  return bytes;
}

const wire::LedgerRecord* LedgerState::find(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

LedgerOutcome LedgerState::apply(const wire::LedgerCommand& command) {
  // The clocks of successive leaders may differ; the ledger's time never goes backwards.
  nowMs_ = std::max(nowMs_, command.timestampMs);
  expire();
  switch (command.action) {
    case LedgerAction::CLAIM:
      return claim(command);
    case LedgerAction::COMPLETE:
      return complete(command);
    case LedgerAction::RELEASE:
      return release(command);
  }
  return {};
}

LedgerOutcome LedgerState::claim(const wire::LedgerCommand& command) {
  const auto found = records_.find(command.key);
  if (found != records_.end()) {
    const auto& record = found->second;
    if (record.fingerprint != command.fingerprint) return {LedgerVerdict::MISMATCH, nullptr};
    if (record.completed) return {LedgerVerdict::COMPLETED, &record.answer};
    // The owner repeats its claim after a lost reply.
    const bool isOwner = record.owner == command.owner;
    return {isOwner ? LedgerVerdict::GRANTED : LedgerVerdict::CLAIMED, nullptr};
  }
  wire::LedgerRecord record;
  record.key = command.key;
  record.fingerprint = command.fingerprint;
  record.owner = command.owner;
  record.claimedAtMs = nowMs_;
  if (bytes_ + bytesOf(record) > kMaxLedgerBytes) return {LedgerVerdict::UNAVAILABLE, nullptr};
  bytes_ += bytesOf(record);
  claimOrder_.emplace_back(nowMs_, command.key);
  records_[command.key] = std::move(record);
  return {LedgerVerdict::GRANTED, nullptr};
}

LedgerOutcome LedgerState::complete(const wire::LedgerCommand& command) {
  const auto found = records_.find(command.key);
  if (found == records_.end() || found->second.owner != command.owner) return {LedgerVerdict::MISMATCH, nullptr};
  auto& record = found->second;
  if (record.completed) return {LedgerVerdict::COMPLETED, &record.answer};
  bytes_ -= bytesOf(record);
  record.completed = true;
  record.__set_answer(command.answer);
  bytes_ += bytesOf(record);
  if (record.answer.body.size() > kMaxStoredAnswerBytes) dropAnswer(&record);
  return {LedgerVerdict::COMPLETED, &record.answer};
}

LedgerOutcome LedgerState::release(const wire::LedgerCommand& command) {
  const auto found = records_.find(command.key);
  const bool releasable = found != records_.end() && found->second.owner == command.owner && !found->second.completed;
  if (!releasable) return {LedgerVerdict::MISMATCH, nullptr};
  bytes_ -= bytesOf(found->second);
  records_.erase(found);
  return {LedgerVerdict::GRANTED, nullptr};
}

wire::LedgerRecord* LedgerState::recordAt(const ClaimOrderEntry& entry) {
  const auto found = records_.find(entry.second);
  // A key that was released and claimed again has a newer entry; this one is outdated.
  const bool isCurrent = found != records_.end() && found->second.claimedAtMs == entry.first;
  return isCurrent ? &found->second : nullptr;
}

void LedgerState::dropAnswer(wire::LedgerRecord* record) {
  bytes_ -= bytesOf(*record);
  record->answer = wire::StoredAnswer();
  record->answer.httpStatus = kDroppedAnswerHttpStatus;
  bytes_ += bytesOf(*record);
}

void LedgerState::dropOldAnswers() {
  while (answerDropPosition_ < claimOrder_.size() &&
         claimOrder_[answerDropPosition_].first + kAnswerRetentionMs <= nowMs_) {
    auto* record = recordAt(claimOrder_[answerDropPosition_]);
    if (record != nullptr && record->completed) dropAnswer(record);
    ++answerDropPosition_;
  }
}

void LedgerState::expire() {
  dropOldAnswers();
  while (!claimOrder_.empty() && claimOrder_.front().first + kKeyRetentionMs <= nowMs_) {
    if (const auto* record = recordAt(claimOrder_.front())) {
      bytes_ -= bytesOf(*record);
      records_.erase(claimOrder_.front().second);
    }
    claimOrder_.pop_front();
    if (answerDropPosition_ > 0) --answerDropPosition_;
  }
}

std::vector<wire::LedgerRecord> LedgerState::takeSnapshot() const {
  std::vector<wire::LedgerRecord> records;
  for (const auto& [claimedAt, key] : claimOrder_) {
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.claimedAtMs == claimedAt) records.push_back(found->second);
  }
  return records;
}

void LedgerState::restore(const std::vector<wire::LedgerRecord>& records) {
  *this = LedgerState();
  for (const auto& record : records) {
    bytes_ += bytesOf(record);
    claimOrder_.emplace_back(record.claimedAtMs, record.key);
    nowMs_ = std::max(nowMs_, record.claimedAtMs);
    records_[record.key] = record;
  }
}

}  // namespace driftlug::ledger
