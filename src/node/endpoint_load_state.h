/// What the endpoint side of calls knows of the load of its back end.
#pragma once

#include <cstdint>

#include "base/decision_log.h"
#include "overload/reported_load.h"
#include "overload/service_time_predictor.h"

namespace driftlug::node {

/// Load reports of the back end and the service times learned from its answers. The reports belong to one start of the
/// back end; service times are kept over starts.
struct EndpointLoadState {
  explicit EndpointLoadState(const base::TimeSource& time) : log("endpoint", time, base::kOneLinePerSecond) {}

  overload::reported_load reports;
  overload::service_time_predictor serviceTimes;
  bool limitedTenants = false;  ///< the table holds tenants with limits
  int64_t unreadableReports = 0;
  int64_t refusedForPace = 0;  ///< refused since the back end is currently too slow for their target
  double loggedPace = 1;       ///< pace that the last line about it named
  base::DecisionLog log;       ///< separate, so that other lines don't displace changes of the pace
};

}  // namespace driftlug::node
