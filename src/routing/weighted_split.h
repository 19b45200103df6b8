/// Weighted choice that is exact over time, not only on average.
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

/// Smooth weighted round robin: after any n picks each choice was picked n·weight/sum times, give or take one.
///
/// The position survives a change of weights, so that frequent edits do not favour the first choice.
class WeightedSplit {
 public:
  /// @return the name picked, empty when no choice has a weight above 0.
  std::string pick(const std::vector<WeightedChoice>& choices);

 private:
  std::map<std::string, int64_t> credit_;  // by name; sums to 0 between picks
};

}  // namespace driftlug::routing
