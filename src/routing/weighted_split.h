/// Deterministic weighted choice (smooth weighted round robin).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace driftlug::routing {

/// One choice and its weight.
struct WeightedChoice {
  std::string name;
  int64_t weight;
};

/// Smooth weighted round robin: after any n picks each choice was picked n·weight/sum times, within one.
///
/// Credits are kept across a change of weights, so that frequent edits do not favour the first choice.
class WeightedSplit {
 public:
  /// @return the name of the picked choice; empty when no choice has a weight above 0.
  std::string pick(const std::vector<WeightedChoice>& choices);

 private:
  std::map<std::string, int64_t> credit_;  // by name; the sum is 0 between picks
};

}  // namespace driftlug::routing
