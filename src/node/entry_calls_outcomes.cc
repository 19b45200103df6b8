/// Outcomes of attempts: which calls are retried, and which are answered.
#include <algorithm>
#include <utility>

#include "node/entry_calls.h"
#include "node/http_status.h"
#include "wire/frame.h"
#include "wire/http_syntax.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using wire::CallOutcome;

}  // namespace

/// @param body of the answer, if it is not a part of `response` and no pieces follow
void EntryCalls::onResponse(base::ConnectionId connection, wire::CallResponse response, memory::shared_body body) {
  const bool handedOver = response.bodyBytes > 0 && exchange_ != nullptr && network_.isWithinProcess(connection);
  if (handedOver) body = exchange_->takeResponse(response.callId);
  const auto found = attempts_.find(response.callId);
  if (found == attempts_.end() || found->second.connection != connection) {
    ++counters_.lateAnswers;
    return;
  }
  replaceInvalidResponse(connection, &response);
  if (body.empty()) {
    if (gatherAnswer(response.callId, response)) return;
    body = std::move(response.body);
  }
  const auto attempt = found->second;
  attempts_.erase(found);
  removeAttempt(attempt.call, response.callId);
  observeResponse(response);
  const auto error = static_cast<ErrorCode>(response.errorCode);
  const auto latency = scheduler_.now() - attempt.sentAt;
  if (response.outcome == CallOutcome::COMPLETED) return onCompleted(attempt, response, std::move(body));
  if (response.outcome == CallOutcome::NOT_RUN) return onNotRun(attempt, response);
  picker_.onDone(attempt.endpoint, latency, true);
  if (error == ErrorCode::kBackendCrashed) recordCrash(attempt, response);
  const int status = error == ErrorCode::kDeadlineExceeded ? kGatewayTimeoutStatus : kBadGatewayStatus;
  onAttemptFailed(attempt.call, AttemptProgress::kMayHaveRun, failureAnswer(CallOutcome::UNKNOWN, error, status, 0));
}

/// Replaces a response of a back end that is not valid HTTP by a failure: nodes of earlier builds pass it on, and their
/// ledger may have stored it.
void EntryCalls::replaceInvalidResponse(base::ConnectionId connection, wire::CallResponse* response) {
  if (response->outcome != CallOutcome::COMPLETED || answers_.gathers(response->callId)) return;
  const auto error = wire::checkFinalResponse(response->httpStatus, response->headers);
  if (error == wire::HttpHeadError::kNone) return;
  ++counters_.invalidResponses;
  decisionLog_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("invalid response attempt={} endpoint={} error={}", response->callId,
                       attempts_.at(response->callId).endpoint, wire::nameOf(error));
  });
  if (response->bodyBytes > 0) {
    wire::CallCancel cancel;
    cancel.callId = response->callId;
    network_.send(connection, wire::encodeFrame(cancel));
  }
  wire::CallResponse failure;
  failure.callId = response->callId;
  failure.outcome = CallOutcome::UNKNOWN;
  failure.errorCode = static_cast<int>(ErrorCode::kBackendFailed);
  *response = std::move(failure);
}

void EntryCalls::onCompleted(const Attempt& attempt, const wire::CallResponse& response, memory::shared_body body) {
  picker_.onDone(attempt.endpoint, scheduler_.now() - attempt.sentAt, false);
  picker_.onLoadReport(attempt.endpoint, response.inFlight);
  const auto notice = backpressure::readNotice(response.headers, options_.notices);
  notices_.onResponse(attempt.endpoint, notice, attempt.sentAt);
  if (notice.leaving) links_.markLeaving(attempt.endpoint);
  CallAnswer answer;
  answer.outcome = CallOutcome::COMPLETED;
  answer.httpStatus = response.httpStatus;
  answer.headers = response.headers;
  answer.body = std::move(body);
  const auto found = calls_.find(attempt.call);
  if (found == calls_.end()) return;
  auto& call = found->second;
  const bool failed = response.httpStatus >= kFirstServerError;
  if (!failed) recordLatency(call.route, scheduler_.now() - attempt.sentAt);
  const bool hasAlternative = !call.inFlight.empty() || (hedgingEnabledFor(&call) && pickIdleEndpoint(call) != nullptr);
  if (!failed || !call.repeatable || !hasAlternative) return finish(attempt.call, std::move(answer));
  onAttemptFailed(attempt.call, AttemptProgress::kMayHaveRun, std::move(answer));
}

void EntryCalls::onNotRun(const Attempt& attempt, const wire::CallResponse& response) {
  const auto error = static_cast<ErrorCode>(response.errorCode);
  if (error == ErrorCode::kBackendUnreachable) {
    picker_.onDone(attempt.endpoint, scheduler_.now() - attempt.sentAt, true);
  } else {
    picker_.onAbandoned(attempt.endpoint);
  }
  onRefusedByNode(attempt, response);
  const bool noTimeLeft = error == ErrorCode::kNoTimeLeft;
  if (error == ErrorCode::kOverloaded || noTimeLeft || error == ErrorCode::kBackendRateLimited) {
    picker_.onLoadReport(attempt.endpoint, response.inFlight);
    const auto call = calls_.find(attempt.call);
    const auto fullFor = std::max(options_.fullFor, withJitter(base::milliseconds(response.fullForMs)));
    if (response.fullForBodies) {
      picker_.onLargeBodyRefused(attempt.endpoint, fullFor);
    } else if (call != calls_.end()) {
      picker_.onRequestRefused(attempt.endpoint, rankOf(call->second), fullFor);
    }
  }
  if (error == ErrorCode::kKeyReused) {
    return finish(attempt.call, failureAnswer(CallOutcome::NOT_RUN, error, kUnprocessableStatus, 0));
  }
  if (error == ErrorCode::kRequestHeld) return finishHeld(attempt.call, response.retryAfterMs);
  // The endpoint's own node is authoritative for draining, so this does not wait for an announcement by a relay.
  const bool leaving = error == ErrorCode::kDraining || error == ErrorCode::kWrongEndpoint;
  if (leaving && !attempt.withdrawn) picker_.setAvailable(attempt.endpoint, false);
  if (error == ErrorCode::kWrongEndpoint) links_.removeAnnounced(attempt.endpoint);
  const bool reachedBackend = error == ErrorCode::kBackendRefused;
  const int suggestedMs = response.retryAfterMs > 0 ? response.retryAfterMs : kDefaultRetryAfterMs;
  const int retryAfterMs = noTimeLeft ? suggestedMs : base::millisecondsOf(withJitter(base::milliseconds(suggestedMs)));
  onAttemptFailed(attempt.call, reachedBackend ? AttemptProgress::kRefusedByBackend : AttemptProgress::kBeforeBackend,
                  failureAnswer(CallOutcome::NOT_RUN, error, kUnavailableStatus, retryAfterMs));
}

void EntryCalls::onAttemptFailed(CallId id, AttemptProgress progress, CallAnswer failure) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  // A back end's own answer is more useful to the caller than a later refusal.
  const bool answered = call.lastFailure.outcome == CallOutcome::COMPLETED;
  const bool rateLimited = failure.error == ErrorCode::kBackendRateLimited;
  // The caller may return as soon as one of the endpoints that refused it has room.
  if (rateLimited && call.lastFailure.error == ErrorCode::kBackendRateLimited)
    failure.retryAfterMs = std::min(failure.retryAfterMs, call.lastFailure.retryAfterMs);
  // Another endpoint had no room, but could still answer before the deadline.
  const bool othersHaveTime =
      failure.error == ErrorCode::kNoTimeLeft && call.lastFailure.error == ErrorCode::kOverloaded;
  if ((!answered && !othersHaveTime) || failure.outcome == CallOutcome::COMPLETED)
    call.lastFailure = std::move(failure);
  call.mayHaveRun = call.mayHaveRun || progress == AttemptProgress::kMayHaveRun;
  const bool atBackend = progress != AttemptProgress::kBeforeBackend;
  if (atBackend) {
    ++call.attempts;
  } else if (!rateLimited) {
    // Refusals by rate limits are not counted: the other endpoints are tried before the caller is refused.
    ++call.refusals;
  }
  if (!call.inFlight.empty()) return;  // the other attempt of a hedged call decides the outcome
  const bool safe = progress != AttemptProgress::kMayHaveRun || call.repeatable;
  const bool mayRepeat = safe && !call.bodyReleased;
  const bool attemptsLeft = call.attempts < call.maxAttempts && call.refusals < options_.maxRefusals;
  const bool allowed = options_.retries && !stopping_ && mayRepeat && attemptsLeft && scheduler_.now() < call.deadline;
  if (!allowed) {
    const char* reason = !safe ? "may_have_run" : mayRepeat ? "attempts_used" : "body_released";
    logAttemptFailed(&call, progress, false, stopping_ ? "stopping" : reason);
    return finish(id, call.lastFailure);
  }
  // A retry after a refusal by a node costs no back end any work, so it is not charged to the budget.
  if (atBackend && !retryBudgets_[call.service].spend()) {
    ++counters_.budgetDenials;
    logAttemptFailed(&call, progress, false, "budget_spent");
    return finish(id, call.lastFailure);
  }
  ++counters_.retries;
  logAttemptFailed(&call, progress, true, "allowed");
  attempt(id);
}

std::string EntryCalls::requestIdOf(const Call& call) const {
  return options_.requestIdHeader.empty() ? "" : headerValue(call.inbound.headers, options_.requestIdHeader);
}

std::string EntryCalls::fingerprintText(Call* call) { return quarantine::toText(fingerprintOfCall(call)); }

void EntryCalls::logAttemptFailed(Call* failed, AttemptProgress progress, bool willRetry, const char* reason) {
  decisionLog_.write(base::LinePriority::kFailure, [&] {
    const auto& call = *failed;
    const char* reached = progress == AttemptProgress::kBeforeBackend ? "node"
                          : progress == AttemptProgress::kMayHaveRun  ? "may_have_run"
                                                                      : "refused";
    return fmt::format(
        "attempt call={} request={} route={} service={} endpoint={} error={} reached={} attempts={} refusals={} "
        "repeatable={} again={} because={} table={}",
        requestIdOf(call), fingerprintText(failed), call.route, call.service, call.endpoint,
        base::errorName(call.lastFailure.error), reached, call.attempts, call.refusals, call.repeatable, willRetry,
        reason, call.table ? call.table->revision() : 0);
  });
}

void EntryCalls::logOutcome(Call* finished, const CallAnswer& answer) {
  const bool completed = answer.outcome == CallOutcome::COMPLETED;
  const auto linePriority = completed ? base::LinePriority::kRoutine : base::LinePriority::kFailure;
  decisionLog_.write(linePriority, [&] {
    const auto& call = *finished;
    const char* outcome = completed ? "completed" : answer.outcome == CallOutcome::NOT_RUN ? "not_run" : "unknown";
    const auto now = scheduler_.now();
    return fmt::format(
        "outcome call={} {} {}{} route={} tenant={} service={} endpoint={} outcome={} status={} error={} "
        "attempts={} refusals={} waited_before_ms={} elapsed_ms={} left_ms={} retry_after_ms={} table={}{}",
        requestIdOf(call), call.inbound.method, call.inbound.host, call.inbound.path, call.route, call.tenant,
        call.service, call.endpoint, outcome, answer.httpStatus, base::errorName(answer.error), call.attempts,
        call.refusals, call.waitedMs, remainingMs(now, call.startedAt), remainingMs(call.deadline, now),
        answer.retryAfterMs, call.table ? call.table->revision() : 0,
        completed ? "" : " request=" + fingerprintText(finished));
  });
}

}  // namespace driftlug::node
