/// State of a node's local back end, from its reports (dynamic endpoints).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
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
  kPending,      ///< it names another incarnation than the current one; an identity check decides
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
};

/// Tracks which incarnation of the local back end accepts calls, and announces it as an endpoint.
///
/// A report can be seconds late and come from an incarnation that has crashed and been replaced at its address.
/// Sequences order the reports of one start only. Between two incarnations, an identity check decides: the back end is
/// asked for its name when a report names another incarnation than the current one, or is the first report after a
/// restart of the node. Until it answers, the current incarnation stays in use: calls name their incarnation, and
/// another one refuses them as not run. If it does not answer, the sender of the last report is used.
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

  /// Handles a report of the back end.
  ReportResult onReport(const BackendReport& report);

  /// Counts and logs a report that could not be parsed or is for another service.
  /// @param what reason, for the log
  void onUnreadableReport(const std::string& what);

  /// Handles the name that the back end gave when a starting node asked for it. It applies only until the first report.
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
  bool hasEnded(const std::string& endpoint) const;
  bool hadEarlierStart() const;
  std::string endpoint() const;
  ReportResult onOtherStart(const BackendReport& report);
  void switchToStart(const BackendReport& report);
  void identifyStart(const BackendReport& report);
  void confirmSignOff();
  bool isSuperseded(const BackendReport& report) const;
  void markSuperseded(const BackendReport& report);
  ReportResult onOtherIncarnation(const BackendReport& report);
  void activate(const BackendReport& report);
  void queueForIdentity(const BackendReport& report);
  void onIdentity(const BackendIdentity& identity);
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
  bool afterRestart_ = false;               // until this process has a report or the name of the back end
  bool identityCheckRunning_ = false;
  std::map<std::string, BackendReport> pendingReports_;  // reports that wait for the identity check, by endpoint
  std::string lastPendingEndpoint_;                      // endpoint of the last of these reports
  std::map<std::string, int64_t> supersededSequences_;   // newest sequence of superseded endpoints
  LocalBackendOptions options_;
  base::Timer silenceTimer_;   // active while there is a current incarnation
  int failedConnections_ = 0;  // consecutive failed connections
  bool leaving_ = false;       // the current start has said in a response that it is shutting down
  bool suspended_ = false;     // silent, unreachable or crashed; until its next report
  bool stopping_ = false;
  wire::EndpointCondition::type announced_ = wire::EndpointCondition::GONE;
};

}  // namespace driftlug::node
