/// Entry side of a node: routes calls to endpoints, retries and hedges them, and answers their callers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "backpressure/backend_notice.h"
#include "backpressure/endpoint_notices.h"
#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "memory/body_budget.h"
#include "node/body_exchange.h"
#include "node/call_types.h"
#include "node/endpoint_links.h"
#include "node/entry_calls_answers.h"
#include "node/entry_returns.h"
#include "overload/caller_wait_estimator.h"
#include "overload/latency_bound.h"
#include "overload/nested_admission.h"
#include "quarantine/request_quarantine.h"
#include "quota/quota_queue.h"
#include "retry/retry_budget.h"
#include "routing/endpoint_picker.h"
#include "routing/placement/completion_chooser.h"
#include "routing/routing_table.h"
#include "routing/weighted_split.h"

namespace driftlug::node {

/// Settings of the entry side.
struct EntryOptions {
  std::string nodeId;
  std::string zone;
  routing::PickerOptions picker;
  bool retries = true;
  routing::RetryRule defaultRetry;  ///< for services without a retry policy
  double retryBurst = retry::RetryBudget::kDefaultBurst;
  /// Retries to one service that all nodes together may make beyond the budget percentage. Each node's burst is an
  /// equal part of it, between 1 and retryBurst, so that the sum does not grow with the fleet. 0 gives each node
  /// retryBurst.
  double retrySlack = 0;
  /// Whether non-repeatable requests without an idempotency key get a generated one, by which the ledger identifies
  /// them.
  bool generateIdempotencyKeys = true;
  base::Duration fullFor{0};  ///< minimum back-off for an endpoint that refused because its slots were full
  base::Duration overloadRetryAfter =
      base::milliseconds(200);  ///< base of the retry-after hint when no endpoint has capacity; jittered
  std::string requestIdHeader;  ///< lower-case header whose value identifies a call in logs; empty for none
  std::string tenantHeader;     ///< lower-case header that passes the tenant's name to back ends; empty for none
  /// Fraction of its target latency after which an unanswered repeatable call is hedged: sent to a second endpoint, if
  /// one is idle; 0 disables hedging. The first answer wins. Server errors (5xx) of back ends are retried under the
  /// same condition.
  double hedgeAfterShare = 0;
  /// Multiple of its target latency after which an unanswered repeatable call is hedged although hedgeAfterShare is 0;
  /// 0 for never. The connection between the endpoint's node and its back end may be dead without a reset, which looks
  /// like a slow back end: the node itself still responds.
  double fallbackHedgeAfterShare = 2;
  /// Whether calls whose callers have already waited longer than the target latency rank behind those that can still
  /// meet it.
  bool deprioritizeLateCalls = true;
  double hedgeIdleShare = 0.6;  ///< an endpoint is idle below this fraction of busy slots
  /// Bodies up to this size are sent inline with the call; larger ones are announced, and sent as the receiver grants
  /// them.
  size_t inlineBodyBytes = 4096;
  int maxRefusals = 4;  ///< refusals by nodes after which a call fails
  LinkOptions links;
  backpressure::notice_headers notices;
};

/// Counters of the entry side.
struct EntryCounters {
  int64_t calls = 0;
  int64_t completed = 0;
  int64_t refused = 0;  ///< calls answered as not run
  int64_t unknown = 0;  ///< calls answered with an unknown outcome
  int64_t attempts = 0;
  int64_t retries = 0;
  int64_t budgetDenials = 0;                ///< retries denied by the retry budget
  int64_t hedges = 0;                       ///< hedged attempts, sent while the first is in flight
  int64_t heldBack = 0;                     ///< calls refused because their request is held in quarantine
  int64_t probations = 0;                   ///< attempts of suspect requests, sent on probation
  int64_t silentLinks = 0;                  ///< times a link failed to acknowledge in time
  int64_t lateAnswers = 0;                  ///< answers dropped because their attempt had already ended
  int64_t refusedForStop = 0;               ///< calls refused because they could not end before this process
  int64_t invalidResponses = 0;             ///< responses of back ends that are not valid HTTP, from other nodes
  int64_t overQuota = 0;                    ///< calls refused because their tenant exceeds its limit
  int64_t unknownKeys = 0;                  ///< calls refused because no tenant has their key
  int64_t releasedBodies = 0;               ///< sent bodies dropped for lack of memory before their calls ended
  int64_t abandoned = 0;                    ///< calls whose callers disconnected before the answer
  base::LatencyHistogram completedLatency;  ///< of completed calls, from request to answer
};

/// Identifies a call within an EntryCalls; never reused.
using CallId = int64_t;

/// Routes calls to endpoints, retries them within the retry budget, and answers each caller.
///
/// Invariants:
/// - Each call is answered exactly once, by its deadline at the latest, unless its caller abandons it.
/// - An answer is matched to its attempt by id and connection, or dropped.
/// - A non-repeatable request is resent only after an endpoint answered NOT_RUN or its body was not fully sent.
/// - A call keeps the route that it was matched to; its attempts use the endpoints and rollout of the current table.
class EntryCalls : public base::ConnectionHandler {
 public:
  EntryCalls(EntryOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network);
  ~EntryCalls() override;

  /// Enables the quarantine of requests that crash back ends.
  /// @param quarantine must outlive this object
  void useQuarantine(quarantine::request_quarantine* quarantine) { quarantine_ = quarantine; }

  /// Bounds the answers that are held for callers; without a budget, they have no bound. Frees bodies of requests that
  /// were sent and are kept for further attempts, when the budget has no room.
  /// @param budget must outlive this object
  void useBodyBudget(memory::body_budget* budget);

  /// Passes and takes the bodies of calls to the local back end without copies.
  /// @param exchange shared with the endpoint side; must outlive this object
  void useBodyExchange(BodyExchange* exchange) { exchange_ = exchange; }

  /// Makes calls of tenants with a limit wait for quota permits; by default, limits are not enforced.
  /// @param quotas must outlive this object
  void useQuotas(quota::quota_queue* quotas) { quotas_ = quotas; }

  /// Sets a check of whether this node receives current state from the controllers. While it does not, no share of
  /// calls goes to the target version of a rollout, since a rollback could not reach this node. Without a check, the
  /// state counts as current.
  void setFreshnessCheck(std::function<bool()> isFresh) { isFresh_ = std::move(isFresh); }

  /// Sets the handlers for the begin and the end of calls of routes that are known to be nested. Such calls are made by
  /// the local back end.
  void onNestedCalls(std::function<void()> began,
                     std::function<void(overload::nested_outcome, base::Duration latency)> ended) {
    onNestedBegan_ = std::move(began);
    onNestedEnded_ = std::move(ended);
  }

  /// Replaces the routing table. Calls in progress keep their route.
  void useTable(routing::RoutingTablePtr table);

  /// Applies endpoint states received from relays.
  void onEndpointStates(const std::vector<wire::EndpointState>& states);

  /// @return whether a back end has been announced as an endpoint of a service, whatever became of it.
  bool isAnnounced(const std::string& service, std::string_view backend) const {
    return links_.isAnnounced(service, backend);
  }

  /// @return whether any back end has been announced at an address, whatever became of it.
  bool isAnnouncedAt(const base::Address& address) const { return links_.isAnnouncedAt(address); }

  /// Begins a call. The callback runs once, unless the call is abandoned, and never from within begin().
  CallId begin(InboundCall call, AnswerCallback done);

  /// Begins a planned stop. New calls and further attempts that are not expected to be answered by a point in time are
  /// refused as not run, and those that wait for a slot at an endpoint are withdrawn once they can't be.
  void prepareEnd(base::TimePoint answeredBy);

  /// Answers all new calls as not run; calls in progress continue.
  void refuseNew() { refusingNewCalls_ = true; }

  /// Ends the drain of a planned stop: calls that no back end has started are answered as not run, and no call is
  /// retried any more. Calls whose bodies are not fully sent are answered at once; the others are withdrawn from the
  /// nodes of their endpoints.
  void refuseWaiting();

  /// Answers all calls in progress as ones that may have run: the process ends.
  void answerPending();

  /// Cancels a call whose caller disconnected; its callback is not called.
  void abandon(CallId call);

  size_t active() const { return calls_.size(); }
  /// @return whether this node opened the connection.
  bool isOutbound(base::ConnectionId connection) const { return links_.isOutbound(connection); }
  size_t links() const { return links_.size(); }

  /// @return the number of reservations that are kept for requests that may return.
  size_t keptReservations() const { return returns_.size(); }

  /// @return number of endpoints whose back ends advertise a rate limit, as far as this node knows.
  size_t rateLimitedEndpoints() const { return notices_.rateLimited(); }

  /// @return how often an endpoint got no link because the link limit was reached.
  int64_t skippedLinks() const { return links_.skippedEndpoints(); }
  const EntryCounters& counters() const { return counters_; }
  const routing::placement_counters& placementCounters() const { return placement_.counters(); }
  const AnswerGatherer& answers() const { return answers_; }
  const routing::RoutingTablePtr& table() const { return table_; }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override;
  void onMessage(base::ConnectionId connection, wire::Message message) override;
  void onClose(base::ConnectionId connection) override;

 private:
  /// Retry-after hint where an endpoint or the state of this node names no time.
  static constexpr int kDefaultRetryAfterMs = 200;

  struct Call {
    InboundCall inbound;
    size_t bodyBytes = 0;       // of the request
    bool bodyReleased = false;  // its body was dropped, so that it can't be sent again
    AnswerCallback done;
    routing::RoutingTablePtr table;  // table in force when the call began
    std::string route;
    std::string service;
    std::string tenant;    // empty where callers need no key
    std::string endpoint;  // of the latest attempt
    base::TimePoint startedAt{};
    int maxAttempts = 1;  // attempts that may reach a back end
    int priority = 0;
    int targetLatencyMs = 0;
    bool largeAnswer = false;  // of a route with large answers
    int waitedMs = 0;          // time that the caller has already waited, as estimated from its deadline
    bool repeatable = false;
    std::string idempotencyKey;
    base::TimePoint deadline;
    base::TimerId timer = 0;
    int attempts = 0;               // attempts that reached a back end, or may have
    int refusals = 0;               // attempts that failed before they reached a back end
    std::vector<int64_t> inFlight;  // attempt ids; more than one only while the call is hedged
    base::TimerId hedgeTimer = 0;
    std::set<std::string> tried;
    bool useTargetVersion = false;  // the first attempt goes to the target version of a rollout
    bool mayHaveRun = false;        // an attempt may have been run by a back end
    std::optional<quarantine::request_fingerprint> fingerprint;  // computed on first use
    CallAnswer lastFailure;
    std::optional<KeptReservation> reservation;  // of an earlier refusal, for the first attempt
    std::optional<KeptReservation> offered;      // the earliest that endpoints have offered
    bool refusedForCapacity = false;             // by the node of an endpoint
    bool nested = false;                         // reported to onNestedBegan_
  };

  struct Attempt {
    CallId call;
    std::string endpoint;
    base::ConnectionId connection;
    base::TimePoint sentAt;
    size_t bodyBytesSent = 0;  // of the call's body
    bool withdrawn = false;    // its endpoint refuses it unless it runs already
  };

  const routing::Route* findRoute(const InboundCall& inbound) const;
  double retryBurst() const;
  bool authenticate(Call* call, const routing::Route& route);
  void requestPermit(CallId id, const std::string& tenant);
  void onPermit(CallId id, const quota::permit_outcome& outcome);
  void finishLater(CallId id, CallAnswer answer);
  void onLinkLost(base::ConnectionId connection);
  void onLinkSilent(base::ConnectionId connection);
  void sendHedge(CallId id, const char* reason);
  void attempt(CallId id);
  void send(CallId id, Call* call, const routing::EndpointTarget& target, bool suspect = false);
  void onResponse(base::ConnectionId connection, wire::CallResponse response, memory::shared_body body = {});
  void replaceInvalidResponse(base::ConnectionId connection, wire::CallResponse* response);
  bool gatherAnswer(int64_t attemptId, const wire::CallResponse& response);
  void reserveAnswers();
  void releaseSentBodies(int64_t bytes);
  void onAnswerPiece(base::ConnectionId connection, const wire::CallAnswerPiece& piece);
  void sendAnswerCredits();
  void onBodyGrant(base::ConnectionId connection, const wire::CallBodyGrant& grant);
  bool isBodySent(const Attempt& attempt) const;
  bool hasAlternative(const Call& call, const std::string& endpoint);
  CallAnswer noEndpointAnswer(const Call& call);
  void beginReturn(Call* call);
  void endReturn(Call* call, CallAnswer* answer);
  const routing::EndpointTarget* reservedEndpoint(const Call& call);
  void onRefusedByNode(const Attempt& attempt, const wire::CallResponse& response);
  void onAccepted(base::ConnectionId connection, const wire::CallAccepted& accepted);
  const routing::EndpointTarget* pickEndpoint(const Call& call);
  void observeSent(int64_t attemptId, const Call& call);
  void observeAccepted(base::ConnectionId connection, const wire::CallAccepted& accepted);
  void observeResponse(const wire::CallResponse& response);
  bool drawsTargetVersion(const std::string& service);
  const std::vector<routing::EndpointTarget>& candidatesFor(const Call& call) const;
  const quarantine::request_fingerprint& fingerprintOfCall(Call* call);
  quarantine::request_status quarantineStatus(Call* call);
  void finishHeld(CallId id, int retryAfterMs);
  void attemptOnProbation(CallId id, Call* call);
  void recordCrash(const Attempt& attempt, const wire::CallResponse& response);
  /// How far an attempt got before it failed.
  enum class AttemptProgress { kBeforeBackend, kRefusedByBackend, kMayHaveRun };

  void startHedgeTimer(CallId id, Call* call);
  void onHedgeTimer(CallId id);
  const routing::EndpointTarget* pickIdleEndpoint(const Call& call);
  bool hedgingEnabledFor(Call* call);
  double effectiveHedgeAfterShare() const;
  bool mayHedge(Call* call);
  void onCompleted(const Attempt& attempt, const wire::CallResponse& response, memory::shared_body body);
  Attempt endFailedAttempt(int64_t attemptId);
  void removeAttempt(CallId call, int64_t attemptId);
  void onNotRun(const Attempt& attempt, const wire::CallResponse& response);
  void onAttemptFailed(CallId id, AttemptProgress progress, CallAnswer failure);
  bool canEndInTime(const Call& call) const;
  base::Duration expectedLatency(const Call& call) const;
  void recordLatency(const std::string& route, base::Duration latency);
  CallAnswer stoppingAnswer() const;
  void withdraw(int64_t attemptId, Attempt* attempt);
  void withdrawLate();
  void onDeadline(CallId id);
  void finish(CallId id, CallAnswer answer);
  CallAnswer failureAnswer(wire::CallOutcome::type outcome, base::ErrorCode error, int status, int retryAfterMs) const;
  std::string requestIdOf(const Call& call) const;
  std::string fingerprintText(Call* call);
  void logAttemptFailed(Call* call, AttemptProgress progress, bool willRetry, const char* reason);
  void logOutcome(Call* finished, const CallAnswer& answer);
  static int rankOf(const Call& call);
  base::Duration withJitter(base::Duration duration);
  std::string generateIdempotencyKey();

  EntryOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  base::Network& network_;
  routing::RoutingTablePtr table_;  // null before the first table
  routing::EndpointPicker picker_;
  routing::completion_chooser placement_;
  std::map<std::string, routing::WeightedSplit> routeSplits_;                    // by route
  std::map<std::string, routing::WeightedSplit> versionSplits_;                  // by service
  std::function<bool()> isFresh_;                                                // may be empty
  std::map<std::string, overload::caller_wait_estimator> callerWaitEstimators_;  // by route
  std::map<std::string, retry::RetryBudget> retryBudgets_;                       // by service
  std::map<CallId, Call> calls_;
  std::map<int64_t, Attempt> attempts_;  // by the call id used in frames
  AnswerGatherer answers_;
  base::Timer roomTimer_;             // runs while an answer waits for room for its body
  BodyExchange* exchange_ = nullptr;  // may stay null
  EndpointLinks links_;
  EntryReturns returns_;
  std::function<void()> onNestedBegan_;                                          // may be empty
  std::function<void(overload::nested_outcome, base::Duration)> onNestedEnded_;  // may be empty
  backpressure::endpoint_notices notices_;
  quarantine::request_quarantine* quarantine_ = nullptr;  // may stay null
  quota::quota_queue* quotas_ = nullptr;                  // may stay null
  bool refusingNewCalls_ = false;
  std::optional<base::TimePoint> answeredBy_;               // set by a planned stop
  base::Timer withdrawTimer_;                               // runs during a planned stop
  std::map<std::string, overload::latency_bound> latency_;  // of attempts that were served, by route
  bool stopping_ = false;                                   // calls are no longer retried
  CallId nextCall_ = 1;
  int64_t nextAttempt_ = 1;
  EntryCounters counters_;
  base::DecisionLog decisionLog_;
  base::DecisionLog placementLog_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::node
