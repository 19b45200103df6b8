/// A simulated run: a cluster, operators and faults that are driven by a seed, and its result.
#pragma once

#include <string>
#include <vector>

#include "simulation/fault_plan.h"
#include "simulation/operators.h"

namespace driftlug::simulation {

/// Options of a run.
struct RunOptions {
  ClusterPlan plan;
  uint64_t seed = 1;
  base::Duration duration = base::seconds(120);
  std::vector<FaultClass> faults;  ///< empty for none
  base::Duration meanFaultGap = base::seconds(6);
  base::Duration meanEditGap = base::milliseconds(1500);
  /// Indices of the drawn faults to apply if `restrictFaults` is set; used to shrink a failing run.
  std::vector<size_t> onlyFaults;
  bool restrictFaults = false;
};

/// Result of a run.
struct RunResult {
  uint64_t seed = 0;
  uint64_t traceHash = 0;
  uint64_t events = 0;
  std::vector<Violation> violations;
  std::vector<double> convergenceMs;  ///< of each edit in force, from its commit to the activation by the last node
  OperatorCounters operators;
  Traffic traffic;
  int64_t controlBytes = 0;  ///< sent between controllers, relays and nodes, without the replicated log
  size_t faultsDrawn = 0;
  std::vector<Fault> faults;
};

/// Runs one seed; identical options give identical results.
RunResult runSeed(const RunOptions& options);

/// Finds a small set of faults under which the run still fails.
/// @return indices of these faults among the drawn ones
std::vector<size_t> shrinkFaults(const RunOptions& options, size_t faultsDrawn);

}  // namespace driftlug::simulation
