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
/// Told to callers of a node without a version: it has just started, and gets one within about this time.
constexpr int kNoTableRetryAfterMs = 1000;
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
      links_(
          linkOptionsOf(options_), scheduler, base::RandomSource(random_.bits()), network, picker_,
          [this](base::ConnectionId connection, const std::string& endpoint) { onLinkLost(connection, endpoint); },
          [this](base::ConnectionId connection, const std::string&) { onLinkSilent(connection); }),
      decisions_("entry", scheduler) {}

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
    dropAttempt(attempt.call, attemptId);
    picker_.onDone(endpoint, base::Duration(0), true);
    if (!bodyHasLeft(attempt)) {
      onAttemptFailed(attempt.call, Reach::kNode,
                      failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kConnectionLost, kUnavailableStatus,
                                    base::millisecondsOf(spread(options_.overloadRetryAfter))));
      continue;
    }
    onAttemptFailed(attempt.call, Reach::kMayHaveRun,
                    failureAnswer(CallOutcome::UNKNOWN, ErrorCode::kConnectionLost, kBadGatewayStatus, 0));
  }
}

void EntryCalls::onEndpointStates(const std::vector<wire::EndpointState>& states) { links_.onStates(states); }

int EntryCalls::rankOf(const Call& call) {
  // As endpoints order what waits: by priority, then by the nearer target.
  constexpr int kTargets = table::kMaxTimeoutMs + 1;
  constexpr int kLateRank = 1 << 30;  // behind all priorities
  static_assert(table::kMaxPriority * kTargets + table::kMaxTimeoutMs < kLateRank);
  const bool late = call.targetLatencyMs > 0 && call.waitedMs >= call.targetLatencyMs;
  return call.priority * kTargets + call.targetLatencyMs + (late ? kLateRank : 0);
}

base::Duration EntryCalls::spread(base::Duration duration) {
  // Callers that were refused together should not come back together.
  return duration * 3 / 4 + random_.duration(duration / 2 + base::Duration(1));
}

std::string EntryCalls::mintKey() { return options_.nodeId + "-" + absl::StrFormat("%016x", random_.bits()); }

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
  call.begunAt = now;
  const auto* route = findRoute(call.inbound);
  if (refusing_ || !table_) {
    const auto error = refusing_ ? ErrorCode::kDraining : ErrorCode::kNoTable;
    const int retryAfterMs = refusing_ ? kDefaultRetryAfterMs : kNoTableRetryAfterMs;
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
  if (options_.inTimeFirst) call.waitedMs = patience_[route->name].onCall(call.inbound.deadlineMs);
  call.service = splits_[route->name].pick(route->shares);
  const auto rule = table_->retryRule(call.service).value_or(options_.defaultRetry);
  call.maxAttempts = route->maxAttempts > 0 ? route->maxAttempts : rule.maxAttempts;
  call.idempotencyKey = headerValue(call.inbound.headers, kIdempotencyHeader);
  if (!call.repeatable && call.idempotencyKey.empty() && options_.mintKeys) call.idempotencyKey = mintKey();
  if (call.repeatable) call.idempotencyKey.clear();
  call.timer = scheduler_.schedule(call.deadline - now, [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (!alive.expired()) onDeadline(id);
  });
  auto& budget = budgets_.try_emplace(call.service, options_.retryBurst).first->second;
  budget.useBurst(retryBurst());
  budget.onRequest(rule.budgetPercent);
  const auto* tenant = call.tenant.empty() ? nullptr : table_->tenants().named(call.tenant);
  if (quotas_ != nullptr && tenant != nullptr && tenant->limited()) {
    askForPermit(id, call.tenant);
    return id;
  }
  scheduler_.schedule(base::Duration(0), [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (!alive.expired()) attempt(id);
  });
  return id;
}

/// About as many nodes send as there are endpoints, with a node beside each.
double EntryCalls::retryBurst() const {
  if (options_.retrySlack <= 0) return options_.retryBurst;
  const auto nodes = static_cast<double>(std::max<size_t>(1, links_.known()));
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
  switch (judge(&call)) {
    case quarantine::standing::held:
      return finishHeld(id, base::millisecondsOf(quarantine_->retryAfter(fingerprintOfCall(&call))));
    case quarantine::standing::suspect:
      return attemptOnProbation(id, &call);
    case quarantine::standing::clear:
      break;
  }
  // The newest version decides where a request may go now; a retry must not go to an endpoint that has left.
  if (call.tried.empty()) call.onTrial = drawsTrial(call.service);
  const auto* target = pickEndpoint(call);
  if (target == nullptr) {
    links_.onFull(call.service);
    if (!call.tried.empty()) return finish(id, call.lastFailure);
    return finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kNoEndpoint, kUnavailableStatus,
                                    base::millisecondsOf(spread(options_.overloadRetryAfter))));
  }
  send(id, &call, *target);
  armHedge(id, &call);
}

bool EntryCalls::drawsTrial(const std::string& service) {
  const auto* versions = table_->versions(service);
  if (versions == nullptr || !versions->running || (fresh_ && !fresh_())) return false;
  const int standing = rollout::kWholePermille - versions->targetPermille;
  const auto drawn =
      versionSplits_[service].pick({{versions->standing, standing}, {versions->target, versions->targetPermille}});
  return drawn == versions->target;
}

/// A call that was refused or failed on trial goes on with the version that is known to be well.
const std::vector<routing::EndpointTarget>& EntryCalls::candidatesFor(const Call& call) const {
  const auto* versions = table_->versions(call.service);
  if (versions == nullptr || !versions->running) return links_.of(call.service);
  if (versions->retiring) return links_.of(call.service, versions->target);
  const auto& onTrial = links_.of(call.service, versions->target);
  const bool first = call.onTrial && call.tried.empty();
  return first && !onTrial.empty() ? onTrial : links_.of(call.service, versions->standing);
}

const routing::EndpointTarget* EntryCalls::pickEndpoint(const Call& call) {
  const size_t bytes = call.inbound.body.size();
  return picker_.pick(candidatesFor(call), options_.zone, call.tried, rankOf(call),
                      bytes > options_.inlineBodyBytes ? bytes : 0);
}

void EntryCalls::dropAttempt(CallId call, int64_t attemptId) {
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
  request.runOnce = !call->repeatable;
  request.waitedMs = call->waitedMs;
  request.suspect = suspect;
  const auto* versions = table_->versions(call->service);
  if (versions != nullptr && versions->running) {
    request.__set_route(static_cast<int64_t>(XXH3_64bits(call->route.data(), call->route.size())));
  }
  network_.send(link.connection, wire::encodeFrame(request));
}

void EntryCalls::onMessage(base::ConnectionId connection, wire::Message message) {
  links_.onHeard(connection);
  if (const auto* response = std::get_if<wire::CallResponse>(&message)) onResponse(connection, *response);
  if (const auto* grant = std::get_if<wire::CallBodyGrant>(&message)) onBodyGrant(connection, *grant);
}

void EntryCalls::onBodyGrant(base::ConnectionId connection, const wire::CallBodyGrant& grant) {
  const auto found = attempts_.find(grant.callId);
  if (found == attempts_.end() || found->second.connection != connection) return;
  auto& attempt = found->second;
  const auto& body = calls_.at(attempt.call).inbound.body;
  const size_t upTo = std::min(body.size(), static_cast<size_t>(std::max<int64_t>(0, grant.upToBytes)));
  if (upTo <= attempt.bodySent) return;
  wire::CallBodyPiece piece;
  piece.callId = grant.callId;
  piece.data = body.substr(attempt.bodySent, upTo - attempt.bodySent);
  attempt.bodySent = upTo;
  network_.send(connection, wire::encodeFrame(piece));
}

bool EntryCalls::bodyHasLeft(const Attempt& attempt) const {
  const auto call = calls_.find(attempt.call);
  return call == calls_.end() || attempt.bodySent == call->second.inbound.body.size();
}

void EntryCalls::refuseWaiting() {
  ending_ = true;
  std::vector<CallId> unsent;
  for (const auto& [id, call] : calls_) {
    const bool left = std::any_of(call.inFlight.begin(), call.inFlight.end(), [this](int64_t attemptId) {
      const auto attempt = attempts_.find(attemptId);
      return attempt == attempts_.end() || bodyHasLeft(attempt->second);
    });
    if (!left) unsent.push_back(id);
  }
  for (const auto id : unsent) {
    finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kDraining, kUnavailableStatus, kDefaultRetryAfterMs));
  }
  for (const auto& [attemptId, attempt] : attempts_) {
    if (!links_.link(attempt.endpoint).takesWithdrawals) continue;
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
  const auto attempt = found->second;
  attempts_.erase(found);
  dropAttempt(attempt.call, response.callId);
  const auto error = static_cast<ErrorCode>(response.errorCode);
  const auto latency = scheduler_.now() - attempt.sentAt;
  if (response.outcome == CallOutcome::COMPLETED) return onCompleted(attempt, response);
  if (response.outcome == CallOutcome::NOT_RUN) return onNotRun(attempt, response);
  picker_.onDone(attempt.endpoint, latency, true);
  if (error == ErrorCode::kBackendCrashed) noteCrash(attempt, response);
  const int status = error == ErrorCode::kDeadlineExceeded ? kGatewayTimeoutStatus : kBadGatewayStatus;
  onAttemptFailed(attempt.call, Reach::kMayHaveRun, failureAnswer(CallOutcome::UNKNOWN, error, status, 0));
}

void EntryCalls::onCompleted(const Attempt& attempt, const wire::CallResponse& response) {
  picker_.onDone(attempt.endpoint, scheduler_.now() - attempt.sentAt, false);
  picker_.onReport(attempt.endpoint, response.inFlight);
  CallAnswer answer;
  answer.outcome = CallOutcome::COMPLETED;
  answer.httpStatus = response.httpStatus;
  answer.headers = response.headers;
  answer.body = response.body;
  const auto found = calls_.find(attempt.call);
  if (found == calls_.end()) return;
  auto& call = found->second;
  const bool failed = response.httpStatus >= kFirstServerError;
  const bool another = !call.inFlight.empty() || (mayHedge(&call) && idleEndpoint(call) != nullptr);
  if (!failed || !call.repeatable || !another) return finish(attempt.call, std::move(answer));
  onAttemptFailed(attempt.call, Reach::kMayHaveRun, std::move(answer));
}

void EntryCalls::onNotRun(const Attempt& attempt, const wire::CallResponse& response) {
  const auto error = static_cast<ErrorCode>(response.errorCode);
  if (error == ErrorCode::kBackendUnreachable) {
    picker_.onDone(attempt.endpoint, scheduler_.now() - attempt.sentAt, true);
  } else {
    picker_.onAbandoned(attempt.endpoint);
  }
  if (error == ErrorCode::kOverloaded) {
    picker_.onReport(attempt.endpoint, response.inFlight);
    const auto call = calls_.find(attempt.call);
    const auto fullFor = std::max(options_.fullFor, spread(base::milliseconds(response.fullForMs)));
    if (response.fullForBodies) {
      picker_.onFullForBodies(attempt.endpoint, fullFor);
    } else if (call != calls_.end()) {
      picker_.onFull(attempt.endpoint, rankOf(call->second), fullFor);
    }
  }
  if (error == ErrorCode::kKeyReused) {
    return finish(attempt.call, failureAnswer(CallOutcome::NOT_RUN, error, kUnprocessableStatus, 0));
  }
  if (error == ErrorCode::kRequestHeld) return finishHeld(attempt.call, response.retryAfterMs);
  // Its own node is the truth for draining; the choice heeds it before any relay says so.
  const bool leaving = error == ErrorCode::kDraining || error == ErrorCode::kWrongEndpoint;
  if (leaving) picker_.setAvailable(attempt.endpoint, false);
  if (error == ErrorCode::kWrongEndpoint) links_.forget(attempt.endpoint);
  const bool reachedBackend = error == ErrorCode::kBackendRefused;
  const int askedMs = response.retryAfterMs > 0 ? response.retryAfterMs : kDefaultRetryAfterMs;
  const int retryAfterMs = base::millisecondsOf(spread(base::milliseconds(askedMs)));
  onAttemptFailed(attempt.call, reachedBackend ? Reach::kRefusedByBackend : Reach::kNode,
                  failureAnswer(CallOutcome::NOT_RUN, error, kUnavailableStatus, retryAfterMs));
}

void EntryCalls::onAttemptFailed(CallId id, Reach reach, CallAnswer failure) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  // A back end's own answer tells the caller more than a refusal that comes behind it.
  const bool answered = call.lastFailure.outcome == CallOutcome::COMPLETED;
  if (!answered || failure.outcome == CallOutcome::COMPLETED) call.lastFailure = std::move(failure);
  call.mayHaveRun = call.mayHaveRun || reach == Reach::kMayHaveRun;
  const bool atBackend = reach != Reach::kNode;
  if (atBackend) {
    ++call.attempts;
  } else {
    ++call.refusals;
  }
  if (!call.inFlight.empty()) return;  // the other attempt of a hedged call decides
  const bool mayRepeat = reach != Reach::kMayHaveRun || call.repeatable;
  const bool attemptsLeft = call.attempts < call.maxAttempts && call.refusals < options_.maxRefusals;
  const bool allowed = options_.retries && !ending_ && mayRepeat && attemptsLeft && scheduler_.now() < call.deadline;
  if (!allowed) {
    logAttemptFailed(&call, reach, false, ending_ ? "stopping" : mayRepeat ? "attempts_used" : "may_have_run");
    return finish(id, call.lastFailure);
  }
  // A refusal by a node costs no back end anything; what has reached one is paid for.
  if (atBackend && !budgets_[call.service].spend()) {
    ++counters_.budgetSpent;
    logAttemptFailed(&call, reach, false, "budget_spent");
    return finish(id, call.lastFailure);
  }
  ++counters_.retries;
  logAttemptFailed(&call, reach, true, "allowed");
  attempt(id);
}

std::string EntryCalls::requestIdOf(const Call& call) const {
  return options_.requestIdHeader.empty() ? "" : headerValue(call.inbound.headers, options_.requestIdHeader);
}

std::string EntryCalls::fingerprintText(Call* call) { return quarantine::toText(fingerprintOfCall(call)); }

void EntryCalls::logAttemptFailed(Call* failed, Reach reach, bool again, const char* because) {
  decisions_.write(base::LinePriority::kFailure, [&] {
    const auto& call = *failed;
    const char* reached = reach == Reach::kNode ? "node" : reach == Reach::kMayHaveRun ? "may_have_run" : "refused";
    return fmt::format(
        "attempt call={} request={} route={} service={} endpoint={} error={} reached={} attempts={} refusals={} "
        "repeatable={} again={} because={} table={}",
        requestIdOf(call), fingerprintText(failed), call.route, call.service, call.endpoint,
        base::errorName(call.lastFailure.error), reached, call.attempts, call.refusals, call.repeatable, again, because,
        call.table ? call.table->revision() : 0);
  });
}

void EntryCalls::logOutcome(Call* finished, const CallAnswer& answer) {
  const bool completed = answer.outcome == CallOutcome::COMPLETED;
  const auto worth = completed ? base::LinePriority::kRoutine : base::LinePriority::kFailure;
  decisions_.write(worth, [&] {
    const auto& call = *finished;
    const char* outcome = completed ? "completed" : answer.outcome == CallOutcome::NOT_RUN ? "not_run" : "unknown";
    const auto now = scheduler_.now();
    return fmt::format(
        "outcome call={} {} {}{} route={} tenant={} service={} endpoint={} outcome={} status={} error={} "
        "attempts={} refusals={} waited_before_ms={} elapsed_ms={} left_ms={} retry_after_ms={} table={}{}",
        requestIdOf(call), call.inbound.method, call.inbound.host, call.inbound.path, call.route, call.tenant,
        call.service, call.endpoint, outcome, answer.httpStatus, base::errorName(answer.error), call.attempts,
        call.refusals, call.waitedMs, remainingMs(now, call.begunAt), remainingMs(call.deadline, now),
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
    attempts_.erase(attempt);
  }
  if (!call.done) {
    ++counters_.abandoned;
    decisions_.write(base::LinePriority::kRoutine, [&] {
      return fmt::format("abandoned call={} route={} service={} endpoint={} elapsed_ms={}", requestIdOf(call),
                         call.route, call.service, call.endpoint, remainingMs(scheduler_.now(), call.begunAt));
    });
    return;
  }
  if (call.mayHaveRun && answer.outcome == CallOutcome::NOT_RUN) {
    // The last attempt was refused, but an earlier one has been at work.
    answer.outcome = CallOutcome::UNKNOWN;
    if (answer.httpStatus == kUnavailableStatus) answer.httpStatus = kBadGatewayStatus;
  }
  logOutcome(&call, answer);
  if (answer.outcome == CallOutcome::COMPLETED) counters_.completedLatency.record(scheduler_.now() - call.begunAt);
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
