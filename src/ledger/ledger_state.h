/// State of the ledger of idempotency keys: which requests were started and how they ended.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::ledger {

/// Retention time of a key, by the leaders' clocks. A request resent after that runs again.
constexpr int64_t kKeyRetentionMs = int64_t{3600} * 1000;
/// Retention time of a stored answer. Afterwards a resent request gets only the information that it was completed.
constexpr int64_t kAnswerRetentionMs = int64_t{600} * 1000;
/// Maximum size of keys and stored answers. Beyond it claims are refused, since dropping keys before kKeyRetentionMs
/// would let requests run twice.
constexpr size_t kMaxLedgerBytes = size_t{256} << 20;
/// Maximum size of the body of a stored answer. An answer with a longer body is dropped at once.
constexpr size_t kMaxStoredAnswerBytes = size_t{256} << 10;

/// HTTP status that replaces a dropped answer; shows a resent request that it was completed.
constexpr int kDroppedAnswerHttpStatus = 410;

/// Result of a command.
struct LedgerOutcome {
  wire::LedgerVerdict::type verdict = wire::LedgerVerdict::UNAVAILABLE;
  const wire::StoredAnswer* answer = nullptr;  ///< stored answer of a completed key; valid until the next change
};

/// Replicated state machine: the same commands yield the same state on every controller.
///
/// Invariants: a key is granted to one owner at a time, and after completion not again until its retention ends; a
/// released key may be granted again, because its owner guarantees that the request did not run.
class LedgerState {
 public:
  /// Applies one command.
  LedgerOutcome apply(const wire::LedgerCommand& command);

  /// @return the record of a key, or null.
  const wire::LedgerRecord* find(const std::string& key) const;

  size_t size() const { return records_.size(); }
  size_t bytes() const { return bytes_; }

  /// @return all records, oldest claim first.
  std::vector<wire::LedgerRecord> takeSnapshot() const;

  /// Replaces the state.
  void restore(const std::vector<wire::LedgerRecord>& records);

 private:
  using ClaimOrderEntry = std::pair<int64_t, std::string>;
  wire::LedgerRecord* recordAt(const ClaimOrderEntry& entry);
  LedgerOutcome claim(const wire::LedgerCommand& command);
  LedgerOutcome complete(const wire::LedgerCommand& command);
  LedgerOutcome release(const wire::LedgerCommand& command);
  void expire();
  void dropOldAnswers();
  void dropAnswer(wire::LedgerRecord* record);
  static size_t bytesOf(const wire::LedgerRecord& record);

  std::map<std::string, wire::LedgerRecord> records_;       // by key
  std::deque<std::pair<int64_t, std::string>> claimOrder_;  // (claimed at, key), oldest first; may hold released keys
  size_t answerDropPosition_ = 0;  // entries at the front of claimOrder_ whose answers were dropped
  int64_t nowMs_ = 0;              // highest timestamp of a command
  size_t bytes_ = 0;               // sum of bytesOf() over records_
};

}  // namespace driftlug::ledger
