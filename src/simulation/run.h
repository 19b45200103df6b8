/// One simulated run: a cluster, operators and faults under a seed, and what came out.
#pragma once

#include <string>
#include <vector>

#include "simulation/fault_plan.h"
#include "simulation/operators.h"

namespace driftlug::simulation {

/// What to run.
struct RunOptions {
  ClusterPlan plan;
  uint64_t seed = 1;
  base::Duration duration = base::seconds(120);
  std::vector<FaultClass> faults;  ///< empty for none
  base::Duration meanFaultGap = base::seconds(6);
  base::Duration meanEditGap = base::milliseconds(1500);
  /// Only these of the drawn faults, by position; empty for all. Used to shrink a failing run.
  std::vector<size_t> onlyFaults;
  bool restrictFaults = false;
};

/// What came out of a run.
struct RunResult {
  uint64_t seed = 0;
  uint64_t traceHash = 0;
  uint64_t events = 0;
  std::vector<Violation> violations;
  std::vector<double> convergenceMs;  ///< of each accepted edit that came in force, accepted answer to last node
  OperatorCounters operators;
  Traffic traffic;
  int64_t controlBytes = 0;  ///< between controllers, relays and nodes, without the replicated log
  size_t faultsDrawn = 0;
  std::vector<Fault> faults;
};

/// Runs one seed; equal options give equal results.
RunResult runSeed(const RunOptions& options);

/// Finds a small set of faults under which the run still fails.
/// @return positions among the drawn faults
std::vector<size_t> shrinkFaults(const RunOptions& options, size_t faultsDrawn);

}  // namespace driftlug::simulation
