#include "controller/outcome_log.h"

#include <utility>

namespace driftlug::controller {

void OutcomeLog::push(wire::EditOutcome outcome) {
  positions_[outcome.requestId] = dropped_ + static_cast<int64_t>(outcomes_.size());
  outcomes_.push_back(std::move(outcome));
}

void OutcomeLog::popOldest() {
  const auto position = positions_.find(outcomes_.front().requestId);
  if (position != positions_.end() && position->second == dropped_) positions_.erase(position);
  outcomes_.pop_front();
  ++dropped_;
}

const wire::EditOutcome* OutcomeLog::find(const std::string& requestId) const {
  const auto position = positions_.find(requestId);
  if (position == positions_.end()) return nullptr;
  return &outcomes_[static_cast<size_t>(position->second - dropped_)];
}

}  // namespace driftlug::controller
