/// Converts deployments to plans of simulated clusters.
#pragma once

#include "deployment.h"
#include "simulation/cluster.h"

namespace driftlug::tools {

/// @return a plan with the deployment's processes, latencies and initial table rows.
simulation::ClusterPlan planOf(const Deployment& deployment);

}  // namespace driftlug::tools
