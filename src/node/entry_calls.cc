#include "node/entry_calls.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node/http_status.h"
#include "table/validator.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using wire::CallOutcome;

constexpr char kIdempotencyHeader[] = "idempotency-key";
/// Retry-after hint while this node has no routing table: it has just started, and receives one within about a second.
constexpr int kNoTableRetryAfterMs = 1000;

/// One line in 5 s: a line lists all candidates, and a node chooses some 20 times a second.
constexpr base::DecisionLogLimits kPlacementLogLimits{1, 0.2, 5};

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
      roomTimer_(scheduler, [this] { reserveAnswers(); }),
      links_(
          linkOptionsOf(options_), scheduler, base::RandomSource(random_.bits()), network, picker_,
          [this](base::ConnectionId connection, const std::string&) { onLinkLost(connection); },
          [this](base::ConnectionId connection, const std::string&) { onLinkSilent(connection); }),
      notices_(scheduler),
      decisionLog_("entry", scheduler),
      placementLog_("entry", scheduler, kPlacementLogLimits),
      withdrawTimer_(scheduler, [this] { withdrawLate(); }) {
  picker_.useChooser(placement_);
}

EntryCalls::~EntryCalls() { alive_.reset(); }

void EntryCalls::useTable(routing::RoutingTablePtr table) {
  table_ = std::move(table);
  links_.useTable(table_);
}

void EntryCalls::onOpen(base::ConnectionId connection, const wire::Hello& peer) { links_.onOpen(connection, peer); }

void EntryCalls::onClose(base::ConnectionId connection) { links_.onClose(connection); }

void EntryCalls::onLinkLost(base::ConnectionId connection) {
  std::vector<int64_t> lost;
  for (const auto& [attemptId, attempt] : attempts_) {
    if (attempt.connection == connection) lost.push_back(attemptId);
  }
  for (const auto attemptId : lost) {
    const auto attempt = endFailedAttempt(attemptId);
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
  call.bodyBytes = call.inbound.body.size();
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
  if (!canEndInTime(call)) {
    ++counters_.refusedForStop;
    finishLater(id, stoppingAnswer());
    return id;
  }
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

void EntryCalls::onMessage(base::ConnectionId connection, wire::Message message) {
  links_.onMessageReceived(connection);
  if (auto* response = std::get_if<wire::CallResponse>(&message)) onResponse(connection, std::move(*response));
  if (const auto* grant = std::get_if<wire::CallBodyGrant>(&message)) onBodyGrant(connection, *grant);
  if (const auto* accepted = std::get_if<wire::CallAccepted>(&message)) {
    observeAccepted(connection, *accepted);
    onAccepted(connection, *accepted);
  }
  if (const auto* piece = std::get_if<wire::CallAnswerPiece>(&message)) onAnswerPiece(connection, *piece);
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
    if (exchange_ != nullptr) exchange_->drop(attemptId);
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
