/// Quarantine of requests that crash the back end, on the endpoint side.
#include "node/call_fingerprint.h"
#include "node/endpoint_calls.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using quarantine::request_status;

/// Retry-After for a request that could not run behind other suspects, which run for some hundred milliseconds each.
constexpr base::Duration kProbationRetryAfter = base::milliseconds(500);

}  // namespace

void EndpointCalls::useQuarantine(quarantine::request_quarantine* quarantine, quarantine::crash_detector* watch) {
  quarantine_ = quarantine;
  watch_ = watch;
}

const quarantine::request_fingerprint& EndpointCalls::fingerprintOfCall(const CallKey& key) {
  auto& call = calls_.at(key);
  if (!call.fingerprint) call.fingerprint = fingerprintOf(call.request, call.content());
  return *call.fingerprint;
}

/// @return the stricter of the status on this node and the status that the sender reported: the sender may know of a
/// crash that has not been reported to this node yet.
request_status EndpointCalls::statusOfCall(const CallKey& key) {
  if (quarantine_ == nullptr) return request_status::clear;
  const auto reported = calls_.at(key).request.suspect ? request_status::suspect : request_status::clear;
  if (quarantine_->empty()) return reported;
  return std::max(reported, quarantine_->statusOf(fingerprintOfCall(key), options_.service));
}

void EndpointCalls::admit(const CallKey& key) {
  switch (statusOfCall(key)) {
    case request_status::clear:
      return acquireSlot(key);
    case request_status::suspect:
      return putOnProbation(key);
    case request_status::held:
      return refuseHeld(key);
  }
}

/// Queues a suspect for the probation slot until its deadline instead of its target latency, since its caller has
/// already lost a run.
void EndpointCalls::putOnProbation(const CallKey& key) {
  auto& call = calls_.at(key);
  call.suspect = true;
  if (options_.waitWithinTarget) {
    call.latestStart = call.deadline - base::microsecondsOf(options_.runTimeMargin * averageRunUs(call.request));
  }
  const auto ticket = probationLimiter_.acquire(
      call.priority, call.latestStart,
      [this, key] {
        auto& started = calls_.at(key);
        started.onProbation = true;
        started.probationStartedAt = scheduler_.now();
        started.probationTicket = 0;
        acquireSlot(key);
      },
      [this, key](limits::SlotRefusal refusal) {
        const bool closed = refusal == limits::SlotRefusal::kClosed;
        if (closed) return refuse(key, ErrorCode::kDraining, base::Duration(0));
        refuse(key, ErrorCode::kOnProbation, kProbationRetryAfter);
      });
  const auto found = calls_.find(key);
  if (found != calls_.end() && !found->second.onProbation) found->second.probationTicket = ticket;
  armExpiry();
}

void EndpointCalls::refuseHeld(const CallKey& key) {
  ++counters_.heldBack;
  refuse(key, ErrorCode::kRequestHeld, quarantine_->retryAfter(fingerprintOfCall(key)));
}

/// Returns whether a call may run now that it has a slot. One that became a suspect meanwhile releases its slot.
bool EndpointCalls::mayRunNow(const CallKey& key) {
  auto& call = calls_.at(key);
  const auto currentStatus = statusOfCall(key);
  if (currentStatus == request_status::held) {
    refuseHeld(key);
    return false;
  }
  if (call.onProbation) {
    ++counters_.probationRuns;
    return true;
  }
  if (currentStatus == request_status::clear) return true;
  call.running = false;
  limiter_.release(base::Duration(0), call.priority);
  putOnProbation(key);
  return false;
}

void EndpointCalls::onQuarantineChange() {
  std::vector<CallKey> waiting;
  for (const auto& [key, call] : calls_) {
    if (call.probationTicket != 0) waiting.push_back(key);
  }
  for (const auto& key : waiting) {
    const auto found = calls_.find(key);
    if (found == calls_.end() || found->second.probationTicket == 0) continue;
    const auto currentStatus = statusOfCall(key);
    if (currentStatus == request_status::suspect) continue;
    probationLimiter_.cancel(found->second.probationTicket);
    found->second.probationTicket = 0;
    found->second.suspect = false;
    if (currentStatus == request_status::held) {
      refuseHeld(key);
    } else {
      acquireSlot(key);
    }
  }
}

/// Handles a run that the back end ended without an answer: it closed the connection, crashed or restarted.
void EndpointCalls::onBackendDisconnected(const CallKey& key) {
  ++counters_.cutRuns;
  if (watch_ == nullptr || backendStopping_) return answerUnknown(key, ErrorCode::kBackendFailed);
  const quarantine::crashed_run run{fingerprintOfCall(key), calls_.at(key).onProbation};
  watch_->onDisconnected(run, [this, alive = std::weak_ptr<bool>(alive_), key](std::optional<uint64_t> crash) {
    if (alive.expired() || calls_.count(key) == 0) return;
    if (crash) return answerCrashed(key, *crash);
    answerUnknown(key, ErrorCode::kBackendFailed);
  });
}

void EndpointCalls::answerCrashed(const CallKey& key, uint64_t crash) {
  ++counters_.unknown;
  logUnknown(key, ErrorCode::kBackendCrashed);
  wire::CallResponse response;
  response.outcome = wire::CallOutcome::UNKNOWN;
  response.errorCode = static_cast<int>(ErrorCode::kBackendCrashed);
  response.crashId = static_cast<int64_t>(crash);
  response.onProbation = calls_.at(key).onProbation;
  releaseSlot(calls_.at(key));
  answer(key, std::move(response));
}

void EndpointCalls::recordSuccessfulRun(const CallKey& key) {
  if (quarantine_ != nullptr && !quarantine_->empty()) quarantine_->onRunSucceeded(fingerprintOfCall(key));
}

}  // namespace driftlug::node
