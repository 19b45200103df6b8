/// Gathering of large answers that arrive in pieces.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "overload/response_gatherer.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::node {

/// Counters of AnswerGatherer.
struct GatherCounters {
  int64_t pieces = 0;         ///< received and accepted
  int64_t latePieces = 0;     ///< of attempts that had ended; ignored
  int64_t invalidPieces = 0;  ///< of calls that were never sent, or beyond the announced size; ignored
  int64_t invalidHeads = 0;   ///< answers with an announced size that can't be, and second answers
};

/// Holds the heads of large answers while their bodies arrive.
class AnswerGatherer {
 public:
  /// Begins to gather the body that `head` announces.
  void begin(int64_t attempt, wire::CallResponse head);

  /// Adds a piece of an attempt in progress.
  /// @return whether the answer is complete; take() returns it
  bool add(int64_t attempt, std::string_view data);

  /// Removes a complete answer.
  /// @return the answer with its body
  wire::CallResponse take(int64_t attempt);

  /// Drops an answer that is no longer waited for; unknown ones are ignored.
  void drop(int64_t attempt);

  bool gathers(int64_t attempt) const { return bodies_.gathers(attempt); }

  /// @return new credits for the senders.
  std::vector<overload::response_credit> credits() { return bodies_.credits(); }

  int64_t gatheredBytes() const { return bodies_.gatheredBytes(); }
  const GatherCounters& counters() const { return counters_; }
  GatherCounters& counters() { return counters_; }

 private:
  overload::response_gatherer bodies_;
  std::map<int64_t, wire::CallResponse> heads_;  // by attempt
  GatherCounters counters_;
};

}  // namespace driftlug::node
