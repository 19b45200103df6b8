/// `driftlug-sim run`: runs a range of seeds on several threads, with one line of output per seed and a summary.
#pragma once

#include <string>
#include <vector>

#include "simulation/run.h"

namespace driftlug::tools {

/// An inclusive range of seeds.
struct SeedRange {
  uint64_t first = 1;
  uint64_t last = 1;
};

/// Parses `A-B` or `A`.
/// @return false if the text is not a valid range
bool parseSeeds(const std::string& text, SeedRange* range);

/// Aggregated results of all seeds.
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

/// Runs the seeds and prints one line for each, in order.
/// @param threads number of seeds run concurrently
/// @param stopAtFirst whether to stop after the first seed that fails
RunSummary runSeeds(const simulation::RunOptions& options, SeedRange range, int threads, bool stopAtFirst);

/// @return the summary as a single-line JSON object.
std::string summaryLine(const std::string& deployment, RunSummary summary);

}  // namespace driftlug::tools
