/// The ledger of idempotency keys: which requests were begun, and how they ended.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::ledger {

/// Time for which a key is remembered, in milliseconds of the leaders' clocks. A resend after it runs anew.
constexpr int64_t kKeyRetentionMs = int64_t{3600} * 1000;
/// Time for which the body of an answer is kept. A resend after it is told that the request completed, and no more.
constexpr int64_t kAnswerRetentionMs = int64_t{600} * 1000;
/// Bytes of stored answers and keys; claims are refused beyond, rather than forgetting keys inside the window.
constexpr size_t kMaxLedgerBytes = size_t{256} << 20;
/// Longest answer that is kept; a resend of a request with a longer one is told that it completed, without it.
constexpr size_t kMaxStoredAnswerBytes = size_t{256} << 10;

/// Status of a stored answer whose body is no longer kept.
constexpr int kDroppedAnswerHttpStatus = 410;

/// What a command led to.
struct LedgerOutcome {
  wire::LedgerVerdict::type verdict = wire::LedgerVerdict::UNAVAILABLE;
  const wire::StoredAnswer* answer = nullptr;  ///< of a completed key; valid until the next change
};

/// Replicated state: equal on every controller after equal commands.
///
/// Invariants: a key is granted to one owner at a time, and never again once it completed, until its window ends;
/// a released key may be granted anew, because its owner vouches that nothing ran.
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
  std::deque<std::pair<int64_t, std::string>> claimOrder_;  // (claimed at, key), oldest first; may name released keys
  size_t answerDropPosition_ = 0;                           // of the front of order_: their answers are gone
  int64_t nowMs_ = 0;                                       // newest time that a command carried
  size_t bytes_ = 0;                                        // sum of bytesOf() over records_
};

}  // namespace driftlug::ledger
