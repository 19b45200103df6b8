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
  // Leaders' clocks may differ; time never moves back.
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
    // The owner asks again because the first reply was lost.
    const bool same = record.owner == command.owner;
    return {same ? LedgerVerdict::GRANTED : LedgerVerdict::CLAIMED, nullptr};
  }
  wire::LedgerRecord record;
  record.key = command.key;
  record.fingerprint = command.fingerprint;
  record.owner = command.owner;
  record.claimedAtMs = nowMs_;
  if (bytes_ + bytesOf(record) > kMaxBytes) return {LedgerVerdict::UNAVAILABLE, nullptr};
  bytes_ += bytesOf(record);
  order_.emplace_back(nowMs_, command.key);
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
  if (record.answer.body.size() > kMaxAnswerBytes) dropAnswer(&record);
  return {LedgerVerdict::COMPLETED, &record.answer};
}

LedgerOutcome LedgerState::release(const wire::LedgerCommand& command) {
  const auto found = records_.find(command.key);
  const bool own = found != records_.end() && found->second.owner == command.owner && !found->second.completed;
  if (!own) return {LedgerVerdict::MISMATCH, nullptr};
  bytes_ -= bytesOf(found->second);
  records_.erase(found);
  return {LedgerVerdict::GRANTED, nullptr};
}

wire::LedgerRecord* LedgerState::recordAt(const Place& place) {
  const auto found = records_.find(place.second);
  // A key that was released and claimed again has a later place in the order.
  const bool here = found != records_.end() && found->second.claimedAtMs == place.first;
  return here ? &found->second : nullptr;
}

void LedgerState::dropAnswer(wire::LedgerRecord* record) {
  bytes_ -= bytesOf(*record);
  record->answer = wire::StoredAnswer();
  record->answer.httpStatus = kAnswerGoneStatus;
  bytes_ += bytesOf(*record);
}

void LedgerState::dropOldAnswers() {
  while (answersDropped_ < order_.size() && order_[answersDropped_].first + kAnswerMs <= nowMs_) {
    auto* record = recordAt(order_[answersDropped_]);
    if (record != nullptr && record->completed) dropAnswer(record);
    ++answersDropped_;
  }
}

void LedgerState::expire() {
  dropOldAnswers();
  while (!order_.empty() && order_.front().first + kWindowMs <= nowMs_) {
    if (const auto* record = recordAt(order_.front())) {
      bytes_ -= bytesOf(*record);
      records_.erase(order_.front().second);
    }
    order_.pop_front();
    if (answersDropped_ > 0) --answersDropped_;
  }
}

std::vector<wire::LedgerRecord> LedgerState::takeSnapshot() const {
  std::vector<wire::LedgerRecord> records;
  for (const auto& [claimedAt, key] : order_) {
    const auto found = records_.find(key);
    if (found != records_.end() && found->second.claimedAtMs == claimedAt) records.push_back(found->second);
  }
  return records;
}

void LedgerState::restore(const std::vector<wire::LedgerRecord>& records) {
  *this = LedgerState();
  for (const auto& record : records) {
    bytes_ += bytesOf(record);
    order_.emplace_back(record.claimedAtMs, record.key);
    nowMs_ = std::max(nowMs_, record.claimedAtMs);
    records_[record.key] = record;
  }
}

}  // namespace driftlug::ledger
