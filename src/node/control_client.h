/// A node's connection to the control plane: subscribes to a relay and activates versions.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "node/slice_store.h"
#include "quarantine/request_quarantine.h"
#include "quota/quota_queue.h"
#include "storage/disk.h"

namespace driftlug::node {

/// Settings of the control connection.
struct ControlOptions {
  std::string nodeId;
  std::string zone;
  std::vector<base::Address> relays;                       ///< the zone's release group, nearest first
  std::vector<std::string> hosts;                          ///< hosts that this node accepts calls for
  std::vector<std::string> services;                       ///< services that it runs beside
  base::Duration relayTimeout = base::milliseconds(1800);  ///< without a heartbeat
  base::Duration firstSliceTimeout = base::milliseconds(2000);
  /// For a node without a version, at a relay that has heard of no leader: doubled each time that all were tried. Such
  /// a node serves nobody, and stayed 1.8 s with a relay that was cut off (log of a node).
  base::Duration leaderlessTimeout = base::milliseconds(600);
  base::Duration staleAfter = base::seconds(4);  ///< without an advance of freshness
  /// Time that a relay gets to answer a connection before the next one is tried beside it: without a version, doubled
  /// each time that all were tried, and with one.
  base::Duration connectionAttemptDelay = base::milliseconds(150);
  base::Duration servingConnectionAttemptDelay = base::milliseconds(700);
  /// After this a connection that is not up counts as gone: three openings of TCP, at 0, 1 and 3 s, and half a second.
  base::Duration connectTimeout = base::milliseconds(3500);
  size_t maxPendingConnections = 4;                         ///< connections that may be on their way up at once
  base::Duration reconnectDelay = base::milliseconds(200);  ///< highest first delay; it doubles up to a limit
  base::Duration keepAlive = base::milliseconds(1500);      ///< the relay drops a node that is silent for 4 s
  size_t nearRelays = 2;                                    ///< of `relays`: those of the own zone
  base::Duration returnAfter = base::seconds(20);           ///< least time at a relay of another zone before going home
  SliceStore::Checks checks;
};

/// Counters of the control connection.
struct ControlCounters {
  int64_t activations = 0;
  int64_t rejected = 0;
  int64_t reconnects = 0;
  int64_t returns = 0;  ///< moves back to a relay of the own zone
  int64_t bytesReceived = 0;
};

/// What the node is told of endpoints.
using EndpointStatesHandler = std::function<void(const std::vector<wire::EndpointState>&)>;
/// Called after each activation.
using ActivationHandler = std::function<void(const routing::RoutingTablePtr&)>;

/// Invariants: at most one relay is subscribed to at a time, and what another connection says is ignored; where
/// there is a disk, a version is active only once the disk holds it, or durably holds none, so a restart never serves
/// an older one; that goes for a version read back at a start too. While a relay is subscribed to, no other connection
/// is open or on its way up.
class ControlClient : public base::ConnectionHandler {
 public:
  ControlClient(ControlOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network,
                ActivationHandler onActivation, EndpointStatesHandler onStates);
  ~ControlClient() override;

  /// Loads the last version from the disk, if there is one, and connects, both once the disk answers.
  /// @param disk null where the node has none
  void start(storage::Disk* disk);

  /// Uses other first addresses of relays, as after a change of the settings; those learned stay in use.
  void useSeeds(const std::vector<base::Address>& seeds);

  /// This process was stopped, or its machine suspended: what the relay has sent meanwhile is as old, so it is asked
  /// anew.
  void onAway();

  /// Announces the state of the endpoint beside this node.
  void announce(const wire::EndpointState& state);

  /// Sends to the relay in use.
  /// @return whether there is one
  bool send(const wire::Message& message);

  /// Sends reports of versions to the relay in use.
  /// @return whether there is one that understands them
  bool sendVersions(const wire::Message& message) { return relayTakesVersionReports_ && send(message); }

  /// Asks the relay in use for permits.
  /// @return whether there is one that grants them
  bool requestPermits(const wire::QuotaAsk& request) { return relayGrantsQuotas_ && send(request); }

  /// Has crashes of back ends told to the relay and taken from it.
  /// @param quarantine outlives this object
  void useQuarantine(quarantine::request_quarantine* quarantine);

  /// Sets who gets replies of the ledger.
  void onLedgerReply(std::function<void(const wire::LedgerReply&)> handler) { onLedgerReply_ = std::move(handler); }

  /// Sets who gets grants of permits, and hears that another relay is in use.
  /// @param quotas outlives this object
  void useQuotas(quota::quota_queue* quotas) { quotas_ = quotas; }

  const SliceStore& slices() const { return slices_; }
  bool connected() const { return open_; }

  /// @return whether a quorum of controllers was heard of recently.
  bool fresh() const { return scheduler_.now() - lastFreshAt_ <= options_.staleAfter; }

  const ControlCounters& counters() const { return counters_; }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override;
  void onMessage(base::ConnectionId connection, wire::Message message) override;
  void onClose(base::ConnectionId connection) override;

 private:
  void join();
  void connect();
  void startNextAttempt();
  void adopt(base::ConnectionId connection);
  void closePendingConnections();
  void armReturnTimer();
  base::Duration connectionAttemptDelay() const;
  void onRelayList(const wire::RelayList& list);
  void useRelays();
  void switchRelay(base::Duration delay);
  /// How often all relays have been tried in vain.
  int completedRounds() const;
  void leaveRelay(const char* cause);
  void leaveStaleRelay();
  void onUpdate(wire::SliceUpdate update);
  void onHeartbeat(const wire::NodeHeartbeat& heartbeat);
  base::Duration currentFirstSliceTimeout() const;
  void sendApplied();
  void returnToOwnZone();
  void checkRelay();
  void sendState();
  void sendCrashReports(const quarantine::request_quarantine::reports& reports);
  void refuse(SliceResult result, int64_t revision);
  void activate(SliceResult result, SliceVersion next);
  /// Writes the version that was prepared last.
  void persist(int64_t revision, std::function<void()> done);
  /// Goes on in memory, once the disk holds no version that a restart could serve.
  void disablePersistence(const absl::Status& status, std::function<void()> done);
  void removeStoredVersion(std::function<void()> done);
  void applyQueuedUpdates();
  void load();

  ControlOptions options_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  base::Network& network_;
  base::Logger log_{"node"};
  ActivationHandler onActivation_;
  EndpointStatesHandler onStates_;
  std::function<void(const wire::LedgerReply&)> onLedgerReply_;  // may be empty
  quarantine::request_quarantine* quarantine_ = nullptr;         // may stay null
  quota::quota_queue* quotas_ = nullptr;                         // may stay null
  bool relayTakesCrashReports_ = false;
  bool relayTakesVersionReports_ = false;
  bool relayGrantsQuotas_ = false;
  SliceStore slices_;
  storage::Disk* disk_ = nullptr;
  std::vector<base::Address> seeds_;   // relays that the settings name
  wire::RelayList advertisedRelays_;   // relays that the last relay knew
  base::Address relay_;                // the relay in use
  size_t position_ = 0;                // of the relay in use
  base::ConnectionId connection_ = 0;  // 0 while waiting to reconnect
  std::map<base::ConnectionId, base::Address>
      pendingConnections_;  // on their way up, beside the relay that is tried now
  bool open_ = false;
  bool sliceReceived_ = false;      // on this connection
  bool leaderKnown_ = false;        // on this connection: the relay knows of a leader, as new as any that was heard of
  bool awaitingFullSlice_ = false;  // an update was refused on this connection; only a whole slice helps
  int attempts_ = 0;                // since the last working connection
  size_t staleRelays_ = 0;          // left in a row since freshness last advanced
  base::TimePoint lastReceivedAt_{};
  base::TimePoint openedAt_{};
  base::TimePoint lastFreshAt_{};
  wire::Freshness freshness_;
  bool announcing_ = false;
  wire::EndpointState state_;  // of the endpoint beside this node
  ControlCounters counters_;
  std::deque<wire::SliceUpdate> queuedUpdates_;  // arrived while a version was being written to the disk
  bool persisting_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Timer reconnectTimer_;
  base::Timer connectTimer_;  // runs until the connection is open, or the next relay is tried beside it
  base::Timer relayCheckTimer_;
  base::Timer keepAliveTimer_;
  base::Timer returnTimer_;  // runs while the relay in use is one of another zone
};

}  // namespace driftlug::node
