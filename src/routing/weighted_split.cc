#include "routing/weighted_split.h"

namespace driftlug::routing {

std::string WeightedSplit::pick(const std::vector<WeightedChoice>& choices) {
  int64_t sum = 0;
  const WeightedChoice* best = nullptr;
  for (const auto& choice : choices) {
    if (choice.weight <= 0) continue;
    sum += choice.weight;
    auto& credit = credit_[choice.name];
    credit += choice.weight;
    if (best == nullptr || credit > credit_[best->name]) best = &choice;
  }
  if (best == nullptr) return "";
  credit_[best->name] -= sum;
  if (credit_.size() > choices.size()) {
    std::erase_if(credit_, [&](const auto& item) {
      for (const auto& choice : choices) {
        if (choice.name == item.first) return false;
      }
      return true;
    });
  }
  return best->name;
}

}  // namespace driftlug::routing
