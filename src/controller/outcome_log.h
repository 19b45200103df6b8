/// Outcomes of edits, oldest first, and their index by request id.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

/// Invariant: find() returns the newest outcome that was added under a request id and not dropped since.
class OutcomeLog {
 public:
  void push(wire::EditOutcome outcome);

  /// Drops the oldest outcome. The log must not be empty.
  void popOldest();

  /// @return the outcome of a request id, valid until the next change, or null.
  const wire::EditOutcome* find(const std::string& requestId) const;

  const std::deque<wire::EditOutcome>& all() const { return outcomes_; }
  size_t size() const { return outcomes_.size(); }

 private:
  std::deque<wire::EditOutcome> outcomes_;              // oldest first
  std::unordered_map<std::string, int64_t> positions_;  // position in outcomes_ plus dropped_, by request id
  int64_t dropped_ = 0;                                 // number of outcomes dropped from the front
};

}  // namespace driftlug::controller
