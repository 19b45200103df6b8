/// Entry side of the quarantine of requests that crash back ends.
#include <algorithm>

#include "node/call_fingerprint.h"
#include "node/entry_calls.h"
#include "node/http_status.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using quarantine::request_status;
using wire::CallOutcome;

/// A suspect request does not run on the last available endpoint of a service while the others are down, until its last
/// crash is this long ago, which is longer than a process takes to restart. With two back ends, a request that crashes
/// the first then leaves the second running: 0.994 of the other requests are answered in time instead of 0.945, and
/// 0.001 are lost instead of 0.048 (two back ends, 80 calls/s, a crashing request sent for 55 s, means of 20 seeds).
constexpr base::Duration kLastEndpointProbationDelay = base::seconds(5);

}  // namespace

const quarantine::request_fingerprint& EntryCalls::fingerprintOfCall(Call* call) {
  if (!call->fingerprint) call->fingerprint = fingerprintOf(call->inbound);
  return *call->fingerprint;
}

request_status EntryCalls::quarantineStatus(Call* call) {
  if (quarantine_ == nullptr || quarantine_->empty()) return request_status::clear;
  return quarantine_->statusOf(fingerprintOfCall(call), call->service);
}

void EntryCalls::finishHeld(CallId id, int retryAfterMs) {
  ++counters_.heldBack;
  finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kRequestHeld, kUnavailableStatus, retryAfterMs));
}

/// All nodes pick the same endpoint for a request, where its copies queue behind each other. A crashing request thus
/// takes down two back ends of a service at most, the second one on probation, however many callers send it.
void EntryCalls::attemptOnProbation(CallId id, Call* call) {
  const auto* target = picker_.pickByKey(fingerprintOfCall(call).low, candidatesFor(*call), call->tried);
  if (target == nullptr) {
    if (!call->tried.empty()) return finish(id, call->lastFailure);
    return finish(id, noEndpointAnswer(*call));
  }
  const bool isOnlyEndpoint = picker_.hasSingleUsableEndpoint(candidatesFor(*call));
  if (isOnlyEndpoint &&
      quarantine_->history().timeSinceLastCrash(fingerprintOfCall(call)) < kLastEndpointProbationDelay) {
    return finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kOnProbation, kUnavailableStatus,
                                    base::millisecondsOf(withJitter(options_.overloadRetryAfter))));
  }
  ++counters_.probations;
  send(id, call, *target, true);
}

/// Records the crash locally before any relay reports it, so that the next attempt of this call runs on probation.
void EntryCalls::recordCrash(const Attempt& attempt, const wire::CallResponse& response) {
  picker_.eject(attempt.endpoint);
  const auto call = calls_.find(attempt.call);
  if (quarantine_ == nullptr || call == calls_.end()) return;
  const quarantine::crashed_run run{fingerprintOfCall(&call->second), response.onProbation};
  quarantine_->onRemoteCrash(static_cast<uint64_t>(response.crashId), call->second.service, attempt.endpoint, run);
}

}  // namespace driftlug::node
