/// Plans of simulated clusters from deployments.
#pragma once

#include "deployment.h"
#include "scale_shape.h"
#include "simulation/cluster.h"

namespace driftlug::tools {

/// @return the deployment's processes, latencies and first rows.
simulation::ClusterPlan planOf(const Deployment& deployment);

/// @return a cluster of the shape, with WAN latencies between regions.
simulation::ClusterPlan scalePlan(const ScaleShape& shape);

}  // namespace driftlug::tools
