/// Plans of simulated clusters from deployments.
#pragma once

#include "deployment.h"
#include "simulation/cluster.h"

namespace driftlug::tools {

/// @return the deployment's processes, latencies and first rows.
simulation::ClusterPlan planOf(const Deployment& deployment);

}  // namespace driftlug::tools
