/// The relay replicates the table from the leading controller and serves slices of it to the nodes of its zones.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/endpoint_directory.h"
#include "membership/peer_links.h"
#include "quota/quota_queue.h"
#include "relay/controller_links.h"
#include "relay/crash_report_distributor.h"
#include "relay/endpoint_state_distributor.h"
#include "relay/freshness_confirmer.h"
#include "relay/node_sessions.h"
#include "relay/release_group.h"
#include "relay/table_freshness.h"
#include "relay/table_replica.h"
#include "relay/version_reports.h"
#include "table/table_observer.h"

namespace driftlug::relay {

/// Settings of one relay.
struct RelayOptions {
  std::string id;
  std::string zone;
  std::vector<base::Address> controllers;
  std::vector<base::Address> peers;         ///< all other relays
  std::vector<ReleaseGroup> releaseGroups;  ///< groups that this relay is a member of
  bool everyZone = false;                   ///< serve the nodes of every zone without a release group
  base::Address listening;                  ///< address for nodes and other relays; port 0 when not known
  base::Duration nodeHeartbeat = base::milliseconds(600);
  base::Duration nodeTimeout = base::seconds(4);     ///< a node that is silent for longer is dropped
  base::Duration reportInterval = base::seconds(5);  ///< interval of periodic reports; changes are reported at once
  base::Duration nodeLease = base::seconds(8);       ///< a full report lists nodes lost within this time
  base::Duration endpointLease = base::seconds(2);   ///< lease of a node's endpoints after it is disconnected
  base::Duration peerLease = base::seconds(5);       ///< lease of a relay's endpoints after it is disconnected
  base::Duration stallTimeout = base::milliseconds(800);  ///< nodes are redirected when releases stall for longer
  int admissionsPerSecond = 2000;
  int admissionBurst = 400;
  bool fullPush = false;              ///< baseline for experiments
  bool releaseQuorum = true;          ///< off only in the simulator
  bool confirmRestartedNodes = true;  ///< off only in the simulator
  bool refuseOlderVersions = true;    ///< off only in the simulator
  bool reportLag = true;              ///< off only in the simulator
};

/// One relay process without its sockets. All state is soft: it is rebuilt after a restart.
class Relay : public base::ConnectionHandler, public table::TableObserver {
 public:
  Relay(RelayOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network);
  ~Relay() override;

  /// Serves the table of a controller in the same process. The table must outlive this object, and the controller must
  /// notify this object of changes. Must be called before start().
  void shareTable(const table::Table& table) { replica_.share(table); }

  /// Opens connections to the controllers and the other relays.
  void start();

  /// Prepares a planned stop: redirects all nodes to other relays.
  void prepareStop();

  const TableReplica& replica() const { return replica_; }
  const NodeSessions& nodes() const { return nodes_; }
  const ReleaseTracker& releases() const { return releases_; }
  const membership::EndpointDirectory& endpoints() const { return endpoints_; }
  const CrashReportDistributor& crashes() const { return crashDistributor_; }
  const ControllerLinks& controllerLinks() const { return controllerLinks_; }

  /// @return whether a controller has confirmed the table since the start.
  bool recovered() const { return recovered_; }
  /// @return number of ignored demands of nodes for permits.
  int64_t invalidQuotaDemands() const { return invalidQuotaDemands_; }

  /// Replaces the configured controllers and relays; those learned from the member list stay in use.
  void applySettings(const std::vector<base::Address>& controllers, const std::vector<base::Address>& peers);

  /// Reconnects to the controllers after this process was stopped, or its machine suspended, for more than a second.
  void onResumed();

  /// @return whether freshness has advanced within the given time.
  bool fresh(base::Duration within) const {
    return scheduler_.now() - controllerLinks_.freshnessAdvancedAt() <= within;
  }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override;
  void onMessage(base::ConnectionId connection, wire::Message message) override;
  void onClose(base::ConnectionId connection) override;

  void onTableChange(const table::ChangedRows& rows) override;
  void onTableReplaced() override;

 private:
  // Controllers
  void onControllerMessage(base::ConnectionId connection, const wire::Message& message);
  void subscribeToController(int64_t revision);
  void onTableUpdate(const wire::TableUpdate& update);
  void onConfirmReply(const wire::ConfirmReply& reply);
  void updateSlices(const table::ChangedRows& rows);
  void onTableAdvanced();
  void scheduleTableAdvanced();

  void onMemberList(const wire::MemberList& list);
  void updatePeerAddresses();

  // Peers
  void onRelayMessage(const std::string& relayId, const wire::Message& message);
  void broadcastHeldRevision();
  void sendHeldRevision(const std::string& relayId, int64_t probe, bool wantsReply);

  // Nodes
  void onNodeMessage(base::ConnectionId connection, const wire::Message& message);
  void onNodeSubscribe(base::ConnectionId connection, const wire::NodeSubscribe& request);
  void sendRetryLater(base::ConnectionId connection, base::Duration delay);
  bool admit();
  wire::NodeHeartbeat currentHeartbeat() const;
  FreshnessConfirmer& confirmerFor(const std::string& zone);
  void dropNode(base::ConnectionId connection);
  void closeNode(base::ConnectionId connection);
  void closeSilentNodes();
  void removeConnection(base::ConnectionId connection);
  void redirectAllNodes();
  void onNodeTimer();

  // Ledger
  void forwardToLedger(base::ConnectionId connection, const wire::LedgerRequest& request);
  void onLedgerReply(const wire::LedgerReply& reply);

  // Quotas
  void onQuotaAsk(base::ConnectionId connection, const wire::QuotaAsk& quotaRequest);

  // Reports
  void scheduleReport();
  void sendReport();

  // Endpoint states
  void sendCrashReports();
  void sendServiceEndpointsToAll();
  void sendServiceEndpoints(base::ConnectionId connection, NodeSession* session);
  void onEndpointStates(const std::vector<wire::EndpointState>& states, const std::string& origin, bool fromNode);
  void expireLater(const std::string& origin, base::Duration lease);

  RelayOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  base::Network& network_;
  base::Logger log_{"relay"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  TableReplica replica_;
  SliceCache slices_;
  ReleaseTracker releases_;
  NodeSessions nodes_;
  ControllerLinks controllerLinks_;
  membership::PeerLinks peers_;
  membership::EndpointDirectory endpoints_;
  EndpointStateDistributor stateDistributor_;
  CrashReportDistributor crashDistributor_;
  VersionReportSender versions_;
  int64_t invalidQuotaDemands_ = 0;
  quota::quota_queue quotas_;                                              // of nodes, by their connection
  std::map<std::string, std::unique_ptr<FreshnessConfirmer>> confirmers_;  // by zone
  std::map<base::ConnectionId, wire::Hello> hellos_;                       // open connections
  std::map<base::ConnectionId, base::TimePoint> unsubscribed_;             // nodes' connections without a session
  std::map<std::string, int> connectionsOf_;                               // open connections by peer id, for leases
  wire::RelayList relayList_;                                              // all relays of the last member list
  TableFreshness freshness_;  // newest controller freshness that the table covers
  bool recovered_ = false;
  std::optional<int64_t> confirmedRevision_;  // by the leader; the table is recent once it reaches this revision
  bool advanceScheduled_ = false;
  bool stopping_ = false;
  int64_t lastToken_ = 0;  // of freshness confirmation requests; never reused
  bool reportScheduled_ = false;
  base::TimePoint reportedAt_{};  // when the last report was sent
  size_t reportedLagging_ = 0;    // lagging nodes in the last report
  bool reportFull_ = true;
  int64_t reportSequence_ = 0;
  std::set<std::string> newlyAttached_;
  std::set<std::string> newlyDetached_;
  std::map<std::string, base::TimePoint> lostAt_;  // nodes lost within nodeLease
  base::TimePoint startedAt_{};
  struct LedgerForward {
    base::ConnectionId connection;
    int64_t requestId;  // assigned by the node
  };
  std::map<int64_t, LedgerForward> ledgerForwards_;  // by forwarded request id, oldest first
  int64_t lastLedgerId_ = 0;
  double admissionTokens_ = 0;
  base::TimePoint admissionAt_{};
  base::TimePoint fullyReleasedAt_{};  // when all held revisions were last released
  base::Timer nodeTimer_;
  base::Timer reportTimer_;
};

}  // namespace driftlug::relay
