/// Refusals of calls, and how long the refused nodes stay away.
#include <algorithm>
#include <utility>

#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

/// A node that sent a request within this time counts as an active caller.
constexpr base::Duration kActiveCallerWindow = base::seconds(2);
/// Number of requests that all callers together should send for each slot that becomes free; more than one, so that no
/// slot stays idle.
constexpr int kRequestsPerFreeSlot = 2;

}  // namespace

void EndpointCalls::refuse(const CallKey& key, ErrorCode error, base::Duration retryAfter) {
  wire::CallResponse response;
  if (error == ErrorCode::kOverloaded || error == ErrorCode::kBackendRateLimited) {
    response.fullForMs = base::millisecondsOf(callerBackoff(limiter_.slotInterval(), &CallerNode::lastRequestAt));
  }
  refuseWith(key, error, retryAfter, std::move(response));
}

void EndpointCalls::refuseWith(const CallKey& key, ErrorCode error, base::Duration retryAfter,
                               wire::CallResponse response) {
  ++counters_.refused;
  logRefusal(calls_[key], error, retryAfter);
  releaseSlot(calls_[key]);
  response.outcome = wire::CallOutcome::NOT_RUN;
  response.errorCode = static_cast<int>(error);
  response.retryAfterMs = base::millisecondsOf(retryAfter);
  answer(key, std::move(response));
}

/// Returns the back-off for a calling node. All active callers together should send kRequestsPerFreeSlot requests per
/// `interval`: refused requests waste bandwidth of this node's link, and those of many nodes can fill it.
base::Duration EndpointCalls::callerBackoff(base::Duration interval, base::TimePoint CallerNode::*lastSeenAt) const {
  const auto since = scheduler_.now() - kActiveCallerWindow;
  const auto activeCallers = std::count_if(callerNodes_.begin(), callerNodes_.end(),
                                           [&](const auto& item) { return item.second.*lastSeenAt >= since; });
  return std::min(options_.maxCallerBackoff, interval * activeCallers / kRequestsPerFreeSlot);
}

void EndpointCalls::logRefusal(const Call& call, ErrorCode error, base::Duration retryAfter) {
  decisions_.write(base::LinePriority::kFailure, [&] {
    const auto waited = std::chrono::duration_cast<base::milliseconds>(scheduler_.now() - call.arrivedAt);
    return fmt::format(
        "refused call={} nested={} service={} endpoint={} current={} error={} running={} waiting={} waited_ms={} "
        "left_ms={} target_ms={} waited_before_ms={} retry_after_ms={}",
        requestIdOf(call.request), call.nested, call.request.serviceName, call.request.endpoint, endpoint_,
        base::errorName(error), limiter_.running(), limiter_.waiting(), waited.count(),
        std::chrono::duration_cast<base::milliseconds>(call.deadline - scheduler_.now()).count(),
        call.request.targetLatencyMs, call.request.waitedMs, retryAfter.count() / 1000);
  });
}

}  // namespace driftlug::node
