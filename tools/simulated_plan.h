/// Plans of simulated clusters from deployments.
#pragma once

#include "deployment.h"
#include "simulation/cluster.h"

namespace driftlug::tools {

/// @return the deployment's processes, latencies and first rows.
simulation::ClusterPlan planOf(const Deployment& deployment);

/// Size of a synthetic cluster for scale runs.
struct ScaleShape {
  int nodes = 1000;
  int services = 100;
  int regions = 10;
  int zones = 21;
  int controllers = 5;
  int dependenciesPerNode = 5;  ///< services that each node's routes lead to
};

/// @return a cluster of the shape, its services spread evenly, with WAN latencies between regions.
simulation::ClusterPlan scalePlan(const ScaleShape& shape);

}  // namespace driftlug::tools
