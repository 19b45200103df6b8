#include "node/endpoint_calls.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "ledger/ledger_state.h"
#include "node/http_status.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

/// Suspects that may run concurrently: with one, a crash identifies at most one suspect.
constexpr int kMaxConcurrentSuspects = 1;
constexpr base::Duration kShedRetryAfter = base::milliseconds(100);

/// @return a number that differs between the runs of a node, which begin at different times.
uint64_t firstReservationId(const std::string& nodeId, base::TimePoint startedAt) {
  return XXH3_64bits_withSeed(nodeId.data(), nodeId.size(),
                              static_cast<uint64_t>(startedAt.time_since_epoch().count()));
}

bool hasHeader(const std::vector<wire::HttpHeader>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) { return header.name == name; });
}

}  // namespace

EndpointCalls::EndpointCalls(EndpointOptions options, base::Scheduler& scheduler, base::Network& network,
                             BackendClient& backend, ledger::LedgerClient* ledger)
    : options_(std::move(options)),
      scheduler_(scheduler),
      network_(network),
      backend_(backend),
      ledger_(ledger),
      coldStartLimiter_(scheduler),
      rateLimiter_(scheduler),
      limiter_(scheduler, options_.defaultSlots, options_.defaultQueue),
      probationLimiter_(scheduler, kMaxConcurrentSuspects, options_.defaultQueue),
      load_(scheduler),
      returns_(std::make_unique<EndpointReturns>(scheduler, firstReservationId(options_.nodeId, scheduler.now()),
                                                 [this] { startHeldReturns(); })),
      bodyFlowController_(options_.bodies),
      responseTransferEstimator_(options_.bodies.linkBytesPerSecond),
      answers_(options_.bodies.linkBytesPerSecond, options_.nodeId, scheduler, network),
      bodyTimer_(scheduler, [this] { onBodyTimer(); }),
      coldCheckTimer_(scheduler, [this] { startColdCheck(); }),
      expiryTimer_(scheduler,
                   [this] {
                     limiter_.refuseExpired();
                     probationLimiter_.refuseExpired();
                     limiter_.startWaiting();
                     armExpiry();
                   }),
      rateLog_("endpoint", scheduler),
      decisions_("endpoint", scheduler) {
  limiter_.setNestedShare(options_.nestedShare);
  limiter_.addStartLimiter(&coldStartLimiter_);
  limiter_.addStartLimiter(&rateLimiter_);
  startLoadPredictions();
  limiter_.usePromises([this](limits::Priority priority, base::TimePoint until) {
    if (!usesReservations()) return std::ptrdiff_t{0};
    return static_cast<std::ptrdiff_t>(returns_->reservations.ahead(static_cast<int>(priority), until));
  });
}

EndpointCalls::~EndpointCalls() { alive_.reset(); }

void EndpointCalls::useTable(const routing::RoutingTable& table) {
  const auto* limit = table.limit(options_.service);
  tableLimit_ = limit != nullptr ? std::optional(*limit) : std::nullopt;
  const auto* versions = table.versions(options_.service);
  versions_ = versions != nullptr ? std::optional(*versions) : std::nullopt;
  coldStartLimiter_.setRate(table.coldPerS(options_.service) * options_.coldOverage);
  load_.limitedTenants = table.tenants().anyLimited();
  hasTable_ = true;
  if (coldStartLimiter_.isUncertain() && !coldCheckTimer_.running()) startColdCheck();
  setEvacuated(table.evacuated(options_.zone));
  applyLimits();
  refuseWaitingIfClosed();
}

void EndpointCalls::useVersion(const std::string& version) {
  version_ = version;
  refuseWaitingIfClosed();
}

/// @return the error for waiting calls when no more calls are accepted.
ErrorCode EndpointCalls::closedError() const {
  if (draining_ || acceptsCalls()) return ErrorCode::kDraining;
  return evacuated_ ? ErrorCode::kZoneEvacuated : ErrorCode::kVersionNotReleased;
}

bool EndpointCalls::versionAcceptsCalls() const { return !versions_ || versions_->acceptsRequests(version_); }

/// Refuses waiting calls if the version is not released or the zone is evacuated, so that they run elsewhere. This also
/// covers calls of nodes with an older table.
void EndpointCalls::refuseWaitingIfClosed() {
  if (acceptsCalls()) return;
  limiter_.refuseWaiting();
  probationLimiter_.refuseWaiting();
  refuseAwaitingBodies();
}

void EndpointCalls::applyLimits() {
  if (tableLimit_) return limiter_.setLimits(tableLimit_->maxConcurrent, tableLimit_->maxQueued);
  limiter_.setLimits(endpointSlots_ > 0 ? endpointSlots_ : options_.defaultSlots, options_.defaultQueue);
}

void EndpointCalls::setDraining(bool draining) {
  draining_ = draining;
  if (!draining_) return;
  limiter_.refuseWaiting();
  probationLimiter_.refuseWaiting();
  refuseAwaitingBodies();
}

void EndpointCalls::useIncarnation(const std::string& endpoint, int slots) {
  if (endpoint != endpoint_) {
    returns_->reservations.clear();
    previousEndpoint_.clear();
    advertisedRate_ = {};
    forgetLoad();
    rateLimiter_.setRate(std::nullopt);
    limiter_.refuseWaiting();
    probationLimiter_.refuseWaiting();
    refuseAwaitingBodies();
  }
  endpoint_ = endpoint;
  endpointSlots_ = slots;
  // The table configures the rate for a cold back end; until it arrives, one request per second and slot is a low rate.
  if (!hasTable_) coldStartLimiter_.setRate(slots > 0 ? slots : options_.defaultSlots);
  applyLimits();
}

void EndpointCalls::renameIncarnation(const std::string& endpoint) {
  previousEndpoint_ = std::exchange(endpoint_, endpoint);
}

void EndpointCalls::onBackendRestarted() {
  forgetLoad();
  limiter_.refuseWaiting();
  probationLimiter_.refuseWaiting();
  backend_.dropIdleConnections();
  if (watch_ != nullptr && !backendStopping_) watch_->onRestart();
  std::vector<CallKey> lost;
  for (const auto& [key, call] : calls_) {
    if (call.running) lost.push_back(key);
  }
  for (const auto& key : lost) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) continue;
    backend_.cancel(found->second.backendId);
    onBackendDisconnected(key);
  }
}

bool EndpointCalls::isRepeatable(const wire::CallRequest& request) {
  return request.idempotencyKey.empty() && !request.runOnce;
}

void EndpointCalls::onRequest(base::ConnectionId connection, const wire::CallRequest& request) {
  const CallKey key{connection, request.callId};
  ++counters_.calls;
  auto& caller = callerNodes_[connection];
  caller.lastRequestAt = scheduler_.now();
  if (request.bodyBytes > 0) caller.lastBodyAnnouncedAt = scheduler_.now();
  if (calls_.count(key) > 0) return;
  auto& call = calls_[key];
  call.request = request;
  const bool handedOver = request.bodyBytes > 0 && exchange_ != nullptr && network_.isWithinProcess(connection);
  if (handedOver) call.body = exchange_->takeRequest(request.callId);
  call.arrivedAt = scheduler_.now();
  call.deadline = scheduler_.now() + base::milliseconds(request.remainingMs);
  if (refuseAtOnce(key, request)) return;
  useCallersNotice(request);
  call.nested = detectNested(connection, request);
  call.priority = priorityOf(call);
  call.latestStart = latestStartOf(call);
  useReservation(key);
  if (refuseForNested(key)) return;
  if (hasNoTimeLeft(call)) return refuseForCapacity(key);
  const bool inPieces = answers_.takesPieces(connection, request);
  if (inPieces && refuseForLargeAnswer(key)) return;
  if (!inPieces && answerWouldBeLate(key)) return refuseForAnswer(key);
  if (call.reservation == 0 && isTooSlowFor(call)) return refuseForPace(key);
  if (request.bodyBytes > 0 && call.body.empty()) {
    awaitBody(key);
  } else {
    admit(key);
  }
  if (calls_.count(key) == 0) return;  // refused
  wire::CallAccepted accepted;
  accepted.callId = request.callId;
  accepted.nested = call.nested;
  if (const auto load = loadFor(request)) accepted.__set_load(*load);
  network_.send(connection, wire::encodeFrame(accepted));
}

void EndpointCalls::onKeepAlive(base::ConnectionId connection) {
  network_.send(connection, wire::encodeFrame(wire::KeepAlive()));
}

void EndpointCalls::recordRunTime(const Call& call) {
  constexpr double kWeight = 0.1;
  counters_.runTimes.record(scheduler_.now() - call.startedAt);
  learnServiceTime(call);
  if (call.request.targetLatencyMs == 0) return;
  const auto runUs = static_cast<double>((scheduler_.now() - call.startedAt).count());
  const auto [average, first] = averageRunUs_.try_emplace(call.request.targetLatencyMs, runUs);
  if (!first) average->second += kWeight * (runUs - average->second);
}

void EndpointCalls::run(const CallKey& key) {
  auto& call = calls_[key];
  call.running = true;
  call.startedAt = scheduler_.now();
  call.startedUnderLoad = 2 * (limiter_.running() - 1) > limiter_.maxConcurrent();
  if (!mayRunNow(key)) return;
  counters_.waitTimes.record(call.startedAt - call.arrivedAt);
  if (ledger_ == nullptr || isRepeatable(call.request)) return sendToBackend(key);
  call.owner = ledger_->newOwner();
  claim(key);
}

void EndpointCalls::sendToBackend(const CallKey& key) {
  auto& call = calls_[key];
  const auto timeout = call.deadline - scheduler_.now();
  const auto done = [this, key](BackendAnswer answer) { onBackendAnswer(key, std::move(answer)); };
  if (call.body.empty()) {
    call.backendId = backend_.send(call.request, timeout, done);
    return;
  }
  (void)fingerprintOfCall(key);  // logs and the quarantine may need it after the body is gone
  call.backendId = backend_.sendWithBody(call.request, std::exchange(call.body, {}), timeout, done);
}

void EndpointCalls::onBackendAnswer(const CallKey& key, BackendAnswer answer) {
  const auto found = calls_.find(key);
  if (found == calls_.end()) return;
  const bool completed = answer.outcome == BackendOutcome::kCompleted;
  const bool notReached = answer.outcome == BackendOutcome::kNotSent;
  if (onBackendContact_ && (completed || notReached)) onBackendContact_(completed);
  if (!completed && hasTable_) markPossiblyCold();  // the back end may have restarted
  if (completed) handleNotice(found->second, answer);
  if (notReached) {
    return releaseClaimAndRefuse(key, ErrorCode::kBackendUnreachable, base::Duration(0));
  }
  if (completed && backendRefused(key, answer)) return;
  notifyRunEnded(found->second, !completed || answer.httpStatus >= kFirstServerError);
  if (answer.overLimit) return answerUnknown(key, ErrorCode::kBackendFailed);
  if (!completed) {
    return answer.timedOut ? answerUnknown(key, ErrorCode::kDeadlineExceeded) : onBackendDisconnected(key);
  }
  wire::StoredAnswer stored;
  stored.httpStatus = answer.httpStatus;
  stored.headers = std::move(answer.headers);
  const auto& call = found->second;
  responseTransferEstimator_.onResponse(kindOf(call.request), answer.body.size());
  recordRunTime(call);
  recordSuccessfulRun(key);
  if (!call.owner.empty()) {
    auto record = stored;
    // The ledger keeps no body over its limit, and needs no more of it to see that.
    record.body = answer.body.view().substr(0, ledger::kMaxStoredAnswerBytes + 1);
    storeAnswer(call, std::move(record));
  }
  ++counters_.completed;
  answerCompleted(key, std::move(stored), std::move(answer.body));
}

void EndpointCalls::notifyRunEnded(const Call& call, bool failed) {
  if (onRunEnded_) onRunEnded_({call.request.route, failed, scheduler_.now() - call.startedAt, call.startedUnderLoad});
}

bool EndpointCalls::backendRefused(const CallKey& key, const BackendAnswer& answer) {
  if (answer.httpStatus == kMisdirectedStatus && options_.dynamicEndpoint) {
    // Another incarnation has taken over the address.
    const auto endpoint = calls_[key].request.endpoint;
    releaseClaimAndRefuse(key, ErrorCode::kWrongEndpoint, base::Duration(0));
    if (onWrongIncarnation_) onWrongIncarnation_(endpoint);
    return true;
  }
  if (!hasHeader(answer.headers, options_.notRunHeader)) return false;
  releaseClaimAndRefuse(key, ErrorCode::kBackendRefused, kShedRetryAfter);
  return true;
}

/// @param stored without its body
void EndpointCalls::answerCompleted(const CallKey& key, wire::StoredAnswer stored, memory::shared_body body) {
  wire::CallResponse response;
  response.outcome = wire::CallOutcome::COMPLETED;
  response.httpStatus = stored.httpStatus;
  response.headers = std::move(stored.headers);
  releaseSlot(calls_[key]);
  answerInPieces(key, std::move(response), std::move(body));
}

void EndpointCalls::answerUnknown(const CallKey& key, ErrorCode error) {
  ++counters_.unknown;
  logUnknown(key, error);
  wire::CallResponse response;
  response.outcome = wire::CallOutcome::UNKNOWN;
  response.errorCode = static_cast<int>(error);
  releaseSlot(calls_[key]);
  answer(key, std::move(response));
}

void EndpointCalls::releaseSlot(const Call& call) {
  if (call.running) limiter_.release(scheduler_.now() - call.startedAt, call.priority);
  if (call.onProbation) probationLimiter_.release(scheduler_.now() - call.probationStartedAt, call.priority);
}

std::string EndpointCalls::requestIdOf(const wire::CallRequest& request) const {
  return headerValue(request.headers, options_.requestIdHeader);
}

std::string EndpointCalls::fingerprintText(const CallKey& key) { return quarantine::toText(fingerprintOfCall(key)); }

void EndpointCalls::logUnknown(const CallKey& key, ErrorCode error) {
  decisions_.write(base::LinePriority::kFailure, [&] {
    const auto& call = calls_.at(key);
    const auto ran = std::chrono::duration_cast<base::milliseconds>(scheduler_.now() - call.startedAt);
    return fmt::format("unknown call={} request={} {} {} service={} endpoint={} error={} ran_ms={} run_once={}",
                       requestIdOf(call.request), fingerprintText(key), call.request.method, call.request.path,
                       call.request.serviceName, call.request.endpoint, base::errorName(error), ran.count(),
                       call.request.runOnce);
  });
}

void EndpointCalls::answer(const CallKey& key, wire::CallResponse response) {
  response.callId = key.callId;
  response.inFlight = limiter_.running() + static_cast<int>(limiter_.waiting());
  const auto ended = calls_.extract(key);
  if (!ended.empty()) {
    if (const auto load = loadFor(ended.mapped().request)) response.__set_load(*load);
  }
  network_.send(key.connection, wire::encodeFrame(response));
}

void EndpointCalls::onCancel(base::ConnectionId connection, int64_t callId) {
  const CallKey key{connection, callId};
  const auto found = calls_.find(key);
  if (found == calls_.end()) {
    if (answers_.cancel(connection, callId)) ++counters_.cancelled;
    return;
  }
  ++counters_.cancelled;
  if (found->second.awaitsBody) {
    dropBody(key, &found->second);
    calls_.erase(found);
    return grantBodies();
  }
  if (!found->second.running) return abandonCall(key);
  // A request that may not be repeated runs to completion, so that its outcome is known to the back end.
  if (!isRepeatable(found->second.request)) return;
  backend_.cancel(found->second.backendId);
  abandonCall(key);
}

/// Drops a call whose caller no longer waits for it.
void EndpointCalls::abandonCall(const CallKey& key) {
  const auto call = calls_.extract(key);
  limiter_.cancel(call.mapped().ticket);
  probationLimiter_.cancel(call.mapped().probationTicket);
  releaseSlot(call.mapped());
}

void EndpointCalls::onWithdraw(base::ConnectionId connection, int64_t callId) {
  const CallKey key{connection, callId};
  const auto found = calls_.find(key);
  if (found == calls_.end() || found->second.running) return;
  if (found->second.awaitsBody) {
    dropBody(key, &found->second);
  } else {
    limiter_.cancel(found->second.ticket);
    probationLimiter_.cancel(found->second.probationTicket);
  }
  refuse(key, ErrorCode::kDraining, base::Duration(0));
}

void EndpointCalls::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  callerServices_[connection] = peer.serviceName;
  answers_.onOpen(connection, peer);
}

void EndpointCalls::onClose(base::ConnectionId connection) {
  callerNodes_.erase(connection);
  callerServices_.erase(connection);
  answers_.onClose(connection);
  std::vector<int64_t> callIds;
  for (auto call = calls_.lower_bound({connection, INT64_MIN}); call != calls_.end(); ++call) {
    if (call->first.connection != connection) break;
    callIds.push_back(call->first.callId);
  }
  for (const auto callId : callIds) onCancel(connection, callId);
}

}  // namespace driftlug::node
