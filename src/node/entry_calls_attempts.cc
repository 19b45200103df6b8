/// Attempts of calls: which endpoints may get them, and what is sent.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node/entry_calls.h"
#include "node/http_status.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using wire::CallOutcome;

/// Lower bound of the retry-after hint when an endpoint is about to be used again: a hint of 0 means that the time is
/// unknown.
constexpr int kMinRetryAfterMs = 10;

}  // namespace

void EntryCalls::attempt(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  if (!canEndInTime(call)) {
    ++counters_.refusedForStop;
    return finish(id, call.tried.empty() ? stoppingAnswer() : call.lastFailure);
  }
  switch (quarantineStatus(&call)) {
    case quarantine::request_status::held:
      return finishHeld(id, base::millisecondsOf(quarantine_->retryAfter(fingerprintOfCall(&call))));
    case quarantine::request_status::suspect:
      return attemptOnProbation(id, &call);
    case quarantine::request_status::clear:
      break;
  }
  // Uses the current table, so that a retry does not go to an endpoint that was removed meanwhile.
  if (call.tried.empty()) call.useTargetVersion = drawsTargetVersion(call.service);
  const auto* reserved = reservedEndpoint(call);
  const auto* target = reserved != nullptr ? reserved : pickEndpoint(call);
  if (target == nullptr) {
    links_.addExtraLinks(call.service);
    if (!call.tried.empty()) return finish(id, call.lastFailure);
    return finish(id, noEndpointAnswer(call));
  }
  send(id, &call, *target);
  startHedgeTimer(id, &call);
}

bool EntryCalls::drawsTargetVersion(const std::string& service) {
  const auto* versions = table_->versions(service);
  if (versions == nullptr || !versions->running || (isFresh_ && !isFresh_())) return false;
  const int standing = rollout::kWholePermille - versions->targetPermille;
  const auto drawn =
      versionSplits_[service].pick({{versions->standing, standing}, {versions->target, versions->targetPermille}});
  return drawn == versions->target;
}

/// While a rollout runs, only the first attempt of a call may go to the target version; retries go to the standing
/// version, which is known to work, unless that is being retired.
const std::vector<routing::EndpointTarget>& EntryCalls::candidatesFor(const Call& call) const {
  const auto* versions = table_->versions(call.service);
  if (versions == nullptr || !versions->running) return links_.chosenEndpoints(call.service);
  if (versions->retiring) return links_.chosenEndpoints(call.service, versions->target);
  const auto& targetEndpoints = links_.chosenEndpoints(call.service, versions->target);
  const bool first = call.useTargetVersion && call.tried.empty();
  return first && !targetEndpoints.empty() ? targetEndpoints : links_.chosenEndpoints(call.service, versions->standing);
}

/// @return whether a call could go to another endpoint than the given one that has no known rate limit.
bool EntryCalls::hasAlternative(const Call& call, const std::string& endpoint) {
  const auto& endpoints = candidatesFor(call);
  // Without any rate limit, the exact answer is not worth its cost: it matters only until the first response.
  if (notices_.rateLimited() == 0) return endpoints.size() > call.tried.size();
  const size_t bytes = call.bodyBytes;
  const auto usable =
      picker_.usableEndpoints(endpoints, call.tried, rankOf(call), bytes > options_.inlineBodyBytes ? bytes : 0);
  return std::any_of(usable.begin(), usable.end(), [&](const auto* other) {
    return other->name != endpoint && picker_.isHealthy(other->name) && !notices_.rateOf(other->name);
  });
}

/// @return the answer for a call that no endpoint may get now.
CallAnswer EntryCalls::noEndpointAnswer(const Call& call) {
  const auto& endpoints = candidatesFor(call);
  const bool rateLimited = std::any_of(endpoints.begin(), endpoints.end(),
                                       [this](const auto& endpoint) { return notices_.rateOf(endpoint.name); });
  const auto refused = picker_.refusedFor(endpoints, rankOf(call));
  if (rateLimited && refused) {
    return failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kBackendRateLimited, kUnavailableStatus,
                         std::max(kMinRetryAfterMs, base::millisecondsOf(withJitter(*refused))));
  }
  return failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kNoEndpoint, kUnavailableStatus,
                       base::millisecondsOf(withJitter(options_.overloadRetryAfter)));
}

/// Ends an attempt in progress that failed because of its endpoint or the link to it.
EntryCalls::Attempt EntryCalls::endFailedAttempt(int64_t attemptId) {
  auto attempt = attempts_.extract(attemptId).mapped();
  answers_.drop(attemptId);
  if (exchange_ != nullptr) exchange_->drop(attemptId);
  removeAttempt(attempt.call, attemptId);
  placement_.onEnded(attemptId, routing::attempt_end::refused);
  picker_.onDone(attempt.endpoint, scheduler_.now() - attempt.sentAt, true);
  return attempt;
}

void EntryCalls::removeAttempt(CallId call, int64_t attemptId) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) std::erase(found->second.inFlight, attemptId);
}

void EntryCalls::send(CallId id, Call* call, const routing::EndpointTarget& target, bool suspect) {
  const auto now = scheduler_.now();
  const auto attemptId = nextAttempt_++;
  ++counters_.attempts;
  call->tried.insert(target.name);
  call->endpoint = target.name;
  call->inFlight.push_back(attemptId);
  const auto& link = links_.link(target.name);
  const size_t bodyBytes = call->bodyBytes;
  const bool inPieces = link.takesBodyPieces && bodyBytes > options_.inlineBodyBytes;
  const bool handsOver =
      exchange_ != nullptr && bodyBytes >= BodyExchange::kMinBytes && network_.isWithinProcess(link.connection);
  attempts_[attemptId] = {id, target.name, link.connection, now, inPieces ? 0 : bodyBytes};
  picker_.onSent(target.name);
  observeSent(attemptId, *call);
  links_.onSent(target.name);
  wire::CallRequest request;
  request.callId = attemptId;
  request.serviceName = call->service;
  request.method = call->inbound.method;
  request.path = call->inbound.path;
  request.headers = call->inbound.headers;
  if (handsOver) exchange_->putRequest(attemptId, call->inbound.body);
  if (inPieces || handsOver) {
    request.bodyBytes = static_cast<int64_t>(bodyBytes);
  } else {
    request.body = call->inbound.body.view();
  }
  request.remainingMs = static_cast<int32_t>(std::max<int64_t>(1, remainingMs(call->deadline, now)));
  request.idempotencyKey = call->idempotencyKey;
  request.endpoint = target.name;
  request.priority = call->priority;
  request.targetLatencyMs = call->targetLatencyMs;
  request.largeAnswer = call->largeAnswer;
  request.runOnce = !call->repeatable;
  request.waitedMs = call->waitedMs;
  request.suspect = suspect;
  request.tenant = call->tenant;
  if (call->reservation && call->reservation->endpoint == target.name) request.reservationId = call->reservation->id;
  request.hasAlternative = !suspect && hasAlternative(*call, target.name);
  if (const auto rate = notices_.rateOf(target.name)) request.__set_knownRatePerS(*rate);
  const auto* versions = table_->versions(call->service);
  if (versions != nullptr && versions->running) {
    request.__set_route(static_cast<int64_t>(XXH3_64bits(call->route.data(), call->route.size())));
  }
  network_.send(link.connection, wire::encodeFrame(request));
}

void EntryCalls::onBodyGrant(base::ConnectionId connection, const wire::CallBodyGrant& grant) {
  const auto found = attempts_.find(grant.callId);
  if (found == attempts_.end() || found->second.connection != connection) return;
  auto& attempt = found->second;
  const auto body = calls_.at(attempt.call).inbound.body.view();
  const size_t upTo = std::min(body.size(), static_cast<size_t>(std::max<int64_t>(0, grant.upToBytes)));
  if (upTo <= attempt.bodyBytesSent) return;
  wire::CallBodyPiece piece;
  piece.callId = grant.callId;
  piece.data = body.substr(attempt.bodyBytesSent, upTo - attempt.bodyBytesSent);
  attempt.bodyBytesSent = upTo;
  network_.send(connection, wire::encodeFrame(piece));
}

bool EntryCalls::isBodySent(const Attempt& attempt) const {
  const auto call = calls_.find(attempt.call);
  return call == calls_.end() || attempt.bodyBytesSent == call->second.bodyBytes;
}

}  // namespace driftlug::node
