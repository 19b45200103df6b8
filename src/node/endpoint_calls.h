/// The endpoint side of calls: admits them to this node's local back end.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "backpressure/advertised_rate.h"
#include "backpressure/backend_notice.h"
#include "backpressure/rate_limiter.h"
#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/network.h"
#include "base/time.h"
#include "ledger/ledger_client.h"
#include "limits/cold_start_limiter.h"
#include "limits/slot_limiter.h"
#include "memory/body_budget.h"
#include "node/body_exchange.h"
#include "node/call_types.h"
#include "node/endpoint_calls_answers.h"
#include "node/endpoint_load_state.h"
#include "node/endpoint_returns.h"
#include "overload/body_flow_controller.h"
#include "overload/nested_call_detector.h"
#include "overload/response_transfer_estimator.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_quarantine.h"
#include "routing/routing_table.h"

namespace driftlug::node {

/// Settings of EndpointCalls.
struct EndpointOptions {
  std::string service;  ///< service of the local back end; empty on a node without one
  int defaultSlots = 16;
  int defaultQueue = 32;
  /// Response header, in lower case, that marks a request that the back end did not run.
  std::string notRunHeader = "x-shed";
  /// Whether only calls for the incarnation set by useIncarnation() are accepted.
  bool dynamicEndpoint = false;
  /// Whether a request is refused at once if its wait for a slot would make it miss the target latency of its route.
  /// Otherwise a request may wait until its deadline.
  bool waitWithinTarget = false;
  /// Rate of requests to a cold back end, as a multiple of the rate that the table configures.
  double coldOverage = 1;
  double runTimeMargin = 1.3;  ///< with waitWithinTarget: time reserved for a run, as a multiple of the average run
  double minWaitShare = 0.15;  ///< with waitWithinTarget: share of the target latency that a request may always wait
  /// Whether calls that are detected as nested get slots first: refusing one wastes the work already done for its outer
  /// call.
  bool nestedFirst = true;
  double nestedShare = 0.75;    ///< with nestedFirst: maximum share of slots for nested calls while others wait
  std::string requestIdHeader;  ///< header, in lower case, whose value identifies a call in logs; empty for none
  base::Duration overloadRetryAfter{0};                        ///< lower bound of the Retry-After of overload refusals
  base::Duration maxCallerBackoff = base::milliseconds(1500);  ///< upper bound of the back-off of a calling node
  std::string nodeId;
  std::string zone;  ///< zone of this node and its back end
  overload::body_flow_controller_options bodies;
  backpressure::notice_headers notices;
  std::string loadHeader;  ///< response header, in lower case, in which the back end reports its load; empty for none
  /// Whether refusals offer reservations, and outer requests are refused while nested calls lack capacity, although the
  /// deployment does not call for load-aware decisions.
  bool reservations = false;
};

/// Counters of EndpointCalls.
struct EndpointCounters {
  int64_t calls = 0;
  int64_t completed = 0;
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t heldBack = 0;       ///< refused because their request is quarantined
  int64_t probationRuns = 0;  ///< runs of suspect requests
  int64_t cutRuns = 0;        ///< runs whose connection the back end closed without an answer, as in a crash
  int64_t cancelled = 0;
  int64_t replayed = 0;              ///< answered from the ledger, without a run
  int64_t refusedForMemory = 0;      ///< refused because there was no room for their body
  int64_t refusedForLink = 0;        ///< refused because their body could not have arrived in time
  int64_t refusedForAnswer = 0;      ///< refused because their answer could not have been sent in time
  int64_t refusedForRate = 0;        ///< refused because of the rate limit that the back end advertises
  int64_t rateLimitChanges = 0;      ///< times the back end began, changed or ended its rate limit
  int64_t unreadableRateLimits = 0;  ///< responses with a rate limit that is not a number of requests
  int64_t refusedForNested = 0;      ///< refused because nested calls of the back end lack capacity
  int64_t leavingNotices = 0;        ///< responses in which the back end said that it is shutting down
  base::LatencyHistogram waitTimes;  ///< from arrival to start, of calls that started
  base::LatencyHistogram runTimes;   ///< from start to the back end's answer, of completed calls
};

/// Result of a run on the back end.
struct BackendRunResult {
  int64_t route = 0;    ///< hash of the route's name; 0 if the caller did not send it
  bool failed = false;  ///< failed by the back end: a 5xx status, a connection closed before the answer, or a timeout
  base::Duration runTime{0};
  bool underLoad = false;  ///< other requests kept over half of the slots busy when it started
};

/// Admits calls to the local back end.
///
/// A request that may not be repeated is claimed in the ledger under its idempotency key before it is sent to the back
/// end. A resend of the key gets the stored answer or "outcome unknown", never a second run.
///
/// Invariants: a call answered NOT_RUN was never sent to the back end, or the back end reported that it did not run it;
/// a call is sent to the back end at most once.
class EndpointCalls {
 public:
  /// @param ledger null if requests that may not be repeated are accepted without a claim
  EndpointCalls(EndpointOptions options, base::Scheduler& scheduler, base::Network& network, BackendClient& backend,
                ledger::LedgerClient* ledger);
  ~EndpointCalls();

  /// Applies the limits, released versions and evacuations of a new version of the table.
  void useTable(const routing::RoutingTable& table);

  /// Enables the quarantine of requests that crash the back end.
  /// @param quarantine outlives this object, as `watch` does
  /// @param watch detects crashes; null if the back end can't be probed
  void useQuarantine(quarantine::request_quarantine* quarantine, quarantine::crash_detector* watch);

  /// Re-evaluates the calls that wait for probation after a change of the quarantine.
  void onQuarantineChange();

  /// Bounds the bodies that are held for the back end; without a budget, they have no bound.
  /// @param budget outlives this object
  void useBodyBudget(memory::body_budget* budget) { budget_ = budget; }

  /// Takes and returns the bodies of calls of this process without copies.
  /// @param exchange shared with the entry side; outlives this object
  void useBodyExchange(BodyExchange* exchange) { exchange_ = exchange; }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onRequest(base::ConnectionId connection, const wire::CallRequest& request);
  /// Answers a caller's keep-alive.
  void onKeepAlive(base::ConnectionId connection);

  void onBodyPiece(base::ConnectionId connection, const wire::CallBodyPiece& piece);
  /// Lets a large answer be sent further, as its receiver has room.
  void onAnswerCredit(base::ConnectionId connection, const wire::CallAnswerCredit& credit) {
    answers_.onCredit(connection, credit);
  }

  void onCancel(base::ConnectionId connection, int64_t callId);
  /// Refuses a call of a stopping node unless it has started to run.
  void onWithdraw(base::ConnectionId connection, int64_t callId);
  void onClose(base::ConnectionId connection);

  /// Refuses new and waiting calls while draining; running calls continue.
  void setDraining(bool draining);

  /// Sets whether the back end is shutting down. Connections that it closes meanwhile do not count as crashes.
  void setBackendStopping(bool stopping) { backendStopping_ = stopping; }

  /// Sets the incarnation of the back end.
  /// @param endpoint its name; empty while none is known, in which case every call is refused
  /// @param slots number of requests that it runs concurrently; 0 if it did not report it
  void useIncarnation(const std::string& endpoint, int slots);

  /// Sets whether requests that arrive now may have waited unread while this process was stopped or its machine
  /// suspended. Their remaining time is unknown, so they are refused as not run.
  void setStale(bool stale) { stale_ = stale; }

  /// Renames the current incarnation; calls for its previous name are still accepted.
  void renameIncarnation(const std::string& endpoint);

  /// Handles a restart of the back end: running calls and connections are lost, waiting calls are refused.
  void onBackendRestarted();

  /// Sets the handler for calls that the back end rejects as meant for another incarnation.
  void onWrongIncarnation(std::function<void(const std::string&)> handler) { onWrongIncarnation_ = std::move(handler); }

  /// Sets the handler for responses in which the back end says that it is shutting down, with the endpoint name in
  /// their calls.
  void onBackendLeaving(std::function<void(const std::string&)> handler) { onBackendLeaving_ = std::move(handler); }

  /// Handles the remaining cold time that the back end reported.
  /// @param asked whether it is the answer to a cold check
  void onColdReport(base::Duration coldFor, bool asked);

  /// Treats the back end as cold until a cold check is answered.
  void markPossiblyCold();

  /// Sets the handler that asks the back end whether it is cold; the answer goes to onColdReport().
  void onColdCheckNeeded(std::function<void()> handler) { onColdCheckNeeded_ = std::move(handler); }

  /// Sets the handler for finished runs; not called for cancelled ones.
  void onRunEnded(std::function<void(const BackendRunResult&)> handler) { onRunEnded_ = std::move(handler); }

  /// @return the interval between two health checks: `regular`, or longer while the back end has a low rate limit, so
  /// that the checks take only a part of it
  base::Duration healthCheckInterval(base::Duration regular) const;

  /// Handles the notices of a response to a health check; they count until the first response to a call.
  void onHealthNotice(const backpressure::backend_notice& notice);

  /// Handles the load in a response to a health check.
  /// @param sentAt when the check was sent
  void onHealthLoad(const std::vector<wire::HttpHeader>& headers, base::TimePoint sentAt);

  /// Sets the version of the back end's software; rollouts decide by it whether calls are accepted.
  void useVersion(const std::string& version);

  /// Sets the handler that is called when the back end answered a call or could not be reached.
  void onBackendContact(std::function<void(bool reached)> handler) { onBackendContact_ = std::move(handler); }

  bool draining() const { return draining_; }
  /// @return number of calls in progress, and of answers that are not sent whole.
  size_t active() const { return calls_.size() + answers_.scheduler().size(); }
  const EndpointCounters& counters() const { return counters_; }
  const limits::SlotLimiter& limiter() const { return limiter_; }

  /// @return the rate limit that the back end advertises, in requests per second; nullopt if there is none
  std::optional<double> advertisedRatePerS() const { return advertisedRate_.ratePerS(); }

  /// @return whether decisions use predictions: the back end reports its load, and either reports its pace or the table
  /// holds tenants with limits.
  bool loadAware() const;

  /// @return factor by which work takes longer than usual on the back end now; 1 if it does not report it
  double pace() const;

  /// @return predicted run time of a request of this kind that starts now; nullopt before the first run of the kind
  std::optional<base::Duration> predictedRun(const wire::CallRequest& request) const;

  /// @return predicted wait of a further request of this kind, behind those that are queued
  base::Duration predictedWait(const wire::CallRequest& request) const;

  /// @return the current time of the clock that dates load reports
  base::TimePoint now() const { return scheduler_.now(); }

  /// @return load reports of the back end, for metrics
  const EndpointLoadState& load() const { return load_; }

  const overload::body_flow_controller& bodies() const { return bodyFlowController_; }
  const AnswerSender& answers() const { return answers_; }

  /// Records that the local back end began a nested call through this node.
  void onNestedBegan();

  /// Records the end of such a call, and how long it took.
  void onNestedEnded(overload::nested_outcome outcome, base::Duration latency);

  /// @return the share of outer requests that is admitted at present; 1 unless nested calls lack capacity.
  double admittedShare() const;

  const overload::reservation_counters& reservations() const;

 private:
  /// Time for which reporting the outcome of a request to the ledger is retried.
  static constexpr base::Duration kLedgerTimeout = base::seconds(2);

  struct CallKey {
    base::ConnectionId connection;
    int64_t callId;
    auto operator<=>(const CallKey&) const = default;
  };

  struct Call {
    wire::CallRequest request;
    base::TimePoint deadline;
    base::TimePoint arrivedAt{};
    base::TimePoint latestStart{};             // latest start at which the answer is still useful
    bool awaitsBody = false;                   // the body has not arrived completely
    bool awaitsRoom = false;                   // there is no room yet for the body, of which nothing was granted
    std::string gathered;                      // what has arrived of the body
    memory::body_reservation bodyReservation;  // for `gathered`
    memory::shared_body body;                  // complete, unless it is a part of `request`; empty once it was sent
    limits::TicketId ticket = 0;
    std::optional<quarantine::request_fingerprint> fingerprint;  // computed on first use
    bool suspect = false;                                        // must run on probation
    bool onProbation = false;                                    // holds the probation slot
    base::TimePoint probationStartedAt{};
    limits::TicketId probationTicket = 0;  // while it waits for the probation slot
    bool nested = false;                   // detected as a call made by a back end
    int64_t reservation = 0;               // that the request has used; 0 for none
    bool held = false;                     // late, so it does not start while others are refused that can be in time
    limits::Priority priority = limits::Priority::kNormal;
    bool running = false;
    bool startedUnderLoad = false;  // other requests kept over half of the slots busy
    uint64_t backendId = 0;
    base::TimePoint startedAt{};
    std::string owner;      // owner of the ledger claim; empty without a claim
    int claimAttempts = 0;  // attempts to claim the key

    std::string_view content() const { return body.empty() ? std::string_view(request.body) : body.view(); }
  };

  /// A connected node that sends calls.
  struct CallerNode {
    base::TimePoint lastRequestAt{};
    base::TimePoint lastBodyAnnouncedAt{};  // last call whose body follows in pieces
  };

  void admit(const CallKey& key);
  void acquireSlot(const CallKey& key, bool ready = true);
  void onSlotRefused(const CallKey& key, limits::SlotRefusal refusal);
  const quarantine::request_fingerprint& fingerprintOfCall(const CallKey& key);
  quarantine::request_status statusOfCall(const CallKey& key);
  void putOnProbation(const CallKey& key);
  void refuseHeld(const CallKey& key);
  bool mayRunNow(const CallKey& key);
  void onBackendDisconnected(const CallKey& key);
  void answerCrashed(const CallKey& key, uint64_t crash);
  void recordSuccessfulRun(const CallKey& key);
  void abandonCall(const CallKey& key);
  void awaitBody(const CallKey& key);
  bool mayPassWaiting(const Call& call) const;
  bool reserveBody(Call* call);
  void announceBody(const CallKey& key);
  void checkAwaitingRoom();
  void refuseForMemory(const CallKey& key);
  void grantBodies();
  base::Duration answerDelay(const CallKey& key) const;
  bool answerWouldBeLate(const CallKey& key) const;
  void refuseForAnswer(const CallKey& key);
  base::TimePoint answerTarget(const Call& call) const;
  overload::expected_response expectedAnswer(const Call& call) const;
  bool refuseForLargeAnswer(const CallKey& key);
  void answerInPieces(const CallKey& key, wire::CallResponse response, memory::shared_body body);
  void onBodyTimer();
  void onBodyComplete(const CallKey& key);
  void refuseAwaitingBodies();
  void dropBody(const CallKey& key, Call* call);
  void run(const CallKey& key);
  void sendToBackend(const CallKey& key);
  void claim(const CallKey& key);
  void onClaim(const CallKey& key, const ledger::LedgerAnswer& answer);
  void storeAnswer(const Call& call, wire::StoredAnswer stored);
  void answerStored(const CallKey& key, wire::StoredAnswer stored);
  void answerCompleted(const CallKey& key, wire::StoredAnswer stored, memory::shared_body body);
  void releaseClaimAndRefuse(const CallKey& key, base::ErrorCode error, base::Duration retryAfter);
  void answerUnknown(const CallKey& key, base::ErrorCode error);
  static overload::call_kind kindOf(const wire::CallRequest& request);
  base::TimePoint latestStartOf(const Call& call) const;
  class CallHoldPredictor;
  void startLoadPredictions();
  void readLoad(const std::vector<wire::HttpHeader>& headers, base::TimePoint sentAt, const std::string& source);
  void logPaceChange(const std::string& source);
  void forgetLoad();
  void learnServiceTime(const Call& call);
  std::optional<wire::EndpointLoad> loadFor(const wire::CallRequest& request) const;
  bool isTooSlowFor(const Call& call) const;
  void refuseForPace(const CallKey& key);
  void refuseWaitingForPace();
  double averageRunUs(const wire::CallRequest& request) const;
  double remainingTargetUs(const wire::CallRequest& request) const;
  bool isLate(const wire::CallRequest& request) const;
  void recordRunTime(const Call& call);
  void armExpiry();
  bool isNested(const wire::CallRequest& request) const;
  bool detectNested(base::ConnectionId connection, const wire::CallRequest& request);
  limits::Priority priorityOf(const Call& call) const;
  void releaseSlot(const Call& call);
  void applyLimits();
  bool versionAcceptsCalls() const;
  bool acceptsCalls() const { return versionAcceptsCalls() && !evacuated_; }
  void setEvacuated(bool evacuated);
  void startColdCheck();
  base::ErrorCode closedError() const;
  void refuseWaitingIfClosed();
  void notifyRunEnded(const Call& call, bool failed);
  bool refuseAtOnce(const CallKey& key, const wire::CallRequest& request);
  bool backendRefused(const CallKey& key, const BackendAnswer& answer);
  void handleNotice(const Call& call, const BackendAnswer& answer);
  void logUnreadableRate(const Call& call, const backpressure::backend_notice& notice);
  void useCallersNotice(const wire::CallRequest& request);
  void applyAdvertisedRate();
  bool exceedsAdvertisedRate(const Call& call) const;
  void refuseForRate(const CallKey& key);
  void refuseWaitingWithAlternative();
  void logRateChange(std::optional<double> before, const std::string& cause);
  void onBackendAnswer(const CallKey& key, BackendAnswer answer);
  void refuse(const CallKey& key, base::ErrorCode error, base::Duration retryAfter);
  void answer(const CallKey& key, wire::CallResponse response);
  void refuseForLink(const CallKey& key, base::Duration wait);
  bool usesReservations() const;
  base::Duration expectedRun(const Call& call) const;
  void useReservation(const CallKey& key);
  bool hasNoTimeLeft(const Call& call) const;
  void refuseForCapacity(const CallKey& key);
  std::optional<overload::reservation> offerReservation(const Call& call);
  bool refuseForNested(const CallKey& key);
  bool refusesInTimeRequests() const;
  void startHeldReturns();
  void refuseWith(const CallKey& key, base::ErrorCode error, base::Duration retryAfter, wire::CallResponse response);
  base::Duration callerBackoff(base::Duration interval, base::TimePoint CallerNode::*lastSeenAt) const;
  void logRefusal(const Call& call, base::ErrorCode error, base::Duration retryAfter);
  void logUnknown(const CallKey& key, base::ErrorCode error);
  std::string fingerprintText(const CallKey& key);
  std::string requestIdOf(const wire::CallRequest& request) const;
  static bool isRepeatable(const wire::CallRequest& request);

  EndpointOptions options_;
  base::Scheduler& scheduler_;
  base::Network& network_;
  BackendClient& backend_;
  ledger::LedgerClient* ledger_;  // may be null
  limits::ColdStartLimiter coldStartLimiter_;
  backpressure::advertised_rate advertisedRate_;  // of the current incarnation
  backpressure::rate_limiter rateLimiter_;        // enforces it
  limits::SlotLimiter limiter_;
  limits::SlotLimiter probationLimiter_;                  // one slot, for suspects
  quarantine::request_quarantine* quarantine_ = nullptr;  // may stay null
  quarantine::crash_detector* watch_ = nullptr;           // may stay null
  bool backendStopping_ = false;
  bool stale_ = false;
  EndpointLoadState load_;
  std::unique_ptr<limits::HoldPredictor> holdPredictor_;
  std::map<CallKey, Call> calls_;
  std::map<base::ConnectionId, CallerNode> callerNodes_;
  std::map<base::ConnectionId, std::string> callerServices_;  // services of the connected nodes
  overload::nested_call_detector nestedCallDetector_;
  std::unique_ptr<EndpointReturns> returns_;
  overload::body_flow_controller bodyFlowController_;
  overload::response_transfer_estimator responseTransferEstimator_;
  AnswerSender answers_;
  memory::body_budget* budget_ = nullptr;  // may stay null
  BodyExchange* exchange_ = nullptr;       // may stay null
  std::deque<CallKey> awaitingRoom_;       // calls with awaitsRoom, oldest first, and ones that have ended
  base::Timer bodyTimer_;                  // active while bodies are awaited
  bool draining_ = false;
  bool evacuated_ = false;
  bool hasTable_ = false;
  base::Timer coldCheckTimer_;          // active until a cold check is answered
  std::map<int, double> averageRunUs_;  // moving averages of run times, by target latency of the route
  base::Timer expiryTimer_;             // active while requests wait for a slot
  std::string endpoint_;                // incarnation of the back end, with dynamicEndpoint
  std::string previousEndpoint_;        // name before renameIncarnation(); may be empty
  int endpointSlots_ = 0;
  std::optional<routing::ServiceLimit> tableLimit_;
  std::function<void(const std::string&)> onWrongIncarnation_;  // may be empty
  std::function<void(bool)> onBackendContact_;                  // may be empty
  std::function<void(const std::string&)> onBackendLeaving_;    // may be empty
  std::function<void(const BackendRunResult&)> onRunEnded_;     // may be empty
  std::function<void()> onColdCheckNeeded_;                     // may be empty
  std::string version_;                                         // version of the back end's software; may be empty
  std::optional<rollout::version_policy> versions_;             // versions that accept calls; all if unset
  EndpointCounters counters_;
  base::DecisionLog rateLog_;  // separate, so that other lines don't displace changes of the limit
  base::DecisionLog decisions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::node
