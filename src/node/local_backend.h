/// State of a node's local back end, from its reports (dynamic endpoints).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "base/log.h"
#include "base/time.h"
#include "node/endpoint_calls.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::node {

/// Periodic report of a back end. Every start of a back end is a separate endpoint: it has either a new name or the
/// previous name with another start time.
struct BackendReport {
  std::string incarnation;  ///< name of the back end
  int64_t sequence = 0;     ///< increases with every report of a start
  int slots = 0;            ///< number of requests that it runs concurrently; 0 if unknown
  int coldMs = 0;           ///< remaining time for which it is slow after its start
  bool draining = false;
  int64_t startedAtMs = 0;  ///< Unix time of its start by its own clock, which may jump; 0 if unknown
  std::string version;      ///< version of its software; empty if unknown
};

/// Result of LocalBackend::onReport().
enum class ReportResult {
  kAccepted,
  kOutdated,     ///< a newer report was accepted, or the reported start has ended
  kPending,      ///< an identity check decides: it names another incarnation than the current one, or may be late
  kUnconfirmed,  ///< it is of another start of the current incarnation and may be late; the sender has to repeat it
};

/// Answer of a back end to an identity check.
struct BackendIdentity {
  std::string incarnation;      ///< empty if it did not answer in time
  bool unavailable = false;     ///< it is draining or unhealthy
  bool healthy = false;         ///< it is healthy; both flags are false if it refused the check for lack of a slot
  std::optional<int> coldMs{};  ///< remaining time for which it is slow after its start, if reported
};

/// Timeouts and limits of LocalBackend.
struct LocalBackendOptions {
  /// A back end that neither reports nor answers a call for this long gets no calls until its next report.
  base::Duration silenceTimeout = base::seconds(4);
  int maxFailedConnections = 3;  ///< consecutive failed connections after which it gets no calls until its next report
  /// Longest time by which a report can be late. A report that arrives within this time after a restart of the node may
  /// have been sent before a drain or sign-off that the node's previous process acknowledged.
  base::Duration maxReportDelay = base::seconds(10);
  /// Delay before an identity check without a result is repeated. A busy back end answers once it has a free slot.
  base::Duration identityRetryDelay = base::milliseconds(200);
};

/// Tracks which incarnation of the local back end accepts calls, and announces it as an endpoint.
///
/// A report can be seconds late and come from an incarnation that has crashed and been replaced at its address.
/// Sequences order the reports of one start only. Between two incarnations, an identity check decides: the back end is
/// asked for its name when a report names another incarnation than the current one. Until it answers, the current
/// incarnation stays in use: calls name their incarnation, and another one refuses them as not run. The check is
/// repeated until it has a result. Only if the current incarnation is suspended meanwhile, the sender of the last
/// report is used without one.
///
/// After a restart of the node, nothing is known of the drains and sign-offs that its previous process acknowledged,
/// possibly without having announced them. A report that may be late therefore does not make a back end live: it must
/// answer an identity check as healthy first. A refusal for lack of a slot or a missing answer shows nothing. A report
/// that arrives after LocalBackendOptions::maxReportDelay was sent to this process and needs no check, so that a back
/// end with a faulty health check is not lost. A healthy back end is used before its first report only if its name is
/// known to be of this service, since an address may pass to another service.
///
/// An identity check can't distinguish two starts of the same name. A report with a later start time is accepted at
/// once. Since the clock may jump back, a start with an earlier time is accepted too once the current one is suspended
/// (nothing listens at its address, or it is silent), or once it has sent two reports with none of the current start in
/// between. The latter does not apply while the current start is draining: a report that may be late never undoes an
/// acknowledged drain.
///
/// Invariants: a start that has ended never gets calls again; a draining one gets calls again only after a newer report
/// that it is live; a report of the current start takes effect here before it is acknowledged, whatever the state of
/// the network; of a superseded incarnation, only reports newer than all before are considered.
class LocalBackend {
 public:
  using AnnounceFunction = std::function<void(const wire::EndpointState&)>;
  using IdentityCallback = std::function<void(const BackendIdentity&)>;
  /// Asks the back end for its name. Calls the callback exactly once, within its own timeout and never synchronously.
  using IdentityCheck = std::function<void(IdentityCallback)>;

  /// @param endpointState service, address, port and zone of the endpoint as other nodes reach it
  LocalBackend(wire::EndpointState endpointState, base::Scheduler& scheduler, EndpointCalls& calls,
               AnnounceFunction announce, const LocalBackendOptions& options = {});

  /// Sets the identity check; without one, the sender of the last report is used.
  /// @param afterRestart whether a previous process of this node may have received reports that this one has not
  void setIdentityCheck(IdentityCheck check, bool afterRestart);

  /// Sets the check whether an incarnation is of this node's service; without one, no back end is used before its first
  /// report.
  void setServiceCheck(std::function<bool(const std::string& incarnation)> check) { isOfService_ = std::move(check); }

  /// Asks the back end for its name after a restart of the node, without waiting for its next report.
  void identify();

  /// Handles a change of the announced endpoints.
  void onEndpointStates() { useHealthy(); }

  /// Handles a report of the back end.
  ReportResult onReport(const BackendReport& report);

  /// Counts and logs a report that could not be parsed or is for another service.
  /// @param what reason, for the log
  void onUnreadableReport(const std::string& what);

  /// Handles the name of a healthy back end that answered before its first report to this process.
  void onIdentified(const std::string& incarnation);

  /// Handles the sign-off of a back end that is stopping or has stopped.
  /// @param startedAtMs as in reports; 0 if unknown, in which case the current start is meant unless the back end
  /// answers that it is healthy
  void onSignOff(const std::string& incarnation, int64_t startedAtMs = 0);

  /// Handles a call that the back end rejected as meant for another incarnation.
  /// @param endpoint endpoint name in the call
  void onWrongEndpoint(const std::string& endpoint);

  /// Handles a response in which the back end says that it is shutting down. Its current start gets no calls any more,
  /// whatever it reports.
  /// @param endpoint endpoint name in the call
  void onLeaving(const std::string& endpoint);

  /// Records whether the back end answered a call or could not be connected to.
  void onContact(bool reached);

  /// Suspends the back end until its next report, since nothing listens at its address any more.
  void onCrash() { suspend("gone"); }

  /// Announces the endpoint as draining, since this node is stopping.
  void setStopping();

  const std::string& incarnation() const { return current_.incarnation; }
  const std::string& service() const { return endpointState_.serviceName; }

  /// Sets the handler for accepted reports, and for the end of the back end, with the endpoint's name (empty at the
  /// end).
  void onBackend(std::function<void(const std::string& endpoint, const BackendReport&)> handler) {
    onBackend_ = std::move(handler);
  }

  /// @return number of reports that could not be parsed.
  int64_t unreadableReports() const { return unreadableReports_; }

 private:
  /// A report that waits for an identity check.
  struct PendingReport {
    BackendReport report;
    bool mayPrecedeRestart;  // it may have been sent to a previous process of this node
  };
  /// The newest report of an incarnation that another one has replaced.
  struct SupersededReport {
    std::string endpoint;
    int64_t sequence;
  };

  bool hasEnded(const std::string& endpoint) const;
  bool hadEarlierStart() const;
  bool recentlyRestarted() const;
  bool mayPrecedeRestart(const std::string& incarnation) const;
  std::string endpoint() const;
  ReportResult onOtherStart(const BackendReport& report);
  void switchToStart(const BackendReport& report);
  void identifyStart(const BackendReport& report);
  void confirmSignOff();
  bool isSuperseded(const BackendReport& report) const;
  void markSuperseded(const BackendReport& report);
  ReportResult onOtherIncarnation(const BackendReport& report);
  void activate(const BackendReport& report);
  ReportResult queueForIdentity(const BackendReport& report);
  void startIdentityCheck();
  void onIdentity(const BackendIdentity& identity);
  void onNoIdentity();
  std::optional<BackendReport> takePending(const std::string& incarnation);
  void supersedePending();
  void useHealthy();
  void retire(const std::string& endpoint);
  void clearCurrent();
  void recordContact();
  void suspend(const char* cause);
  void apply();
  void announce(wire::EndpointCondition::type condition);

  base::Logger log_{"backend"};
  base::DecisionLog unreadableReportLog_;  // rate-limited log of unreadable reports
  int64_t unreadableReports_ = 0;
  wire::EndpointState endpointState_;
  EndpointCalls& calls_;
  AnnounceFunction announce_;
  std::function<void(const std::string&, const BackendReport&)> onBackend_;  // may be empty
  BackendReport current_;                                                    // incarnation is empty while there is none
  int64_t firstSequence_ = 0;  // sequence of the first report of the current start, plus 1; 0 while known by name only
  std::deque<std::string> ended_;           // endpoints that have ended, oldest first
  std::optional<BackendReport> candidate_;  // last report of another start of the current incarnation
  bool signOffUnconfirmed_ = false;         // while an identity check for a sign-off is running
  IdentityCheck identityCheck_;             // may be empty
  std::function<bool(const std::string& incarnation)> isOfService_;  // may be empty
  std::optional<base::TimePoint> restartedAt_;                       // unset on a first start
  bool hadBackend_ = false;                                          // whether this process has used a back end
  std::string healthy_;  // name of the back end that answered an identity check as healthy after the restart
  bool identityCheckRunning_ = false;
  int identityChecks_ = 0;                    // since the last one with a result
  std::deque<PendingReport> pendingReports_;  // the last one of each endpoint, oldest first
  std::deque<SupersededReport> superseded_;   // one for each endpoint, oldest first
  LocalBackendOptions options_;
  base::Scheduler& scheduler_;
  base::Timer identityTimer_;  // repeats the identity check
  base::Timer silenceTimer_;   // active while there is a current incarnation
  int failedConnections_ = 0;  // consecutive failed connections
  bool leaving_ = false;       // the current start has said in a response that it is shutting down
  bool suspended_ = false;     // silent, unreachable or crashed; until its next report
  bool stopping_ = false;
  wire::EndpointCondition::type announced_ = wire::EndpointCondition::GONE;
};

}  // namespace driftlug::node
