#include "node/entry_calls.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node/call_fingerprint.h"
#include "table/validator.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using wire::CallOutcome;

constexpr char kIdempotencyHeader[] = "idempotency-key";
constexpr int kUnavailableStatus = 503;
constexpr int kNotFoundStatus = 404;
constexpr int kUnauthorizedStatus = 401;
constexpr int kBadGatewayStatus = 502;
constexpr int kGatewayTimeoutStatus = 504;
constexpr int kUnprocessableStatus = 422;
constexpr int kFirstServerError = 500;
constexpr int kDefaultRetryAfterMs = 200;
/// Lower bound of the retry-after hint when an endpoint is about to be used again: a hint of 0 means that the time is
/// unknown.
constexpr int kMinRetryAfterMs = 10;
/// Retry-after hint while this node has no routing table: it has just started, and receives one within about a second.
constexpr int kNoTableRetryAfterMs = 1000;

/// One line in 5 s: a line lists all candidates, and a node chooses some 20 times a second.
constexpr base::DecisionLogLimits kPlacementLogLimits{1, 0.2, 5};

int64_t remainingMs(base::TimePoint deadline, base::TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

LinkOptions linkOptionsOf(const EntryOptions& options) {
  auto links = options.links;
  links.nodeId = options.nodeId;
  links.zone = options.zone;
  return links;
}

}  // namespace

EntryCalls::EntryCalls(EntryOptions options, base::Scheduler& scheduler, base::RandomSource random,
                       base::Network& network)
    : options_(std::move(options)),
      scheduler_(scheduler),
      random_(random),
      network_(network),
      picker_(options_.picker, scheduler, base::RandomSource(random_.bits())),
      placement_(picker_, scheduler, base::RandomSource(XXH3_64bits(options_.nodeId.data(), options_.nodeId.size()))),
      links_(
          linkOptionsOf(options_), scheduler, base::RandomSource(random_.bits()), network, picker_,
          [this](base::ConnectionId connection, const std::string& endpoint) { onLinkLost(connection, endpoint); },
          [this](base::ConnectionId connection, const std::string&) { onLinkSilent(connection); }),
      notices_(scheduler),
      decisionLog_("entry", scheduler),
      placementLog_("entry", scheduler, kPlacementLogLimits) {
  picker_.useChooser(placement_);
}

EntryCalls::~EntryCalls() { alive_.reset(); }

void EntryCalls::useTable(routing::RoutingTablePtr table) {
  table_ = std::move(table);
  links_.useTable(table_);
}

void EntryCalls::onOpen(base::ConnectionId connection, const wire::Hello& peer) { links_.onOpen(connection, peer); }

void EntryCalls::onClose(base::ConnectionId connection) { links_.onClose(connection); }

void EntryCalls::onLinkLost(base::ConnectionId connection, const std::string& endpoint) {
  std::vector<int64_t> lost;
  for (const auto& [attemptId, attempt] : attempts_) {
    if (attempt.connection == connection) lost.push_back(attemptId);
  }
  for (const auto attemptId : lost) {
    const auto attempt = attempts_[attemptId];
    attempts_.erase(attemptId);
    answers_.drop(attemptId);
    removeAttempt(attempt.call, attemptId);
    placement_.onEnded(attemptId, routing::attempt_end::refused);
    picker_.onDone(endpoint, base::Duration(0), true);
    if (!isBodySent(attempt)) {
      onAttemptFailed(attempt.call, AttemptProgress::kBeforeBackend,
                      failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kConnectionLost, kUnavailableStatus,
                                    base::millisecondsOf(withJitter(options_.overloadRetryAfter))));
      continue;
    }
    onAttemptFailed(attempt.call, AttemptProgress::kMayHaveRun,
                    failureAnswer(CallOutcome::UNKNOWN, ErrorCode::kConnectionLost, kBadGatewayStatus, 0));
  }
}

void EntryCalls::onEndpointStates(const std::vector<wire::EndpointState>& states) { links_.onStates(states); }

int EntryCalls::rankOf(const Call& call) {
  // Endpoints queue calls by priority, then by target latency, shortest first.
  constexpr int kTargets = table::kMaxTimeoutMs + 1;
  constexpr int kLateRank = 1 << 30;  // ranks behind all priorities
  static_assert(table::kMaxPriority * kTargets + table::kMaxTimeoutMs < kLateRank);
  const bool late = call.targetLatencyMs > 0 && call.waitedMs >= call.targetLatencyMs;
  return call.priority * kTargets + call.targetLatencyMs + (late ? kLateRank : 0);
}

base::Duration EntryCalls::withJitter(base::Duration duration) {
  // Jitter of 25% either way, so that callers that were refused together do not retry together.
  return duration * 3 / 4 + random_.duration(duration / 2 + base::Duration(1));
}

std::string EntryCalls::generateIdempotencyKey() {
  return options_.nodeId + "-" + absl::StrFormat("%016x", random_.bits());
}

const routing::Route* EntryCalls::findRoute(const InboundCall& inbound) const {
  if (!table_) return nullptr;
  const std::string_view path = inbound.path;
  return table_->match(inbound.host, path.substr(0, path.find('?')), inbound.method);
}

CallId EntryCalls::begin(InboundCall inbound, AnswerCallback done) {
  const auto id = nextCall_++;
  ++counters_.calls;
  auto& call = calls_[id];
  call.inbound = std::move(inbound);
  call.done = std::move(done);
  call.table = table_;
  const auto now = scheduler_.now();
  call.startedAt = now;
  const auto* route = findRoute(call.inbound);
  if (refusingNewCalls_ || !table_) {
    const auto error = refusingNewCalls_ ? ErrorCode::kDraining : ErrorCode::kNoTable;
    const int retryAfterMs = refusingNewCalls_ ? kDefaultRetryAfterMs : kNoTableRetryAfterMs;
    finishLater(id, failureAnswer(CallOutcome::NOT_RUN, error, kUnavailableStatus, retryAfterMs));
    return id;
  }
  if (route == nullptr) {
    finishLater(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kNoRoute, kNotFoundStatus, 0));
    return id;
  }
  call.priority = route->priority;
  if (!authenticate(&call, *route)) {
    ++counters_.unknownKeys;
    finishLater(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kUnknownKey, kUnauthorizedStatus, 0));
    return id;
  }
  int timeoutMs = route->timeoutMs;
  if (call.inbound.deadlineMs > 0) timeoutMs = std::min(timeoutMs, call.inbound.deadlineMs);
  call.deadline = now + base::milliseconds(timeoutMs);
  call.route = route->name;
  call.repeatable = route->repeatable;
  call.targetLatencyMs = route->targetLatencyMs;
  call.largeAnswer = route->largeAnswers;
  if (options_.deprioritizeLateCalls)
    call.waitedMs = callerWaitEstimators_[route->name].onCall(call.inbound.deadlineMs);
  call.service = routeSplits_[route->name].pick(route->shares);
  const auto rule = table_->retryRule(call.service).value_or(options_.defaultRetry);
  call.maxAttempts = route->maxAttempts > 0 ? route->maxAttempts : rule.maxAttempts;
  call.idempotencyKey = headerValue(call.inbound.headers, kIdempotencyHeader);
  if (!call.repeatable && call.idempotencyKey.empty() && options_.generateIdempotencyKeys)
    call.idempotencyKey = generateIdempotencyKey();
  if (call.repeatable) call.idempotencyKey.clear();
  beginReturn(&call);
  call.timer = scheduler_.schedule(call.deadline - now, [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (!alive.expired()) onDeadline(id);
  });
  auto& budget = retryBudgets_.try_emplace(call.service, options_.retryBurst).first->second;
  budget.setBurst(retryBurst());
  budget.onRequest(rule.budgetPercent);
  const auto* tenant = call.tenant.empty() ? nullptr : table_->tenants().findByName(call.tenant);
  if (quotas_ != nullptr && tenant != nullptr && tenant->limited()) {
    requestPermit(id, call.tenant);
    return id;
  }
  scheduler_.schedule(base::Duration(0), [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (!alive.expired()) attempt(id);
  });
  return id;
}

/// Estimates the number of sending nodes by the number of endpoints, since each endpoint has a node of its own.
double EntryCalls::retryBurst() const {
  if (options_.retrySlack <= 0) return options_.retryBurst;
  const auto nodes = static_cast<double>(std::max<size_t>(1, links_.knownEndpointCount()));
  return std::clamp(options_.retrySlack / nodes, 1.0, std::max(1.0, options_.retryBurst));
}

void EntryCalls::finishLater(CallId id, CallAnswer answer) {
  scheduler_.schedule(base::Duration(0), [this, alive = std::weak_ptr<bool>(alive_), id, answer = std::move(answer)] {
    if (!alive.expired()) finish(id, answer);
  });
}

void EntryCalls::attempt(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
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
  const size_t bytes = call.inbound.body.size();
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
  const size_t bodyBytes = call->inbound.body.size();
  const bool inPieces = link.takesBodyPieces && bodyBytes > options_.inlineBodyBytes;
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
  if (inPieces) {
    request.bodyBytes = static_cast<int64_t>(bodyBytes);
  } else {
    request.body = call->inbound.body;
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

void EntryCalls::onMessage(base::ConnectionId connection, wire::Message message) {
  links_.onMessageReceived(connection);
  if (const auto* response = std::get_if<wire::CallResponse>(&message)) onResponse(connection, *response);
  if (const auto* grant = std::get_if<wire::CallBodyGrant>(&message)) onBodyGrant(connection, *grant);
  if (const auto* accepted = std::get_if<wire::CallAccepted>(&message)) {
    observeAccepted(connection, *accepted);
    onAccepted(connection, *accepted);
  }
  if (const auto* piece = std::get_if<wire::CallAnswerPiece>(&message)) onAnswerPiece(connection, *piece);
}

void EntryCalls::onBodyGrant(base::ConnectionId connection, const wire::CallBodyGrant& grant) {
  const auto found = attempts_.find(grant.callId);
  if (found == attempts_.end() || found->second.connection != connection) return;
  auto& attempt = found->second;
  const auto& body = calls_.at(attempt.call).inbound.body;
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
  return call == calls_.end() || attempt.bodyBytesSent == call->second.inbound.body.size();
}

void EntryCalls::refuseWaiting() {
  stopping_ = true;
  std::vector<CallId> unsent;
  for (const auto& [id, call] : calls_) {
    const bool mayHaveArrived = std::any_of(call.inFlight.begin(), call.inFlight.end(), [this](int64_t attemptId) {
      const auto attempt = attempts_.find(attemptId);
      return attempt == attempts_.end() || isBodySent(attempt->second);
    });
    if (!mayHaveArrived) unsent.push_back(id);
  }
  for (const auto id : unsent) {
    finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kDraining, kUnavailableStatus, kDefaultRetryAfterMs));
  }
  for (const auto& [attemptId, attempt] : attempts_) {
    if (!links_.link(attempt.endpoint).supportsWithdrawals) continue;
    wire::CallWithdraw withdraw;
    withdraw.callId = attemptId;
    network_.send(attempt.connection, wire::encodeFrame(withdraw));
  }
}

void EntryCalls::onResponse(base::ConnectionId connection, const wire::CallResponse& response) {
  const auto found = attempts_.find(response.callId);
  if (found == attempts_.end() || found->second.connection != connection) {
    ++counters_.lateAnswers;
    return;
  }
  if (gatherAnswer(response.callId, response)) return;
  const auto attempt = found->second;
  attempts_.erase(found);
  removeAttempt(attempt.call, response.callId);
  observeResponse(response);
  const auto error = static_cast<ErrorCode>(response.errorCode);
  const auto latency = scheduler_.now() - attempt.sentAt;
  if (response.outcome == CallOutcome::COMPLETED) return onCompleted(attempt, response);
  if (response.outcome == CallOutcome::NOT_RUN) return onNotRun(attempt, response);
  picker_.onDone(attempt.endpoint, latency, true);
  if (error == ErrorCode::kBackendCrashed) recordCrash(attempt, response);
  const int status = error == ErrorCode::kDeadlineExceeded ? kGatewayTimeoutStatus : kBadGatewayStatus;
  onAttemptFailed(attempt.call, AttemptProgress::kMayHaveRun, failureAnswer(CallOutcome::UNKNOWN, error, status, 0));
}

void EntryCalls::onCompleted(const Attempt& attempt, const wire::CallResponse& response) {
  picker_.onDone(attempt.endpoint, scheduler_.now() - attempt.sentAt, false);
  picker_.onLoadReport(attempt.endpoint, response.inFlight);
  const auto notice = backpressure::readNotice(response.headers, options_.notices);
  notices_.onResponse(attempt.endpoint, notice, attempt.sentAt);
  if (notice.leaving) links_.markLeaving(attempt.endpoint);
  CallAnswer answer;
  answer.outcome = CallOutcome::COMPLETED;
  answer.httpStatus = response.httpStatus;
  answer.headers = response.headers;
  answer.body = response.body;
  const auto found = calls_.find(attempt.call);
  if (found == calls_.end()) return;
  auto& call = found->second;
  const bool failed = response.httpStatus >= kFirstServerError;
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
  if (leaving) picker_.setAvailable(attempt.endpoint, false);
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
  const bool mayRepeat = progress != AttemptProgress::kMayHaveRun || call.repeatable;
  const bool attemptsLeft = call.attempts < call.maxAttempts && call.refusals < options_.maxRefusals;
  const bool allowed = options_.retries && !stopping_ && mayRepeat && attemptsLeft && scheduler_.now() < call.deadline;
  if (!allowed) {
    logAttemptFailed(&call, progress, false, stopping_ ? "stopping" : mayRepeat ? "attempts_used" : "may_have_run");
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

void EntryCalls::onDeadline(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  call.timer = 0;
  const bool inFlight = !call.inFlight.empty();
  const auto outcome = inFlight ? CallOutcome::UNKNOWN : CallOutcome::NOT_RUN;
  finish(id, failureAnswer(outcome, ErrorCode::kDeadlineExceeded, kGatewayTimeoutStatus, 0));
}

void EntryCalls::abandon(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second.done = nullptr;
  finish(id, CallAnswer{});
}

void EntryCalls::finish(CallId id, CallAnswer answer) {
  auto node = calls_.extract(id);
  if (node.empty()) return;
  auto& call = node.mapped();
  scheduler_.cancel(call.timer);
  scheduler_.cancel(call.hedgeTimer);
  if (quotas_ != nullptr && !call.tenant.empty()) quotas_->drop(static_cast<uint64_t>(id));
  for (const auto attemptId : call.inFlight) {
    const auto attempt = attempts_.find(attemptId);
    if (attempt == attempts_.end()) continue;
    wire::CallCancel cancel;
    cancel.callId = attemptId;
    network_.send(attempt->second.connection, wire::encodeFrame(cancel));
    picker_.onDone(attempt->second.endpoint, scheduler_.now() - attempt->second.sentAt, false);
    placement_.onEnded(attemptId, answer.error == ErrorCode::kDeadlineExceeded ? routing::attempt_end::refused
                                                                               : routing::attempt_end::abandoned);
    attempts_.erase(attempt);
    answers_.drop(attemptId);
  }
  endReturn(&call, &answer);
  if (!call.done) {
    ++counters_.abandoned;
    decisionLog_.write(base::LinePriority::kRoutine, [&] {
      return fmt::format("abandoned call={} route={} service={} endpoint={} elapsed_ms={}", requestIdOf(call),
                         call.route, call.service, call.endpoint, remainingMs(scheduler_.now(), call.startedAt));
    });
    return;
  }
  if (call.mayHaveRun && answer.outcome == CallOutcome::NOT_RUN) {
    // The last attempt was refused, but an earlier one may have run.
    answer.outcome = CallOutcome::UNKNOWN;
    if (answer.httpStatus == kUnavailableStatus) answer.httpStatus = kBadGatewayStatus;
  }
  logOutcome(&call, answer);
  if (answer.outcome == CallOutcome::COMPLETED) counters_.completedLatency.record(scheduler_.now() - call.startedAt);
  if (answer.outcome == CallOutcome::COMPLETED) ++counters_.completed;
  if (answer.outcome == CallOutcome::NOT_RUN) ++counters_.refused;
  if (answer.outcome == CallOutcome::UNKNOWN) ++counters_.unknown;
  if (!call.idempotencyKey.empty()) {
    wire::HttpHeader header;
    header.name = kIdempotencyHeader;
    header.value = call.idempotencyKey;
    answer.headers.push_back(header);
  }
  call.done(std::move(answer));
}

CallAnswer EntryCalls::failureAnswer(CallOutcome::type outcome, ErrorCode error, int status, int retryAfterMs) const {
  CallAnswer answer;
  answer.outcome = outcome;
  answer.error = error;
  answer.httpStatus = status;
  answer.retryAfterMs = retryAfterMs;
  return answer;
}

}  // namespace driftlug::node
