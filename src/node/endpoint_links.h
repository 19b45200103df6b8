/// Known endpoints of a node's services, and the links (connections) to the chosen subset of them.
#pragma once

#include <cstdint>
#include <deque>
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

/// Settings of EndpointLinks.
struct LinkOptions {
  std::string nodeId;
  std::string zone;
  base::Duration reconnectDelay = base::milliseconds(200);
  base::Duration unreachableFor = base::seconds(30);  ///< time after which an unreachable announced endpoint is dropped
  subsetting::subset_options subset;
  size_t maxLinks = SIZE_MAX;  ///< limit over all services, shared equally among them
};

/// Maintains links to a subset of each service's endpoints, and extra links while those are full or unreachable.
///
/// Invariants:
/// - A link whose endpoint was removed or is no longer chosen stays open until its last call ends.
/// - A lost connection is reported once, and reopened with exponential back-off.
/// - A link that does not acknowledge messages in time is excluded from picking until it receives something.
/// - If a link stays silent, its connection is replaced; calls in progress continue on the old connection.
class EndpointLinks {
 public:
  /// State of the link to one endpoint.
  struct Link {
    base::Address address;
    base::ConnectionId connection = 0;  ///< 0 while waiting to reconnect
    bool open = false;
    bool takesBodyPieces = false;  ///< whether the peer uses flow control for large bodies
    bool supportsWithdrawals = false;
    bool acknowledges = false;  ///< whether the peer acknowledges messages, so that its silence can be detected
    int failures = 0;           ///< consecutive connections lost or not established
    base::TimePoint lostAt{};
    base::TimePoint lastReceivedAt{};
    /// When the first message after lastReceivedAt that requires an acknowledgement was sent.
    std::optional<base::TimePoint> unacknowledgedSince;
    bool silent = false;  ///< an acknowledgement is overdue
  };

  /// Called with a closed connection and its endpoint.
  using LostHandler = std::function<void(base::ConnectionId, const std::string&)>;
  /// Called with a connection that stopped acknowledging, and its endpoint; the connection may recover.
  using SilentHandler = std::function<void(base::ConnectionId, const std::string&)>;

  /// @param picker is notified of which endpoints are connected, available and silent; like the other references, it
  /// must outlive this object
  EndpointLinks(LinkOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network,
                routing::EndpointPicker& picker, LostHandler onLost, SilentHandler onSilent);
  ~EndpointLinks();

  /// Replaces the routing table, and updates the endpoints and links.
  void useTable(const routing::RoutingTablePtr& table);

  /// Applies endpoint states received from relays.
  void onStates(const std::vector<wire::EndpointState>& states);

  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onClose(base::ConnectionId connection);

  /// Records that a call was sent to an endpoint, which its node has to acknowledge.
  void onSent(const std::string& endpoint);

  /// Records that a message arrived on a connection.
  void onMessageReceived(base::ConnectionId connection);

  /// @return whether this node opened the connection.
  bool isOutbound(base::ConnectionId connection) const {
    return endpointOf_.count(connection) > 0 || replacedConnections_.count(connection) > 0;
  }

  /// @return the chosen endpoints of a service, of all versions that get requests or may get them soon.
  const std::vector<routing::EndpointTarget>& chosenEndpoints(const std::string& service) const;

  /// @return the chosen endpoints of one version while a rollout runs; for its target version, the current trial group
  /// if there is one.
  const std::vector<routing::EndpointTarget>& chosenEndpoints(const std::string& service,
                                                              const std::string& version) const;

  /// @return the link to an endpoint; a closed one if the endpoint has none.
  const Link& link(const std::string& endpoint) const;

  /// Temporarily adds links to a service whose chosen endpoints are full.
  void addExtraLinks(const std::string& service);

  /// @return whether a back end has been announced as an endpoint of a service, whatever became of it.
  bool isAnnounced(const std::string& service, std::string_view backend) const;

  /// @return whether any back end has been announced at an address, whatever became of it.
  bool isAnnouncedAt(const base::Address& address) const;

  /// Excludes an announced endpoint whose back end has said that it is shutting down. Later announcements do not undo
  /// this: the node beside it may have restarted without knowing it. An endpoint of the table is not excluded, because
  /// its name does not change with a restart of its back end.
  void markLeaving(const std::string& endpoint);

  /// @return whether an endpoint was marked as leaving.
  bool isLeaving(const std::string& endpoint) const { return leaving_.count(endpoint) > 0; }

  /// Removes an announced endpoint that is permanently gone.
  void removeAnnounced(const std::string& endpoint);

  size_t size() const { return links_.size(); }

  /// @return the number of known endpoints of all services, whether or not they are chosen.
  size_t knownEndpointCount() const { return knownEndpoints_; }

  /// @return how often a chosen endpoint got no link because of maxLinks.
  int64_t skippedEndpoints() const { return skippedEndpoints_; }

 private:
  using Endpoints = std::map<std::string, std::vector<routing::EndpointTarget>>;

  /// Links beyond the regular subset, for a service whose chosen endpoints were full.
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
  size_t subsetSize_;                                    // links per service, as limited by maxLinks
  routing::RoutingTablePtr table_;                       // null before the first table
  std::map<std::string, wire::EndpointState> states_;    // newest state of each endpoint
  Endpoints known_;                                      // by service: endpoints of the table and announced ones
  std::set<std::string> leaving_;                        // endpoints that are no longer used when announced
  std::deque<std::string> leavingByAge_;                 // the same, oldest first
  std::map<std::string, std::string> changedEndpoints_;  // endpoint -> service, for states not yet in known_
  size_t knownEndpoints_ = 0;                            // in known_
  std::set<std::string> pendingServices_;                // services whose endpoints have to be chosen again
  Endpoints chosen_;                                     // by service: endpoints to link to
  std::map<std::string, Endpoints> chosenByVersion_;     // by service, then version; only while a rollout runs
  std::map<std::string, ExtraLinks> extraLinks_;         // by service
  std::map<std::string, Link> links_;                    // by endpoint
  std::map<base::ConnectionId, std::string> endpointOf_;
  std::map<base::ConnectionId, std::string> replacedConnections_;  // silent ones with calls in progress
  std::optional<base::TimePoint> lastAppliedAt_;                   // when pending changes were last applied
  base::Timer chooseTimer_;                                        // runs while changes are batched
  base::Timer livenessTimer_;  // runs while calls are in progress, or a link is silent
  base::Logger log_{"entry"};
  base::DecisionLog linkLimitLog_;
  int64_t skippedEndpoints_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::node
