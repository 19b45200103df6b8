/// `driftlug-sim scale`: the letter's mesh on the virtual clock, with its latencies between regions and its failures.
#pragma once

#include <nlohmann/json.hpp>

#include "scale_shape.h"

namespace driftlug::tools {

/// What to run.
struct SimScaleOptions {
  ScaleShape shape;
  uint64_t seed = 1;
  double editsPerSecond = 2.8;      ///< the letter's 24,000 a day, ten times over
  double restartsPerSecond = 0.23;  ///< the letter's 2,000 nodes a day, ten times over
  int editSeconds = 30;
  int regionCutSeconds = 120;  ///< a region loses all others for this long; 0 for never
};

/// Runs one size.
/// @return convergence, bytes by role and message kind, and the time in which cut regions caught up
nlohmann::json runSimScale(const SimScaleOptions& options);

}  // namespace driftlug::tools
