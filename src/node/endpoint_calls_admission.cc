/// Admission of calls to the local back end: which are refused at once, and in which order the others get slots.
#include <algorithm>

#include "node/endpoint_calls.h"
#include "wire/frame.h"
#include "wire/http_syntax.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

}  // namespace

void EndpointCalls::acquireSlot(const CallKey& key, bool ready) {
  const auto& call = calls_[key];
  if (exceedsAdvertisedRate(call)) return refuseForRate(key);
  const auto acquire = call.reservation != 0 ? &limits::SlotLimiter::acquireReserved : &limits::SlotLimiter::acquire;
  const auto ticket = (limiter_.*acquire)(
      call.priority, call.latestStart, [this, key] { run(key); },
      [this, key](limits::SlotRefusal refusal) { onSlotRefused(key, refusal); }, ready && !call.held,
      load_.serviceTimes.idOf(kindOf(call.request)));
  if (const auto found = calls_.find(key); found != calls_.end()) found->second.ticket = ticket;
  armExpiry();
}

void EndpointCalls::onSlotRefused(const CallKey& key, limits::SlotRefusal refusal) {
  if (calls_[key].awaitsBody) dropBody(key, &calls_[key]);
  if (refusal == limits::SlotRefusal::kClosed) return refuse(key, closedError(), base::Duration(0));
  if (rateLimiter_.blockedUntil()) return refuseForRate(key);
  refuseForCapacity(key);
}

base::TimePoint EndpointCalls::latestStartOf(const Call& call) const {
  const int targetMs = call.request.targetLatencyMs;
  if (!options_.waitWithinTarget || targetMs == 0) return call.deadline;
  // A late answer to a nested call is useful to its outer call until the deadline.
  if (call.nested) return call.deadline - base::microsecondsOf(options_.runTimeMargin * averageRunUs(call.request));
  const double targetUs = static_cast<double>(base::Duration(base::milliseconds(targetMs)).count());
  const double spareUs = remainingTargetUs(call.request) - options_.runTimeMargin * averageRunUs(call.request);
  const double waitUs = std::max(targetUs * options_.minWaitShare, spareUs);
  return std::min(call.deadline, scheduler_.now() + base::microsecondsOf(waitUs));
}

double EndpointCalls::averageRunUs(const wire::CallRequest& request) const {
  if (loadAware()) return static_cast<double>(predictedRun(request).value_or(base::Duration(0)).count());
  const auto average = averageRunUs_.find(request.targetLatencyMs);
  return average == averageRunUs_.end() ? 0 : average->second;
}

double EndpointCalls::remainingTargetUs(const wire::CallRequest& request) const {
  return static_cast<double>(base::Duration(base::milliseconds(request.targetLatencyMs - request.waitedMs)).count());
}

bool EndpointCalls::isLate(const wire::CallRequest& request) const {
  return request.waitedMs > 0 && remainingTargetUs(request) < averageRunUs(request);
}

void EndpointCalls::armExpiry() {
  auto next = limiter_.nextExpiry();
  if (const auto suspect = probationLimiter_.nextExpiry(); suspect && (!next || *suspect < *next)) next = suspect;
  if (const auto rateLimitedStart = limiter_.nextRateLimitedStart();
      rateLimitedStart && (!next || *rateLimitedStart < *next))
    next = rateLimitedStart;
  if (!next) return expiryTimer_.stop();
  expiryTimer_.start(std::max<base::Duration>(base::milliseconds(1), *next - scheduler_.now()));
}

bool EndpointCalls::detectNested(base::ConnectionId connection, const wire::CallRequest& request) {
  if (!options_.nestedFirst) return false;
  const auto service = callerServices_.find(connection);
  if (service == callerServices_.end()) return false;
  nestedCallDetector_.onCall(kindOf(request), service->second);
  return isNested(request);
}

bool EndpointCalls::isNested(const wire::CallRequest& request) const {
  // Back ends call without a key, so a call of a tenant comes from an external caller.
  return options_.nestedFirst && request.tenant.empty() && nestedCallDetector_.isNested(kindOf(request));
}

limits::Priority EndpointCalls::priorityOf(const Call& call) const {
  if (call.nested) return limits::Priority::kNested;
  const auto& request = call.request;
  // Within a priority, the request whose target is due first goes first, whether or not it may be repeated.
  const bool byTarget = options_.waitWithinTarget && request.targetLatencyMs > 0;
  const auto rank = limits::priorityFor(request.priority, byTarget || isRepeatable(request));
  return byTarget && isLate(request) ? limits::latePriority(rank) : rank;
}

bool EndpointCalls::refuseAtOnce(const CallKey& key, const wire::CallRequest& request) {
  ErrorCode error = ErrorCode::kNone;
  const bool named =
      request.endpoint == endpoint_ || (!previousEndpoint_.empty() && request.endpoint == previousEndpoint_);
  const bool otherIncarnation = options_.dynamicEndpoint && (endpoint_.empty() || !named);
  if (options_.service.empty() || request.serviceName != options_.service) {
    error = ErrorCode::kNoEndpoint;
  } else if (otherIncarnation) {
    error = endpoint_.empty() ? ErrorCode::kDraining : ErrorCode::kWrongEndpoint;
  } else if (draining_) {
    error = ErrorCode::kDraining;
  } else if (evacuated_) {
    error = ErrorCode::kZoneEvacuated;
  } else if (!versionAcceptsCalls()) {
    error = ErrorCode::kVersionNotReleased;
  } else if (stale_) {
    error = ErrorCode::kStaleRequest;
  } else if (request.bodyBytes > static_cast<int64_t>(wire::kMaxFrameBytes)) {
    error = ErrorCode::kFrameTooLarge;
  } else if (wire::checkFields(request.headers) != wire::HttpHeadError::kNone) {
    error = ErrorCode::kBadFrame;  // a node of an earlier build passes on what its callers send
  }
  if (error == ErrorCode::kNone) return false;
  refuse(key, error, base::Duration(0));
  return true;
}

}  // namespace driftlug::node
