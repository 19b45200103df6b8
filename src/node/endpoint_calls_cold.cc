/// Cold back ends and evacuated zones, on the endpoint side.
#include <utility>

#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

/// Interval between cold checks; a back end without a free slot may not answer one.
constexpr base::Duration kColdCheckInterval = base::milliseconds(300);

}  // namespace

/// The back ends of a zone may have gone cold while it was evacuated and they were idle.
void EndpointCalls::setEvacuated(bool evacuated) {
  if (std::exchange(evacuated_, evacuated) && !evacuated) markPossiblyCold();
}

void EndpointCalls::markPossiblyCold() {
  coldStartLimiter_.markUncertain();
  if (coldStartLimiter_.isUncertain() && !coldCheckTimer_.running()) startColdCheck();
}

void EndpointCalls::startColdCheck() {
  if (!coldStartLimiter_.isUncertain()) return;
  coldCheckTimer_.start(healthCheckInterval(kColdCheckInterval));
  if (onColdCheckNeeded_) onColdCheckNeeded_();
}

void EndpointCalls::onColdReport(base::Duration coldFor, bool asked) {
  coldStartLimiter_.onColdReport(coldFor, asked);
  limiter_.startWaiting();
  armExpiry();
}

}  // namespace driftlug::node
