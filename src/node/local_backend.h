/// The back end beside a node, as it tells of itself: dynamic endpoints.
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

/// What a back end says of itself now and then. Every start of a back end is a new incarnation: under a name of its
/// own, or under the name that it had, and then with another time of its start.
struct BackendReport {
  std::string incarnation;  ///< its name
  int64_t sequence = 0;     ///< rises with every report of one incarnation
  int slots = 0;            ///< requests that it works on at once; 0 when it does not say
  int coldMs = 0;           ///< how much longer it is slow from its start
  bool draining = false;
  int64_t startedAtMs = 0;  ///< Unix time of its start by its own clock, which may jump; 0 when it does not say
  std::string version;      ///< of its software; empty when it does not say
};

/// What became of a report.
enum class ReportResult {
  kAccepted,
  kOutdated,     ///< a newer report of the incarnation was taken, or the incarnation has ended
  kPending,      ///< it names another incarnation than the one in use; the back end is asked which of them it is
  kUnconfirmed,  ///< it is of another life than the one in use, and may be late; its sender is to say it again
};

/// What a back end says of itself when it is asked.
struct BackendIdentity {
  std::string incarnation;      ///< empty when it did not say in time
  bool leaving = false;         ///< it says that it drains or is not well
  bool well = false;            ///< it says that it is well; neither when it refused the question for want of a slot
  std::optional<int> coldMs{};  ///< how much longer it is slow from its start, if it said so
};

/// Keeps which incarnation of the back end takes calls, and announces it as an endpoint.
///
/// Times of a back end's life.
struct LocalBackendOptions {
  /// A back end that neither reported nor answered a call for this long takes no calls until it reports again.
  base::Duration silenceTimeout = base::seconds(4);
  int maxFailedConnections = 3;  ///< connections in a row that failed, after which it takes none either
};

/// A report can be late by seconds and come from an incarnation that has crashed since, when another one runs at its
/// address. Sequences tell late from new within one incarnation only, so between two of them the back end itself
/// decides: it is asked for its name when a report names another one than that in use, or is the first that a restarted
/// node hears. Until it has answered, the one in use stays in use: its calls name it, and another incarnation refuses
/// them as not run. When it does not answer, the sender of the last report is taken.
///
/// Two lives of one name can't be told by asking. The one that started later is taken at once. The time of a start is
/// of a clock that may jump back, so one that seems to have started earlier is taken as well once the life in use is
/// over (nothing listened at its address, or it is silent), or once it has reported twice while the other did not,
/// unless that one drains: a drain that was acknowledged is never undone by a report that may be late.
///
/// Invariants: an incarnation that has ended never takes calls again; one that drains takes calls again only after a
/// newer report says so; a report of the incarnation in use takes effect here before it is acknowledged, whatever is
/// cut; of an incarnation that gave way, only a newer report than all before is heeded.
class LocalBackend {
 public:
  using AnnounceFunction = std::function<void(const wire::EndpointState&)>;
  using IdentityCallback = std::function<void(const BackendIdentity&)>;
  /// Asks the back end for its name. The callback is called once, within a bound of the asker's, never from within.
  using IdentityCheck = std::function<void(IdentityCallback)>;

  /// @param place the endpoint's service, address, port and zone as others reach it
  LocalBackend(wire::EndpointState endpointState, base::Scheduler& scheduler, EndpointCalls& calls,
               AnnounceFunction announce, const LocalBackendOptions& options = {});

  /// Sets how the back end is asked for its name; without it, the sender of the last report is believed.
  /// @param afterRestart whether an earlier life of this node may have known more of the back end than this one
  void setIdentityCheck(IdentityCheck check, bool afterRestart);

  /// Takes a report of the back end.
  ReportResult onReport(const BackendReport& report);

  /// Somebody sent what is no report of a back end of this service; nothing is believed of it.
  /// @param what for the log
  void onUnreadableReport(const std::string& what);

  /// The back end named itself when it was asked, as a node does that has just started. Counts only until the first
  /// report.
  void onIdentified(const std::string& incarnation);

  /// A back end ends, or has ended.
  /// @param startedAtMs as in reports; 0 when it did not say, and then the life in use is meant unless the back end
  /// says that it is well
  void onLeave(const std::string& incarnation, int64_t startedAtMs = 0);

  /// The back end said that it is not the one that a call was meant for.
  /// @param endpoint that the call named
  void onWrongEndpoint(const std::string& endpoint);

  /// A call reached the back end and was answered, or no connection to it could be made.
  void onContact(bool reached);

  /// Nothing listens at the back end's address any more: it takes no calls until it reports again.
  void onCrash() { suspend("gone"); }

  /// This node stops: others are told to go elsewhere.
  void setStopping();

  const std::string& incarnation() const { return current_.incarnation; }
  const std::string& service() const { return endpointState_.serviceName; }

  /// Called with each report that is taken, and when the back end is gone; with its endpoint's name.
  void onBackend(std::function<void(const std::string& endpoint, const BackendReport&)> handler) {
    onBackend_ = std::move(handler);
  }

  /// @return reports that could not be read.
  int64_t unreadableReports() const { return unreadableReports_; }

 private:
  bool hasEnded(const std::string& endpoint) const;
  bool hadEarlierStart() const;
  std::string endpoint() const;
  ReportResult onOtherStart(const BackendReport& report);
  void switchToStart(const BackendReport& report);
  void identifyStart(const BackendReport& report);
  void confirmLeave();
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
  base::DecisionLog unreadable_;  // what is said of reports that can't be read
  int64_t unreadableReports_ = 0;
  wire::EndpointState endpointState_;
  EndpointCalls& calls_;
  AnnounceFunction announce_;
  std::function<void(const std::string&, const BackendReport&)> onBackend_;  // may be empty
  BackendReport current_;                                                    // incarnation empty while there is none
  int64_t firstSequence_ = 0;      // sequence of the first report of the current incarnation that this process saw
  std::deque<std::string> ended_;  // endpoints that have ended, oldest first
  std::optional<BackendReport> candidate_;  // of another life than the current one
  bool leaveUnconfirmed_ = false;           // until the back end has said whether it does
  IdentityCheck identityCheck_;             // may be empty
  bool afterRestart_ = false;               // until this life has heard of the back end
  bool identityCheckRunning_ = false;
  std::map<std::string, BackendReport> pendingReports_;  // reports that wait for the back end's word, by endpoint
  std::string lastPendingEndpoint_;                      // the endpoint that reported last of them
  std::map<std::string, int64_t> supersededSequences_;   // of endpoints that gave way: the newest sequence
  LocalBackendOptions options_;
  base::Timer silenceTimer_;   // runs while there is an incarnation
  int failedConnections_ = 0;  // connections in a row that failed
  bool suspended_ = false;     // silent or out of reach, until it reports again
  bool stopping_ = false;
  wire::EndpointCondition::type announced_ = wire::EndpointCondition::GONE;
};

}  // namespace driftlug::node
