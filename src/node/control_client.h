/// A node's connection to the control plane: subscribes to a relay and activates new versions.
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
  std::vector<std::string> hosts;                          ///< hosts for which this node accepts calls
  std::vector<std::string> services;                       ///< services of the local back ends
  base::Duration relayTimeout = base::milliseconds(1800);  ///< longest time without a message of the relay
  base::Duration firstSliceTimeout = base::milliseconds(2000);
  /// Replaces firstSliceTimeout on a node without a version while its relay knows of no leader; doubled after each
  /// round of all relays. Without this limit, such a node stayed for 1.8 s with a relay that was cut off from the
  /// controllers, and served no calls meanwhile.
  base::Duration leaderlessTimeout = base::milliseconds(600);
  base::Duration staleAfter = base::seconds(4);  ///< longest time without an advance of the controllers' freshness
  /// Delay before the next relay is tried in parallel to a connection attempt, on a node without a version; doubled
  /// after each round of all relays.
  base::Duration connectionAttemptDelay = base::milliseconds(150);
  /// The same on a node that has a version.
  base::Duration servingConnectionAttemptDelay = base::milliseconds(700);
  /// Timeout of a connection attempt: covers three TCP SYNs, sent at 0, 1 and 3 s, and half a second more.
  base::Duration connectTimeout = base::milliseconds(3500);
  size_t maxPendingConnections = 4;                         ///< concurrent connection attempts
  base::Duration reconnectDelay = base::milliseconds(200);  ///< upper bound of the first delay; doubled up to a limit
  base::Duration keepAlive = base::milliseconds(1500);      ///< the relay drops a node that is silent for 4 s
  size_t nearRelays = 2;                                    ///< number of relays of the own zone, first in `relays`
  base::Duration returnAfter = base::seconds(20);  ///< shortest stay with a relay of another zone before returning
  SliceStore::Checks checks;
};

/// Counters of the control connection.
struct ControlCounters {
  int64_t activations = 0;
  int64_t rejected = 0;
  int64_t reconnects = 0;
  int64_t returns = 0;  ///< reconnects to a relay of the own zone
  int64_t bytesReceived = 0;
};

/// Called with endpoint states received from the relay.
using EndpointStatesHandler = std::function<void(const std::vector<wire::EndpointState>&)>;
/// Called after each activation.
using ActivationHandler = std::function<void(const routing::RoutingTablePtr&)>;

/// Subscribes to one relay at a time, persists and activates the versions that it sends, and switches to another relay
/// when the current one is silent, stale or unreachable.
///
/// Invariants: at most one relay is subscribed to at a time, and messages on other connections are ignored. With a
/// disk, a version, including one that was read back at a start, is active only once the disk durably holds it or
/// durably holds none, so that a restart never serves an older version. While subscribed to a relay, no other
/// connection is open or being opened.
class ControlClient : public base::ConnectionHandler {
 public:
  ControlClient(ControlOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network,
                ActivationHandler onActivation, EndpointStatesHandler onStates);
  ~ControlClient() override;

  /// Loads the last version from the disk, if any, and connects, both after a first sync of the disk.
  /// @param disk null on a node without a disk
  void start(storage::Disk* disk);

  /// Replaces the seed relays, as after a reload of the settings; relays learned from a relay stay in use.
  void useSeeds(const std::vector<base::Address>& seeds);

  /// Reconnects after this process was stopped or its machine suspended, because unread messages of the relay may be as
  /// old as the pause.
  void onResumed();

  /// Announces the state of the local endpoint.
  void announce(const wire::EndpointState& state);

  /// Sends a message to the current relay.
  /// @return false if not connected
  bool send(const wire::Message& message);

  /// Sends version reports to the current relay.
  /// @return false if not connected or the relay does not support them
  bool sendVersions(const wire::Message& message) { return relayTakesVersionReports_ && send(message); }

  /// Requests quota permits from the current relay.
  /// @return false if not connected or the relay does not grant them
  bool requestPermits(const wire::QuotaAsk& request) { return relayGrantsQuotas_ && send(request); }

  /// Exchanges crash reports of back ends with the relay.
  /// @param quarantine outlives this object
  void useQuarantine(quarantine::request_quarantine* quarantine);

  /// Sets the handler for replies of the ledger.
  void onLedgerReply(std::function<void(const wire::LedgerReply&)> handler) { onLedgerReply_ = std::move(handler); }

  /// Sets the queue that receives grants of permits and requests them again after a change of relay.
  /// @param quotas outlives this object
  void useQuotas(quota::quota_queue* quotas) { quotas_ = quotas; }

  const SliceStore& slices() const { return slices_; }
  bool connected() const { return open_; }

  /// @return whether a recent heartbeat of a quorum of controllers has been received through a relay.
  bool fresh() const { return scheduler_.now() - lastFreshAt_ <= options_.staleAfter; }

  const ControlCounters& counters() const { return counters_; }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override;
  void onMessage(base::ConnectionId connection, wire::Message message) override;
  void onClose(base::ConnectionId connection) override;

 private:
  void join();
  void connect();
  void startNextAttempt();
  void usePendingConnection(base::ConnectionId connection);
  void closePendingConnections();
  void armReturnTimer();
  base::Duration connectionAttemptDelay() const;
  void onRelayList(const wire::RelayList& list);
  void updateRelays();
  void switchRelay(base::Duration delay);
  /// @return how often all relays have been tried without success.
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
  /// Writes the version that was prepared last to the disk.
  void persist(int64_t revision, std::function<void()> done);
  /// Removes the stored version, which a restart would serve, and continues without a disk.
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
  std::vector<base::Address> seeds_;                                // relays from the settings
  wire::RelayList advertisedRelays_;                                // relays from the last relay list
  base::Address relay_;                                             // current relay
  size_t position_ = 0;                                             // index of the current relay in options_.relays
  base::ConnectionId connection_ = 0;                               // 0 while waiting to reconnect
  std::map<base::ConnectionId, base::Address> pendingConnections_;  // attempts in progress besides connection_
  bool open_ = false;
  bool sliceReceived_ = false;      // on this connection
  bool leaderKnown_ = false;        // on this connection: the relay follows a leader at least as recent as freshness_
  bool awaitingFullSlice_ = false;  // on this connection: an update was rejected, and a full one is needed
  int attempts_ = 0;                // since the last connection that received an update
  size_t staleRelays_ = 0;          // relays left as stale since freshness last advanced
  base::TimePoint lastReceivedAt_{};
  base::TimePoint openedAt_{};
  base::TimePoint lastFreshAt_{};
  wire::Freshness freshness_;
  bool announcing_ = false;
  wire::EndpointState state_;  // state of the local endpoint
  ControlCounters counters_;
  std::deque<wire::SliceUpdate> queuedUpdates_;  // received while a version is being written to the disk
  bool persisting_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Timer reconnectTimer_;
  base::Timer connectTimer_;  // active until the connection is open or the next relay is tried
  base::Timer relayCheckTimer_;
  base::Timer keepAliveTimer_;
  base::Timer returnTimer_;  // active while the current relay is in another zone
};

}  // namespace driftlug::node
