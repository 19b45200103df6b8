#include "ledger/ledger_state.h"

#include <catch2/catch.hpp>

namespace driftlug::ledger {
namespace {

using wire::LedgerAction;
using wire::LedgerVerdict;

wire::LedgerCommand command(LedgerAction::type action, const std::string& key, const std::string& owner,
                            int64_t atMs = 1) {
  wire::LedgerCommand command;
  command.action = action;
  command.key = key;
  command.owner = owner;
  command.fingerprint = 7;
  command.timestampMs = atMs;
  if (action == LedgerAction::COMPLETE) {
    command.answer.httpStatus = 201;
    command.answer.body = "filed";
    command.__isset.answer = true;
  }
  return command;
}

}  // namespace

TEST_CASE("a key is granted to one owner only") {
  LedgerState state;
  CHECK(state.apply(command(LedgerAction::CLAIM, "k", "a")).verdict == LedgerVerdict::GRANTED);
  CHECK(state.apply(command(LedgerAction::CLAIM, "k", "b")).verdict == LedgerVerdict::CLAIMED);
  // A repeated claim of the same owner is granted again.
  CHECK(state.apply(command(LedgerAction::CLAIM, "k", "a")).verdict == LedgerVerdict::GRANTED);
}

TEST_CASE("a completed key gives its answer to everybody and is never granted again") {
  LedgerState state;
  state.apply(command(LedgerAction::CLAIM, "k", "a"));
  state.apply(command(LedgerAction::COMPLETE, "k", "a"));
  for (const char* owner : {"a", "b"}) {
    const auto outcome = state.apply(command(LedgerAction::CLAIM, "k", owner));
    CHECK(outcome.verdict == LedgerVerdict::COMPLETED);
    REQUIRE(outcome.answer != nullptr);
    CHECK(outcome.answer->body == "filed");
  }
  CHECK(state.apply(command(LedgerAction::RELEASE, "k", "a")).verdict == LedgerVerdict::MISMATCH);
  CHECK(state.find("k") != nullptr);
}

TEST_CASE("only the owner completes or releases a key") {
  LedgerState state;
  state.apply(command(LedgerAction::CLAIM, "k", "a"));
  CHECK(state.apply(command(LedgerAction::COMPLETE, "k", "b")).verdict == LedgerVerdict::MISMATCH);
  CHECK(state.apply(command(LedgerAction::RELEASE, "k", "b")).verdict == LedgerVerdict::MISMATCH);
  CHECK(state.apply(command(LedgerAction::RELEASE, "k", "a")).verdict == LedgerVerdict::GRANTED);
  CHECK(state.apply(command(LedgerAction::CLAIM, "k", "b")).verdict == LedgerVerdict::GRANTED);
  // A late COMPLETE of the first owner, whose claim was released, is refused.
  CHECK(state.apply(command(LedgerAction::COMPLETE, "k", "a")).verdict == LedgerVerdict::MISMATCH);
}

TEST_CASE("a key used for another request is refused") {
  LedgerState state;
  state.apply(command(LedgerAction::CLAIM, "k", "a"));
  auto other = command(LedgerAction::CLAIM, "k", "b");
  other.fingerprint = 8;
  CHECK(state.apply(other).verdict == LedgerVerdict::MISMATCH);
}

TEST_CASE("keys are removed when their retention ends, not before, and a clock that steps back removes none") {
  LedgerState state;
  state.apply(command(LedgerAction::CLAIM, "old", "a", 1000));
  state.apply(command(LedgerAction::CLAIM, "other", "a", 999 + kKeyRetentionMs));
  CHECK(state.find("old") != nullptr);
  state.apply(command(LedgerAction::CLAIM, "third", "a", 5));
  CHECK(state.find("old") != nullptr);
  state.apply(command(LedgerAction::CLAIM, "fourth", "a", 1000 + kKeyRetentionMs));
  CHECK(state.find("old") == nullptr);
  CHECK(state.find("other") != nullptr);
}

TEST_CASE("an answer is dropped before its key and reported as gone") {
  LedgerState state;
  state.apply(command(LedgerAction::CLAIM, "k", "a", 1000));
  state.apply(command(LedgerAction::COMPLETE, "k", "a", 1001));
  const auto full = state.bytes();
  const auto outcome = state.apply(command(LedgerAction::CLAIM, "k", "b", 1000 + kAnswerRetentionMs));
  CHECK(outcome.verdict == LedgerVerdict::COMPLETED);
  CHECK(outcome.answer->httpStatus == kDroppedAnswerHttpStatus);
  CHECK(outcome.answer->body.empty());
  CHECK(state.bytes() < full);
}

TEST_CASE("a full ledger refuses new keys and keeps what it has") {
  LedgerState state;
  const std::string body(kMaxStoredAnswerBytes, 'x');
  int granted = 0;
  for (int i = 0; i < 2000; ++i) {
    const auto key = "k" + std::to_string(i);
    if (state.apply(command(LedgerAction::CLAIM, key, "a")).verdict != LedgerVerdict::GRANTED) break;
    ++granted;
    auto done = command(LedgerAction::COMPLETE, key, "a");
    done.answer.body = body;
    state.apply(done);
  }
  CHECK(granted < 2000);
  CHECK(state.bytes() < kMaxLedgerBytes + 2 * kMaxStoredAnswerBytes);
  CHECK(state.apply(command(LedgerAction::CLAIM, "k0", "b")).verdict == LedgerVerdict::COMPLETED);
}

TEST_CASE("a snapshot contains the whole state") {
  LedgerState state;
  state.apply(command(LedgerAction::CLAIM, "a", "1", 10));
  state.apply(command(LedgerAction::COMPLETE, "a", "1", 11));
  state.apply(command(LedgerAction::CLAIM, "b", "1", 12));
  state.apply(command(LedgerAction::CLAIM, "c", "1", 13));
  state.apply(command(LedgerAction::RELEASE, "c", "1", 14));
  LedgerState copy;
  copy.restore(state.takeSnapshot());
  CHECK(copy.size() == 2);
  CHECK(copy.bytes() == state.bytes());
  CHECK(copy.apply(command(LedgerAction::CLAIM, "a", "2", 15)).verdict == LedgerVerdict::COMPLETED);
  CHECK(copy.apply(command(LedgerAction::CLAIM, "b", "2", 15)).verdict == LedgerVerdict::CLAIMED);
  CHECK(copy.apply(command(LedgerAction::CLAIM, "c", "2", 15)).verdict == LedgerVerdict::GRANTED);
}

}  // namespace driftlug::ledger
