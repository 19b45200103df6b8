/// The endpoint side of calls: admits them to the back end beside this node.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/decision_log.h"
#include "base/latency_histogram.h"
#include "base/network.h"
#include "base/time.h"
#include "ledger/ledger_client.h"
#include "limits/cold_start_limiter.h"
#include "limits/slot_limiter.h"
#include "node/call_types.h"
#include "overload/body_flow_controller.h"
#include "overload/nested_call_detector.h"
#include "overload/response_transfer_estimator.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_quarantine.h"
#include "routing/routing_table.h"

namespace driftlug::node {

/// Settings of the endpoint side.
struct EndpointOptions {
  std::string service;  ///< empty on a node without a back end
  int defaultSlots = 16;
  int defaultQueue = 32;
  /// A header, in lower case, by which the back end says that it did not run the request.
  std::string notRunHeader = "x-shed";
  /// Whether calls are taken only for the incarnation of the back end that useIncarnation() named.
  bool dynamicEndpoint = false;
  /// Whether a request is refused at once when it would wait so long for a slot that its answer would miss the target
  /// latency of its route; else it waits as long as its deadline allows.
  bool waitWithinTarget = false;
  /// What a cold back end is handed, as a multiple of what it bears by the table.
  double coldOverage = 1;
  double holdMargin = 1.3;       ///< with waitWithinTarget: what is kept free for the run, as a multiple of a usual run
  double leastWaitShare = 0.15;  ///< with waitWithinTarget: share of the target that a request may wait at the least
  /// Whether nested calls, as far as they can be told, go first: the work that hangs on them is done already.
  bool nestedFirst = true;
  double nestedShare = 0.75;             ///< with nestedFirst: share of the slots that they may hold while others wait
  std::string requestIdHeader;           ///< header, in lower case, by which logs name a call; empty for none
  base::Duration overloadRetryAfter{0};  ///< least time after which a refused caller is asked to come back
  base::Duration maxFullFor = base::milliseconds(1500);  ///< longest time for which an asking node is sent away
  std::string nodeId;
  std::string zone;  ///< of this node and its back end
  overload::body_flow_controller_options bodies;
};

/// Counters of the endpoint side.
struct EndpointCounters {
  int64_t calls = 0;
  int64_t completed = 0;
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t heldBack = 0;       ///< refused since their request is held
  int64_t probationRuns = 0;  ///< of suspects
  int64_t cutRuns = 0;        ///< whose connection the back end closed without an answer, as it does when it crashes
  int64_t cancelled = 0;
  int64_t replayed = 0;           ///< answered from the ledger, without a run
  int64_t refusedForLink = 0;     ///< refused since their body could not have arrived in time
  int64_t refusedForAnswer = 0;   ///< refused since their answer could not have left in time
  base::LatencyHistogram waited;  ///< of calls that started: from their arrival to their start
  base::LatencyHistogram ran;     ///< of completed calls: from their start to the back end's answer
};

/// A run on the back end that has ended.
struct EndedRun {
  int64_t route = 0;    ///< hash of the route's name; 0 where its caller did not tell
  bool failed = false;  ///< the back end, not the request, was at fault: a 5xx of its own, a cut answer, none in time
  base::Duration took{0};
};

/// A request that may not be repeated is claimed in the ledger before the back end sees it, under its idempotency
/// key: whoever sends the key again gets the stored answer, or "outcome unknown", and never a second run.
///
/// Invariants: a call answered NOT_RUN was never sent to the back end, or the back end itself said that it did
/// not run it; a call is sent to the back end at most once.
class EndpointCalls {
 public:
  /// @param ledger null where requests that may not be repeated are taken without a claim
  EndpointCalls(EndpointOptions options, base::Scheduler& scheduler, base::Network& network, BackendClient& backend,
                ledger::LedgerClient* ledger);
  ~EndpointCalls();

  /// Takes limits from a new version.
  void useTable(const routing::RoutingTable& table);

  /// Has requests that crash the back end told from others; without it, none is.
  /// @param quarantine what is known of them; outlives this object, as `watch` does
  /// @param watch tells crashes; null where the back end can't be asked
  void useQuarantine(quarantine::request_quarantine* quarantine, quarantine::crash_watch* watch);

  /// The standing of requests may have changed: those that wait are judged again.
  void onQuarantineChange();

  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onRequest(base::ConnectionId connection, const wire::CallRequest& request);
  /// A caller asks for a sign of life.
  void onKeepAlive(base::ConnectionId connection);

  void onBodyPiece(base::ConnectionId connection, const wire::CallBodyPiece& piece);
  void onCancel(base::ConnectionId connection, int64_t callId);
  /// A caller's node stops: a call that has not begun to run is refused.
  void onWithdraw(base::ConnectionId connection, int64_t callId);
  void onClose(base::ConnectionId connection);

  /// Refuses new calls and those that wait from now on, or accepts calls again; running ones go on.
  void setDraining(bool draining);

  /// The back end says that it ends, or does not say so any more: what it cuts then tells of no crash.
  void setLeaving(bool leaving) { leaving_ = leaving; }

  /// The back end beside this node is another incarnation now.
  /// @param endpoint its name; empty while none is known, and then every call is refused
  /// @param slots requests that it works on at once; 0 when it does not say
  void useIncarnation(const std::string& endpoint, int slots);

  /// Whether what arrives now may have waited unread while this process was stopped or its machine suspended: nobody
  /// knows any more how much of its time is left, so it is refused as not run.
  void setStale(bool stale) { stale_ = stale; }

  /// The incarnation in use goes by another name from now on; calls for the former one are taken too.
  void renameIncarnation(const std::string& endpoint);

  /// The back end has started again: what it was working on is lost, and so are all connections to it.
  void onBackendRestarted();

  /// Called when the back end says that it is another incarnation than the named one.
  void onWrongIncarnation(std::function<void(const std::string&)> handler) { onWrongIncarnation_ = std::move(handler); }

  /// The back end said for how long it is cold, by itself or when it was asked.
  void onColdTold(base::Duration coldFor, bool asked);

  /// The back end may have turned cold without saying so.
  void doubtWarmth();

  /// Called when the back end is to be asked whether it is cold; the answer goes to onColdTold().
  void onDoubtedWarmth(std::function<void()> handler) { onDoubtedWarmth_ = std::move(handler); }

  /// Called when a run has ended, unless its caller gave it up.
  void onRunEnded(std::function<void(const EndedRun&)> handler) { onRunEnded_ = std::move(handler); }

  /// The version of the back end's software changed, or is known now; a rollout decides whether it takes calls.
  void useVersion(const std::string& version);

  /// Called when the back end has answered a call, or could not be reached for one.
  void onBackendContact(std::function<void(bool reached)> handler) { onBackendContact_ = std::move(handler); }

  bool draining() const { return draining_; }
  size_t active() const { return calls_.size(); }
  const EndpointCounters& counters() const { return counters_; }
  const limits::SlotLimiter& limiter() const { return limiter_; }
  const overload::body_flow_controller& bodies() const { return bodies_; }

 private:
  /// Time for which a node goes on to tell the ledger how a request ended.
  static constexpr base::Duration kLedgerPatience = base::seconds(2);

  struct CallKey {
    base::ConnectionId connection;
    int64_t callId;
    auto operator<=>(const CallKey&) const = default;
  };

  struct Call {
    wire::CallRequest request;
    base::TimePoint deadline;
    base::TimePoint arrivedAt{};
    base::TimePoint latestStart{};  // at which the back end must get it for its answer to be of use
    bool awaitsBody = false;        // pieces of its body are still to come
    limits::TicketId ticket = 0;
    std::optional<quarantine::request_fingerprint> fingerprint;  // once it was needed
    bool suspect = false;                                        // runs on probation
    bool onProbation = false;                                    // holds the one place for suspects
    base::TimePoint onProbationAt{};
    limits::TicketId probationTicket = 0;  // while it waits for that place
    bool nested = false;                   // made by a back end, as far as can be told
    limits::Priority priority = limits::Priority::kNormal;
    bool running = false;
    uint64_t backendId = 0;
    base::TimePoint startedAt{};
    std::string owner;    // of the claim, empty while there is none
    int claimsTried = 0;  // while another owner holds the key
  };

  /// When a connected node last asked for something.
  struct Asker {
    base::TimePoint askedAt{};
    base::TimePoint announcedAt{};  // a call with a body in pieces
  };

  void admit(const CallKey& key);
  void acquireSlot(const CallKey& key, bool ready = true);
  void onSlotRefused(const CallKey& key, limits::SlotRefusal refusal);
  const quarantine::request_fingerprint& fingerprintOfCall(const CallKey& key);
  quarantine::standing judge(const CallKey& key);
  void putOnProbation(const CallKey& key);
  void refuseHeld(const CallKey& key);
  bool mayRunNow(const CallKey& key);
  void onCut(const CallKey& key);
  void answerCrashed(const CallKey& key, uint64_t crash);
  void noteRanWell(const CallKey& key);
  void forget(const CallKey& key);
  void awaitBody(const CallKey& key);
  void grantBodies();
  base::Duration answerDelay(const CallKey& key) const;
  bool answerWouldBeLate(const CallKey& key) const;
  void refuseForAnswer(const CallKey& key);
  void onBodyTimer();
  void onBodyWhole(const CallKey& key);
  void refuseAwaitingBodies();
  void dropBody(const CallKey& key, Call* call);
  void run(const CallKey& key);
  void sendToBackend(const CallKey& key);
  void claim(const CallKey& key);
  void onClaim(const CallKey& key, const ledger::LedgerAnswer& answer);
  void answerCompleted(const CallKey& key, wire::StoredAnswer stored);
  void releaseThenRefuse(const CallKey& key, base::ErrorCode error, base::Duration retryAfter);
  void answerUnknown(const CallKey& key, base::ErrorCode error);
  static overload::call_kind kindOf(const wire::CallRequest& request);
  base::TimePoint latestStartOf(const Call& call) const;
  double usualRunUs(const wire::CallRequest& request) const;
  double leftOfTargetUs(const wire::CallRequest& request) const;
  bool isLate(const wire::CallRequest& request) const;
  void noteRun(const Call& call);
  void armExpiry();
  bool learnWhetherNested(base::ConnectionId connection, const wire::CallRequest& request);
  limits::Priority priorityOf(const Call& call) const;
  void releaseSlot(const Call& call);
  void applyLimits();
  bool versionTakesCalls() const;
  bool takesCalls() const { return versionTakesCalls() && !evacuated_; }
  void useEvacuation(bool evacuated);
  void askForWarmth();
  base::ErrorCode closedError() const;
  void refuseUnreleased();
  void noteEnded(const Call& call, bool failed);
  bool refuseAtOnce(const CallKey& key, const wire::CallRequest& request);
  bool backendRefused(const CallKey& key, const BackendAnswer& answer);
  void onBackendAnswer(const CallKey& key, BackendAnswer answer);
  void refuse(const CallKey& key, base::ErrorCode error, base::Duration retryAfter);
  void answer(const CallKey& key, wire::CallResponse response);
  void refuseForLink(const CallKey& key, base::Duration wait);
  void refuseWith(const CallKey& key, base::ErrorCode error, base::Duration retryAfter, wire::CallResponse response);
  base::Duration sentAwayFor(base::Duration interval, base::TimePoint Asker::*askedAt) const;
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
  limits::ColdStartLimiter pace_;
  limits::SlotLimiter limiter_;
  limits::SlotLimiter probation_;                         // one place, for suspects
  quarantine::request_quarantine* quarantine_ = nullptr;  // may stay null
  quarantine::crash_watch* watch_ = nullptr;              // may stay null
  bool leaving_ = false;
  bool stale_ = false;
  std::map<CallKey, Call> calls_;
  std::map<base::ConnectionId, Asker> askers_;
  std::map<base::ConnectionId, std::string> callerServices_;  // the services beside the connected nodes
  overload::nested_call_detector origins_;
  overload::body_flow_controller bodies_;
  overload::response_transfer_estimator answers_;
  base::ConnectionId beside_ = 0;  // of this node's own callers; crosses no link
  base::Timer bodyTimer_;          // runs while bodies are awaited
  bool draining_ = false;
  bool evacuated_ = false;
  bool hasTable_ = false;
  base::Timer warmthTimer_;           // runs while it is doubtful whether the back end is warm
  std::map<int, double> usualRunUs_;  // moving averages of runs, by the target latency of their routes
  base::Timer expiryTimer_;           // runs while requests wait for a slot
  std::string endpoint_;              // the incarnation of the back end, with dynamicEndpoint
  std::string formerName_;            // by which it was known before; may be empty
  int endpointSlots_ = 0;
  std::optional<routing::ServiceLimit> tableLimit_;
  std::function<void(const std::string&)> onWrongIncarnation_;  // may be empty
  std::function<void(bool)> onBackendContact_;                  // may be empty
  std::function<void(const EndedRun&)> onRunEnded_;             // may be empty
  std::function<void()> onDoubtedWarmth_;                       // may be empty
  std::string version_;                                         // of the back end's software; may be empty
  std::optional<rollout::version_policy> versions_;             // that take calls; all where nothing is known
  EndpointCounters counters_;
  base::DecisionLog decisions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::node
