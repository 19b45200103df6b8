/// The endpoints that a node knows, and its links to those that it chose.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "base/log.h"
#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "routing/endpoint_picker.h"
#include "routing/routing_table.h"
#include "subsetting/endpoint_subset.h"

namespace driftlug::node {

/// Settings of the links.
struct LinkOptions {
  std::string nodeId;
  std::string zone;
  base::Duration reconnectDelay = base::milliseconds(200);
  base::Duration unreachableFor = base::seconds(30);  ///< an announced endpoint that long out of reach is forgotten
  subsetting::subset_options subset;
  size_t maxLinks = SIZE_MAX;  ///< links of all services; where there are many services, each gets fewer
};

/// Keeps links to a subset of each service's endpoints: its own choice, and more while those are full or out of reach.
///
/// Invariants: a link whose endpoint has left, or is chosen no more, stays until its last call has ended; a lost link
/// is told once, and made again with growing pauses; a link that is silent though something was sent on it is left out
/// of the choice until it is heard, and gets another connection when it stays silent; what runs on the former one goes
/// on there.
class EndpointLinks {
 public:
  /// One link as its user needs it.
  struct Link {
    base::Address address;
    base::ConnectionId connection = 0;  ///< 0 while waiting to reconnect
    bool open = false;
    bool takesBodyPieces = false;  ///< its node grants bodies as its link has room
    bool supportsWithdrawals = false;
    bool acknowledges = false;  ///< its node acknowledges what it gets, so its silence tells something
    int failures = 0;           ///< connections lost in a row
    base::TimePoint lostAt{};
    base::TimePoint lastReceivedAt{};
    std::optional<base::TimePoint>
        unacknowledgedSince;  ///< when the first message since lastReceivedAt was sent that is acknowledged
    bool silent = false;      ///< it has been awaited for too long
  };

  /// Called when a connection is gone, with the endpoint it led to.
  using LostHandler = std::function<void(base::ConnectionId, const std::string&)>;
  /// Called when a connection with calls in progress has fallen silent; it may be heard again.
  using SilentHandler = std::function<void(base::ConnectionId, const std::string&)>;

  /// @param picker is told which endpoints are connected and available; outlives the links, like all else given here
  EndpointLinks(LinkOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network,
                routing::EndpointPicker& picker, LostHandler onLost, SilentHandler onSilent);
  ~EndpointLinks();

  /// Takes the endpoints of a new version.
  void useTable(const routing::RoutingTablePtr& table);

  /// What relays say of endpoints.
  void onStates(const std::vector<wire::EndpointState>& states);

  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onClose(base::ConnectionId connection);

  /// A call was sent to an endpoint.
  void onSent(const std::string& endpoint);

  /// Something arrived.
  void onMessageReceived(base::ConnectionId connection);

  /// @return whether this node opened the connection.
  bool isOutbound(base::ConnectionId connection) const {
    return endpointOf_.count(connection) > 0 || replacedConnections_.count(connection) > 0;
  }

  /// @return the chosen endpoints of a service, of all versions that take requests or soon may.
  const std::vector<routing::EndpointTarget>& chosenEndpoints(const std::string& service) const;

  /// @return those of one version, while a rollout of the service runs; of the one on trial those whose turn it is.
  const std::vector<routing::EndpointTarget>& chosenEndpoints(const std::string& service,
                                                              const std::string& version) const;

  /// @return the link to a chosen endpoint.
  const Link& link(const std::string& endpoint) const;

  /// The chosen endpoints of a service are full: more are linked for a while.
  void onFull(const std::string& service);

  /// An endpoint is known to be gone for good.
  void forget(const std::string& endpoint);

  size_t size() const { return links_.size(); }

  /// @return endpoints of all services, chosen or not.
  size_t knownEndpointCount() const { return knownEndpoints_; }

  /// @return how often a chosen endpoint was left without a link at the bound.
  int64_t skippedEndpoints() const { return skippedEndpoints_; }

 private:
  using Endpoints = std::map<std::string, std::vector<routing::EndpointTarget>>;

  /// Links beyond the usual number, for a service whose chosen endpoints were full.
  struct ExtraLinks {
    size_t count = 0;
    base::TimePoint until{};
  };

  void rebuildKnownEndpoints();
  void choose(const std::set<std::string>& services);
  void chooseAll();
  void markChanged(const wire::EndpointState& state);
  std::set<std::string> updateChangedEndpoints();
  void removeKnown(const std::string& service, const std::string& endpoint);
  void addKnown(const wire::EndpointState& state);
  bool isKnown(const wire::EndpointState& state) const;
  std::string serviceOf(const std::string& endpoint) const;
  void chooseByVersion(const std::string& service, const std::vector<routing::EndpointTarget>& endpoints,
                       const rollout::version_policy& policy);
  std::vector<routing::EndpointTarget> chooseFrom(const std::string& service,
                                                  const std::vector<routing::EndpointTarget>& endpoints);
  bool resizeSubset();
  void scheduleChoice();
  void applyPendingChanges();
  size_t extraLinksFor(const std::string& service);
  size_t linksPerService() const;
  void addLinks(const std::map<std::string, base::Address>& wanted);
  bool isUnreachable(const std::string& endpoint) const;
  void updateLinks();
  void closeLink(const std::string& endpoint);
  void connect(const std::string& endpoint);
  void reconnectNow(const std::string& endpoint);
  void abortConnectAttempt(const std::string& endpoint);
  void scheduleLivenessCheck();
  void checkLiveness();
  void checkLinkLiveness(const std::string& endpoint, Link* link);
  void replaceConnection(const std::string& endpoint, Link* link);
  bool dropReplacedConnection(base::ConnectionId connection);

  LinkOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  base::Network& network_;
  routing::EndpointPicker& picker_;
  LostHandler onLost_;
  SilentHandler onSilent_;
  subsetting::endpoint_subset subset_;
  size_t subsetSize_;                                    // of each service, by the bound of links
  routing::RoutingTablePtr table_;                       // null before the first version
  std::map<std::string, wire::EndpointState> states_;    // newest said of each endpoint
  Endpoints known_;                                      // by service: those of the table and those announced
  std::map<std::string, std::string> changedEndpoints_;  // services of endpoints whose states known_ does not show yet
  size_t knownEndpoints_ = 0;                            // in known_
  std::set<std::string> pendingServices_;                // services to be chosen for anew
  Endpoints chosen_;                                     // by service: those with links
  std::map<std::string, Endpoints> chosenByVersion_;     // by service, then by version: while a rollout runs
  std::map<std::string, ExtraLinks> extraLinks_;         // by service
  std::map<std::string, Link> links_;                    // by endpoint
  std::map<base::ConnectionId, std::string> endpointOf_;
  std::map<base::ConnectionId, std::string> replacedConnections_;  // silent ones that calls are still in progress on
  std::optional<base::TimePoint> lastAppliedAt_;                   // when news were taken, the last time
  base::Timer chooseTimer_;                                        // runs while more news are gathered
  base::Timer livenessTimer_;  // runs while calls are in progress, or a link is silent
  base::Logger log_{"entry"};
  base::DecisionLog linkLimitLog_;
  int64_t skippedEndpoints_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::node
