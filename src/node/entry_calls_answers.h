/// Gathering of large answers that arrive in pieces.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "memory/shared_body.h"
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

/// An answer whose body has arrived in pieces.
struct GatheredAnswer {
  wire::CallResponse head;
  memory::shared_body body;
};

/// Holds the heads of large answers while their bodies arrive.
class AnswerGatherer {
 public:
  /// Bounds the bodies; without a budget, they have no bound. Call before the first answer.
  void useBudget(memory::body_budget* budget);

  /// Begins to gather the body that `head` announces, as soon as there is room for it.
  void begin(int64_t attempt, wire::CallResponse head);

  /// Begins to gather the bodies for which there is room now, oldest attempt first.
  void reserveWaiting();

  /// @return whether a body waits for room.
  bool waiting() const { return !waiting_.empty(); }

  /// Adds a piece of an attempt in progress.
  /// @return whether the answer is complete; take() returns it
  bool add(int64_t attempt, std::string_view data);

  /// Removes a complete answer.
  /// @return the answer
  GatheredAnswer take(int64_t attempt);

  /// Drops an answer that is no longer waited for; unknown ones are ignored.
  void drop(int64_t attempt);

  bool gathers(int64_t attempt) const { return answers_.count(attempt) > 0; }

  /// @return new credits for the senders.
  std::vector<overload::response_credit> credits() { return bodies_.credits(); }

  int64_t gatheredBytes() const { return bodies_.gatheredBytes(); }
  const GatherCounters& counters() const { return counters_; }
  GatherCounters& counters() { return counters_; }

 private:
  struct Gathering {
    wire::CallResponse head;
    memory::body_reservation reservation;
  };

  bool reserve(Gathering* answer);

  memory::body_budget* budget_ = nullptr;  // may stay null
  overload::response_gatherer bodies_;
  std::map<int64_t, Gathering> answers_;  // by attempt
  std::set<int64_t> waiting_;             // attempts whose bodies have no room yet
  GatherCounters counters_;
};

}  // namespace driftlug::node
