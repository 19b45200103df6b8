/// Back ends that are cold, and zones that are emptied, at the node beside the back end.
#include <utility>

#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

/// Pause between two questions whether the back end is cold; one that has no slot free may not answer.
constexpr base::Duration kWarmthInterval = base::milliseconds(300);

}  // namespace

/// A zone is taken back when its back ends may have stood idle for long, and gone cold by it.
void EndpointCalls::useEvacuation(bool evacuated) {
  if (std::exchange(evacuated_, evacuated) && !evacuated) doubtWarmth();
}

void EndpointCalls::doubtWarmth() {
  pace_.markUncertain();
  if (pace_.isUncertain() && !warmthTimer_.running()) askForWarmth();
}

void EndpointCalls::askForWarmth() {
  if (!pace_.isUncertain()) return;
  warmthTimer_.start(kWarmthInterval);
  if (onDoubtedWarmth_) onDoubtedWarmth_();
}

void EndpointCalls::onColdTold(base::Duration coldFor, bool asked) {
  pace_.onColdReport(coldFor, asked);
  limiter_.startWaiting();
  armExpiry();
}

}  // namespace driftlug::node
