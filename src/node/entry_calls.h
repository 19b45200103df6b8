/// The entry side of calls: routes requests of callers to endpoints, and retries what provably did not run.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "node/call_types.h"
#include "node/endpoint_links.h"
#include "overload/caller_wait_estimator.h"
#include "quarantine/request_quarantine.h"
#include "quota/quota_queue.h"
#include "retry/retry_budget.h"
#include "routing/endpoint_picker.h"
#include "routing/routing_table.h"
#include "routing/weighted_split.h"

namespace driftlug::node {

/// Settings of the entry side.
struct EntryOptions {
  std::string nodeId;
  std::string zone;
  routing::PickerOptions picker;
  bool retries = true;
  routing::RetryRule defaultRetry;  ///< of services without a retry policy
  double retryBurst = retry::RetryBudget::kDefaultBurst;
  /// Retries to one service that all nodes together may make beyond their shares of calls; each gets its part of it, so
  /// that the sum does not grow with the fleet. 0 leaves each node at retryBurst.
  double retrySlack = 0;
  /// Whether requests that may not be repeated get a key of their own, under which the ledger knows them.
  bool mintKeys = true;
  base::Duration fullFor{0};  ///< how long an endpoint that refused for want of slots is not asked again
  base::Duration overloadRetryAfter = base::milliseconds(200);  ///< told to callers when every endpoint is full
  std::string requestIdHeader;  ///< header, in lower case, by which logs name a call; empty for none
  std::string tenantHeader;     ///< header, in lower case, that names the tenant to back ends; empty for none
  /// Share of its target latency after which a repeatable call without an answer is sent to a second endpoint, if one
  /// is idle; 0 for never. The first answer wins. A failure of the back end's own is repeated under the same condition.
  double hedgeAfterShare = 0;
  /// Multiple of its target latency after which a repeatable call without an answer is sent to a second, idle endpoint
  /// also where hedging is off: its connection to the back end may be silent for good, which no other sign shows, as
  /// its node is well and a slow back end says nothing either. 0 for never.
  double lateAfterShare = 2;
  /// Whether calls whose callers have waited longer than the target latency give way to those that can still make it.
  bool inTimeFirst = true;
  double hedgeIdleShare = 0.6;  ///< an endpoint with a smaller share of its slots busy is idle
  /// A body up to this size travels with its call; a larger one is announced, and sent as its receiver grants it.
  size_t inlineBodyBytes = 4096;
  int maxRefusals = 4;  ///< endpoints that may refuse a request before it is given up
  LinkOptions links;
};

/// Counters of the entry side.
struct EntryCounters {
  int64_t calls = 0;
  int64_t completed = 0;
  int64_t refused = 0;  ///< final answers "not run"
  int64_t unknown = 0;  ///< final answers "outcome unknown"
  int64_t attempts = 0;
  int64_t retries = 0;
  int64_t budgetSpent = 0;                  ///< retries that the budget did not allow
  int64_t hedges = 0;                       ///< second attempts beside the first
  int64_t heldBack = 0;                     ///< refused since their request is held
  int64_t probations = 0;                   ///< attempts of suspects
  int64_t silentLinks = 0;                  ///< links that did not acknowledge what was sent on them
  int64_t lateAnswers = 0;                  ///< answers that came after the call had ended; dropped
  int64_t overQuota = 0;                    ///< refused since their tenant is beyond its limit
  int64_t unknownKeys = 0;                  ///< refused since no tenant holds their key
  int64_t abandoned = 0;                    ///< callers that went away before their answer
  base::LatencyHistogram completedLatency;  ///< of completed calls, from the request to the answer
};

/// Identifies one call within this object; never reused.
using CallId = int64_t;

/// Invariants: each call is answered exactly once, at its deadline at the latest; an answer is matched to its
/// attempt by id and connection, or dropped; a request that may not be repeated is sent again only after an
/// endpoint answered NOT_RUN or the attempt was never sent; a call keeps the version it began with.
class EntryCalls : public base::ConnectionHandler {
 public:
  EntryCalls(EntryOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network);
  ~EntryCalls() override;

  /// Has requests that crash back ends told from others; without it, none is.
  /// @param quarantine what is known of them; outlives this object
  void useQuarantine(quarantine::request_quarantine* quarantine) { quarantine_ = quarantine; }

  /// Has calls of tenants with a limit wait for permits; without it, none does.
  /// @param quotas outlives this object
  void useQuotas(quota::quota_queue* quotas) { quotas_ = quotas; }

  /// Sets what tells whether this node hears of the controllers. While it doesn't, a version on trial gets nothing from
  /// here: nobody could take it back. Without it, the node is held to hear of them.
  void useFreshness(std::function<bool()> fresh) { fresh_ = std::move(fresh); }

  /// Uses a new version for calls that begin from now on.
  void useTable(routing::RoutingTablePtr table);

  /// What relays say of endpoints.
  void onEndpointStates(const std::vector<wire::EndpointState>& states);

  /// Begins a call. The callback is called once, never from within this call.
  CallId begin(InboundCall call, AnswerCallback done);

  /// Refuses every call that begins from now on as not run; those in progress go on.
  void refuseNew() { refusing_ = true; }

  /// Ends a planned stop: calls that no back end has begun to run get their final answer as not run, and nothing is
  /// sent again. Those whose bodies have not left are answered at once; of the others the endpoints' nodes are asked.
  void refuseWaiting();

  /// The caller went away.
  void abandon(CallId call);

  size_t active() const { return calls_.size(); }
  /// @return whether a connection was opened by this side.
  bool leadsFrom(base::ConnectionId connection) const { return links_.leadsFrom(connection); }
  size_t links() const { return links_.size(); }

  /// @return how often an endpoint was left without a link at the bound of links.
  int64_t linksLeftOut() const { return links_.leftOut(); }
  const EntryCounters& counters() const { return counters_; }
  const routing::RoutingTablePtr& table() const { return table_; }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override;
  void onMessage(base::ConnectionId connection, wire::Message message) override;
  void onClose(base::ConnectionId connection) override;

 private:
  struct Call {
    InboundCall inbound;
    AnswerCallback done;
    routing::RoutingTablePtr table;  // the version the call began with
    std::string route;
    std::string service;
    std::string tenant;    // empty where callers need no key
    std::string endpoint;  // that was asked last
    base::TimePoint begunAt{};
    int maxAttempts = 1;  // back ends that it may reach
    int priority = 0;
    int targetLatencyMs = 0;
    int waitedMs = 0;  // of the caller, with earlier calls that were refused
    bool repeatable = false;
    std::string idempotencyKey;
    base::TimePoint deadline;
    base::TimerId timer = 0;
    int attempts = 0;               // that reached a back end, or may have
    int refusals = 0;               // by nodes beside back ends
    std::vector<int64_t> inFlight;  // ids of attempts; more than one only while the call is hedged
    base::TimerId hedgeTimer = 0;
    std::set<std::string> tried;
    bool onTrial = false;     // first goes to the version on trial
    bool mayHaveRun = false;  // an attempt reached a back end and was not refused there
    std::optional<quarantine::request_fingerprint> fingerprint;  // once it was needed
    CallAnswer lastFailure;
  };

  struct Attempt {
    CallId call;
    std::string endpoint;
    base::ConnectionId connection;
    base::TimePoint sentAt;
    size_t bodySent = 0;  // bytes of the call's body
  };

  const routing::Route* findRoute(const InboundCall& inbound) const;
  double retryBurst() const;
  bool authenticate(Call* call, const routing::Route& route);
  void askForPermit(CallId id, const std::string& tenant);
  void onPermit(CallId id, const quota::permit_outcome& outcome);
  void finishLater(CallId id, CallAnswer answer);
  void onLinkLost(base::ConnectionId connection, const std::string& endpoint);
  void onLinkSilent(base::ConnectionId connection);
  void sendBeside(CallId id, const char* because);
  void attempt(CallId id);
  void send(CallId id, Call* call, const routing::EndpointTarget& target, bool suspect = false);
  void onResponse(base::ConnectionId connection, const wire::CallResponse& response);
  void onBodyGrant(base::ConnectionId connection, const wire::CallBodyGrant& grant);
  bool bodyHasLeft(const Attempt& attempt) const;
  const routing::EndpointTarget* pickEndpoint(const Call& call);
  bool drawsTrial(const std::string& service);
  const std::vector<routing::EndpointTarget>& candidatesFor(const Call& call) const;
  const quarantine::request_fingerprint& fingerprintOfCall(Call* call);
  quarantine::standing judge(Call* call);
  void finishHeld(CallId id, int retryAfterMs);
  void attemptOnProbation(CallId id, Call* call);
  void noteCrash(const Attempt& attempt, const wire::CallResponse& response);
  /// How far an attempt that failed had come.
  enum class Reach { kNode, kRefusedByBackend, kMayHaveRun };

  void armHedge(CallId id, Call* call);
  void onHedgeTimer(CallId id);
  const routing::EndpointTarget* idleEndpoint(const Call& call);
  bool mayHedge(Call* call);
  double besideAfterShare() const;
  bool mayBeSentBeside(Call* call);
  void onCompleted(const Attempt& attempt, const wire::CallResponse& response);
  void dropAttempt(CallId call, int64_t attemptId);
  void onNotRun(const Attempt& attempt, const wire::CallResponse& response);
  void onAttemptFailed(CallId id, Reach reach, CallAnswer failure);
  void onDeadline(CallId id);
  void finish(CallId id, CallAnswer answer);
  CallAnswer failureAnswer(wire::CallOutcome::type outcome, base::ErrorCode error, int status, int retryAfterMs) const;
  std::string requestIdOf(const Call& call) const;
  std::string fingerprintText(Call* call);
  void logAttemptFailed(Call* call, Reach reach, bool again, const char* because);
  void logOutcome(Call* finished, const CallAnswer& answer);
  static int rankOf(const Call& call);
  base::Duration spread(base::Duration duration);
  std::string mintKey();

  EntryOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  base::Network& network_;
  routing::RoutingTablePtr table_;  // null before the first version
  routing::EndpointPicker picker_;
  std::map<std::string, routing::WeightedSplit> splits_;             // by route
  std::map<std::string, routing::WeightedSplit> versionSplits_;      // by service
  std::function<bool()> fresh_;                                      // may be empty
  std::map<std::string, overload::caller_wait_estimator> patience_;  // by route
  std::map<std::string, retry::RetryBudget> budgets_;                // by service
  std::map<CallId, Call> calls_;
  std::map<int64_t, Attempt> attempts_;  // by the id that travels in frames
  EndpointLinks links_;
  quarantine::request_quarantine* quarantine_ = nullptr;  // may stay null
  quota::quota_queue* quotas_ = nullptr;                  // may stay null
  bool refusing_ = false;
  bool ending_ = false;  // nothing is sent again
  CallId nextCall_ = 1;
  int64_t nextAttempt_ = 1;
  EntryCounters counters_;
  base::DecisionLog decisions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::node
