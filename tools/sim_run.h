/// `driftlug-sim run`: many seeds on several threads, one line each, and a summary.
#pragma once

#include <string>
#include <vector>

#include "simulation/run.h"

namespace driftlug::tools {

/// What to run.
struct SeedRange {
  uint64_t first = 1;
  uint64_t last = 1;
};

/// @return the range of `A-B` or `A`; false when it is none.
bool parseSeeds(const std::string& text, SeedRange* range);

/// Result of all seeds.
struct RunSummary {
  uint64_t seeds = 0;
  uint64_t failedSeeds = 0;
  size_t violations = 0;
  uint64_t firstFailed = 0;
  std::vector<double> convergenceMs;
  int64_t controlBytes = 0;
  simulation::Traffic traffic;
  simulation::OperatorCounters operators;
};

/// Runs seeds and prints a line for each, in order.
/// @param threads seeds run at once
/// @param stopAtFirst whether to stop once a seed fails
RunSummary runSeeds(const simulation::RunOptions& options, SeedRange range, int threads, bool stopAtFirst);

/// @return the summary as one JSON line.
std::string summaryLine(const std::string& deployment, RunSummary summary);

}  // namespace driftlug::tools
