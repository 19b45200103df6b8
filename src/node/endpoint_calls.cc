#include "node/endpoint_calls.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "node/call_fingerprint.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

constexpr int kMisdirectedStatus = 421;
constexpr int kFirstServerError = 500;
/// A node that sent a request within this time counts as an active caller.
constexpr base::Duration kActiveCallerWindow = base::seconds(2);
/// Number of requests that all callers together should send for each slot that becomes free; more than one, so that no
/// slot stays idle.
constexpr int kRequestsPerFreeSlot = 2;
/// Suspects that may run concurrently: with one, a crash identifies at most one suspect.
constexpr int kMaxConcurrentSuspects = 1;
constexpr base::Duration kShedRetryAfter = base::milliseconds(100);

/// @return the same for no two runs of a node: runs begin at different times.
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
  if (request.bodyBytes > 0) {
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

void EndpointCalls::recordRunTime(const Call& call) {
  constexpr double kWeight = 0.1;
  counters_.runTimes.record(scheduler_.now() - call.startedAt);
  learnServiceTime(call);
  if (call.request.targetLatencyMs == 0) return;
  const auto runUs = static_cast<double>((scheduler_.now() - call.startedAt).count());
  const auto [average, first] = averageRunUs_.try_emplace(call.request.targetLatencyMs, runUs);
  if (!first) average->second += kWeight * (runUs - average->second);
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
  const auto kind = kindOf(request);
  nestedCallDetector_.onCall(kind, service->second);
  // Back ends call without a key, so a call of a tenant comes from an external caller.
  return request.tenant.empty() && nestedCallDetector_.isNested(kind);
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
  }
  if (error == ErrorCode::kNone) return false;
  refuse(key, error, base::Duration(0));
  return true;
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
  call.backendId = backend_.send(call.request, timeout,
                                 [this, key](BackendAnswer answer) { onBackendAnswer(key, std::move(answer)); });
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
  if (!completed) {
    return answer.timedOut ? answerUnknown(key, ErrorCode::kDeadlineExceeded) : onBackendDisconnected(key);
  }
  wire::StoredAnswer stored;
  stored.httpStatus = answer.httpStatus;
  stored.headers = std::move(answer.headers);
  stored.body = std::move(answer.body);
  const auto& call = found->second;
  responseTransferEstimator_.onResponse(kindOf(call.request), stored.body.size());
  recordRunTime(call);
  recordSuccessfulRun(key);
  if (!call.owner.empty()) storeAnswer(call, stored);
  ++counters_.completed;
  answerCompleted(key, std::move(stored));
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

void EndpointCalls::answerCompleted(const CallKey& key, wire::StoredAnswer stored) {
  wire::CallResponse response;
  response.outcome = wire::CallOutcome::COMPLETED;
  response.httpStatus = stored.httpStatus;
  response.headers = std::move(stored.headers);
  response.body = std::move(stored.body);
  releaseSlot(calls_[key]);
  answerInPieces(key, std::move(response));
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

void EndpointCalls::refuse(const CallKey& key, ErrorCode error, base::Duration retryAfter) {
  wire::CallResponse response;
  if (error == ErrorCode::kOverloaded || error == ErrorCode::kBackendRateLimited) {
    response.fullForMs = base::millisecondsOf(callerBackoff(limiter_.slotInterval(), &CallerNode::lastRequestAt));
  }
  refuseWith(key, error, retryAfter, std::move(response));
}

void EndpointCalls::refuseWith(const CallKey& key, ErrorCode error, base::Duration retryAfter,
                               wire::CallResponse response) {
  ++counters_.refused;
  logRefusal(calls_[key], error, retryAfter);
  releaseSlot(calls_[key]);
  response.outcome = wire::CallOutcome::NOT_RUN;
  response.errorCode = static_cast<int>(error);
  response.retryAfterMs = base::millisecondsOf(retryAfter);
  answer(key, std::move(response));
}

/// Returns the back-off for a calling node. All active callers together should send kRequestsPerFreeSlot requests per
/// `interval`: refused requests waste bandwidth of this node's link, and those of many nodes can fill it.
base::Duration EndpointCalls::callerBackoff(base::Duration interval, base::TimePoint CallerNode::*lastSeenAt) const {
  const auto since = scheduler_.now() - kActiveCallerWindow;
  const auto activeCallers = std::count_if(callerNodes_.begin(), callerNodes_.end(),
                                           [&](const auto& item) { return item.second.*lastSeenAt >= since; });
  return std::min(options_.maxCallerBackoff, interval * activeCallers / kRequestsPerFreeSlot);
}

std::string EndpointCalls::requestIdOf(const wire::CallRequest& request) const {
  return headerValue(request.headers, options_.requestIdHeader);
}

void EndpointCalls::logRefusal(const Call& call, ErrorCode error, base::Duration retryAfter) {
  decisions_.write(base::LinePriority::kFailure, [&] {
    const auto waited = std::chrono::duration_cast<base::milliseconds>(scheduler_.now() - call.arrivedAt);
    return fmt::format(
        "refused call={} nested={} service={} endpoint={} current={} error={} running={} waiting={} waited_ms={} "
        "left_ms={} target_ms={} waited_before_ms={} retry_after_ms={}",
        requestIdOf(call.request), call.nested, call.request.serviceName, call.request.endpoint, endpoint_,
        base::errorName(error), limiter_.running(), limiter_.waiting(), waited.count(),
        std::chrono::duration_cast<base::milliseconds>(call.deadline - scheduler_.now()).count(),
        call.request.targetLatencyMs, call.request.waitedMs, retryAfter.count() / 1000);
  });
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
