/// Requests that crash what runs them, at the node that takes them from callers.
#include <algorithm>

#include "node/call_fingerprint.h"
#include "node/entry_calls.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using quarantine::standing;
using wire::CallOutcome;

constexpr int kUnavailableStatus = 503;
/// A suspect does not run on the last endpoint of a service that takes work while the others are away, unless they stay
/// away for longer than it takes a process to start again. Where two back ends are left and a request ends the first,
/// the service keeps the second: 0.994 of the others' requests in time instead of 0.945, 0.001 lost instead of 0.048 (a
/// fleet of two back ends, 80 calls a second, a guilty request for 55 s, means of 20 seeds).
constexpr base::Duration kWaitForOthers = base::seconds(5);

}  // namespace

const quarantine::request_fingerprint& EntryCalls::fingerprintOfCall(Call* call) {
  if (!call->fingerprint) call->fingerprint = fingerprintOf(call->inbound);
  return *call->fingerprint;
}

standing EntryCalls::judge(Call* call) {
  if (quarantine_ == nullptr || quarantine_->empty()) return standing::clear;
  return quarantine_->standingOf(fingerprintOfCall(call), call->service);
}

void EntryCalls::finishHeld(CallId id, int retryAfterMs) {
  ++counters_.heldBack;
  finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kRequestHeld, kUnavailableStatus, retryAfterMs));
}

/// All nodes choose the same endpoint for a request, so that its copies meet there and wait for each other: a request
/// that crashes what runs it ends two back ends of a service, the second on probation, whatever many callers send it.
void EntryCalls::attemptOnProbation(CallId id, Call* call) {
  const auto* target = picker_.pickByKey(fingerprintOfCall(call).low, candidatesFor(*call), call->tried);
  if (target == nullptr) {
    if (!call->tried.empty()) return finish(id, call->lastFailure);
    return finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kNoEndpoint, kUnavailableStatus,
                                    base::millisecondsOf(spread(options_.overloadRetryAfter))));
  }
  const bool needed = picker_.hasSingleUsableEndpoint(candidatesFor(*call));
  if (needed && quarantine_->history().sinceLastCrash(fingerprintOfCall(call)) < kWaitForOthers) {
    return finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kOnProbation, kUnavailableStatus,
                                    base::millisecondsOf(spread(options_.overloadRetryAfter))));
  }
  ++counters_.probations;
  send(id, call, *target, true);
}

/// What the answer tells is known here at once, so that the next attempt of this call is on probation already.
void EntryCalls::noteCrash(const Attempt& attempt, const wire::CallResponse& response) {
  picker_.eject(attempt.endpoint);
  const auto call = calls_.find(attempt.call);
  if (quarantine_ == nullptr || call == calls_.end()) return;
  const quarantine::crashed_run run{fingerprintOfCall(&call->second), response.onProbation};
  quarantine_->onCrashElsewhere(static_cast<uint64_t>(response.crashId), call->second.service, attempt.endpoint, run);
}

}  // namespace driftlug::node
