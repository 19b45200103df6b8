/// Back ends that are cold, and zones that are emptied, at the node beside the back end.
#include <utility>

#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

/// Pause between two questions whether the back end is cold; one that has no slot free may not answer.
constexpr base::Duration kColdCheckInterval = base::milliseconds(300);

}  // namespace

/// A zone is taken back when its back ends may have stood idle for long, and gone cold by it.
void EndpointCalls::useEvacuation(bool evacuated) {
  if (std::exchange(evacuated_, evacuated) && !evacuated) markPossiblyCold();
}

void EndpointCalls::markPossiblyCold() {
  pace_.onDoubt();
  if (pace_.doubtful() && !coldCheckTimer_.running()) startColdCheck();
}

void EndpointCalls::startColdCheck() {
  if (!pace_.doubtful()) return;
  coldCheckTimer_.start(kColdCheckInterval);
  if (onColdCheckNeeded_) onColdCheckNeeded_();
}

void EndpointCalls::onColdReport(base::Duration coldFor, bool asked) {
  pace_.onTold(coldFor, asked);
  limiter_.startWaiting();
  armExpiry();
}

}  // namespace driftlug::node
