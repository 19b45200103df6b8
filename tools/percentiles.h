/// Percentiles of a set of measurements.
#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace driftlug::tools {

/// @return p50, p99, max and count; zeros if there are no values.
inline nlohmann::json percentiles(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto at = [&values](double share) {
    if (values.empty()) return 0.0;
    return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
  };
  return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", at(1)}, {"count", values.size()}};
}

}  // namespace driftlug::tools
