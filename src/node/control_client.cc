#include "node/control_client.h"

#include <algorithm>

#include "base/error.h"
#include "membership/freshness.h"
#include "storage/record_file.h"
#include "wire/bulk_frames.h"

namespace driftlug::node {
namespace {

constexpr int kProtocolVersion = 1;
constexpr base::Duration kRelayCheckInterval = base::milliseconds(200);
constexpr int kMaxBackoffDoublings = 2;
constexpr int kMaxAttemptDelayDoublings = 4;
constexpr int kServingTimeoutFactor = 3;
/// Interval between attempts to remove a version from a failing disk, which may hang for seconds.
constexpr base::Duration kDiskRetryInterval = base::milliseconds(200);
constexpr char kSliceFile[] = "slice";
constexpr char kTemporaryFile[] = "slice.tmp";

}  // namespace

ControlClient::ControlClient(ControlOptions options, base::Scheduler& scheduler, base::RandomSource random,
                             base::Network& network, ActivationHandler onActivation, EndpointStatesHandler onStates)
    : options_(std::move(options)),
      scheduler_(scheduler),
      random_(random),
      network_(network),
      onActivation_(std::move(onActivation)),
      onStates_(std::move(onStates)),
      reconnectTimer_(scheduler, [this] { connect(); }),
      connectTimer_(scheduler, [this] { startNextAttempt(); }),
      relayCheckTimer_(scheduler, [this] { checkRelay(); }),
      keepAliveTimer_(scheduler,
                      [this] {
                        keepAliveTimer_.start(options_.keepAlive);
                        if (open_) sendApplied();
                      }),
      returnTimer_(scheduler, [this] { returnToOwnZone(); }) {
  slices_.setChecks(options_.checks);
  seeds_ = options_.relays;
}

ControlClient::~ControlClient() { alive_.reset(); }

void ControlClient::start(storage::Disk* disk) {
  disk_ = disk;
  wire::Hello hello;
  hello.protocolVersion = kProtocolVersion;
  hello.role = wire::Role::NODE;
  hello.id = options_.nodeId;
  hello.zone = options_.zone;
  hello.unpacksFrames = true;
  hello.takesCrashReports = true;
  network_.setHello(hello);
  lastFreshAt_ = scheduler_.now();
  if (disk_ == nullptr) return join();
  // The version written by a previous process may not be durable yet. If it were served now and a power loss undid the
  // write, the next start would serve an older version.
  disk_->sync(kSliceFile, [this, alive = std::weak_ptr<bool>(alive_)](const absl::Status& status) {
    if (alive.expired()) return;
    if (!status.ok()) return disablePersistence(status, [this] { join(); });
    load();
    join();
  });
}

void ControlClient::join() {
  connect();
  relayCheckTimer_.start(kRelayCheckInterval);
  keepAliveTimer_.start(options_.keepAlive);
}

void ControlClient::connect() {
  if (options_.relays.empty()) return;
  open_ = false;
  sliceReceived_ = false;
  leaderKnown_ = false;
  awaitingFullSlice_ = false;
  openedAt_ = scheduler_.now();
  const size_t position = position_ % options_.relays.size();
  relay_ = options_.relays[position];
  const auto pending = std::find_if(pendingConnections_.begin(), pendingConnections_.end(),
                                    [this](const auto& item) { return item.second == relay_; });
  if (pending != pendingConnections_.end()) {
    connection_ = pending->first;
    pendingConnections_.erase(pending);
  } else {
    connection_ = network_.connectWithTimeout(relay_, options_.connectTimeout);
  }
  connectTimer_.start(connectionAttemptDelay());
  armReturnTimer();
}

base::Duration ControlClient::connectionAttemptDelay() const {
  // A node that has a version can wait for a relay; one without a version serves no calls.
  if (slices_.active()) return options_.servingConnectionAttemptDelay;
  return options_.connectionAttemptDelay * (1 << std::min(completedRounds(), kMaxAttemptDelayDoublings));
}

void ControlClient::armReturnTimer() {
  returnTimer_.stop();
  const bool inOwnZone = position_ % options_.relays.size() < options_.nearRelays;
  if (!inOwnZone && options_.nearRelays > 0)
    returnTimer_.start(options_.returnAfter + random_.duration(options_.returnAfter));
}

/// Tries the next relay while the current attempt continues; the first connection that opens is used. If slow attempts
/// were closed, each new one would queue again behind the traffic on a congested link, and none could succeed once the
/// queueing delay exceeds the timeout: a node stayed 8 s without a relay while five were reachable.
void ControlClient::startNextAttempt() {
  pendingConnections_[connection_] = relay_;
  if (pendingConnections_.size() >= options_.maxPendingConnections) {
    const auto oldest = pendingConnections_.begin();
    network_.close(oldest->first);
    pendingConnections_.erase(oldest);
  }
  connection_ = 0;
  leaveRelay("connection attempt is slow");
}

/// Uses a connection that opened after the next relay had been tried.
void ControlClient::usePendingConnection(base::ConnectionId connection) {
  if (connection_ != 0) network_.close(connection_);
  reconnectTimer_.stop();
  connection_ = connection;
  relay_ = pendingConnections_.extract(connection).mapped();
  const auto current = std::find(options_.relays.begin(), options_.relays.end(), relay_);
  position_ = current == options_.relays.end() ? 0 : static_cast<size_t>(current - options_.relays.begin());
  armReturnTimer();
}

void ControlClient::closePendingConnections() {
  for (const auto& [connection, relay] : pendingConnections_) network_.close(connection);
  pendingConnections_.clear();
}

void ControlClient::useSeeds(const std::vector<base::Address>& seeds) {
  seeds_ = seeds;
  updateRelays();
}

void ControlClient::onRelayList(const wire::RelayList& list) {
  advertisedRelays_ = list;
  updateRelays();
}

void ControlClient::updateRelays() {
  std::vector<base::Address> near;
  std::vector<base::Address> far;
  for (const auto& relay : advertisedRelays_.relays) {
    (relay.zone == options_.zone ? near : far).push_back({relay.address, relay.port});
  }
  // Each node uses its own random order, so that the nodes of a lost relay spread over the others.
  const auto shuffle = [this](std::vector<base::Address>* list) {
    for (size_t i = list->size(); i > 1; --i) std::swap((*list)[i - 1], (*list)[random_.below(i)]);
  };
  shuffle(&near);
  shuffle(&far);
  if (!advertisedRelays_.relays.empty()) options_.nearRelays = near.size();
  near.insert(near.end(), far.begin(), far.end());
  for (const auto& seed : seeds_) {
    if (std::find(near.begin(), near.end(), seed) == near.end()) near.push_back(seed);
  }
  options_.relays = near;
  const auto current = std::find(near.begin(), near.end(), relay_);
  position_ = current == near.end() ? 0 : static_cast<size_t>(current - near.begin());
  const bool inOwnZone = position_ < options_.nearRelays;
  if (inOwnZone) {
    returnTimer_.stop();
  } else if (open_ && !returnTimer_.running()) {
    returnTimer_.start(options_.returnAfter / 4 + random_.duration(options_.returnAfter));
  }
}

void ControlClient::returnToOwnZone() {
  // Relays of other zones are a fallback only: they have higher latency and serve the nodes of their own zone.
  if (!open_ || !sliceReceived_) return returnTimer_.start(options_.returnAfter);
  log_.info("{} reconnects to a relay of its own zone, revision {}", options_.nodeId, slices_.revision());
  ++counters_.returns;
  network_.close(connection_);
  connection_ = 0;
  queuedUpdates_.clear();
  position_ = 0;
  connect();
}

void ControlClient::onResumed() {
  if (!open_) return;
  network_.close(connection_);
  connection_ = 0;
  queuedUpdates_.clear();
  connect();
}

void ControlClient::switchRelay(base::Duration delay) {
  if (connection_ != 0) network_.close(connection_);
  connection_ = 0;
  open_ = false;
  connectTimer_.stop();
  queuedUpdates_.clear();
  ++position_;
  ++counters_.reconnects;
  reconnectTimer_.start(delay);
}

void ControlClient::leaveRelay(const char* cause) {
  log_.info("{} leaves relay {}:{}: {}, revision {}, fresh {} ms ago, term {}", options_.nodeId, relay_.host,
            relay_.port, cause, slices_.revision(),
            std::chrono::duration_cast<base::milliseconds>(scheduler_.now() - lastFreshAt_).count(), freshness_.term);
  // The first round over all relays uses a short delay; back-off starts with the second round.
  const bool firstRound = completedRounds() == 0;
  const auto limit = options_.reconnectDelay * (1 << std::min(completedRounds(), kMaxBackoffDoublings));
  ++attempts_;
  switchRelay(random_.duration(firstRound ? options_.reconnectDelay / 4 : limit));
}

int ControlClient::completedRounds() const { return attempts_ / std::max(1, static_cast<int>(options_.relays.size())); }

void ControlClient::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  if (pendingConnections_.count(connection) > 0 && !open_) usePendingConnection(connection);
  if (connection != connection_) return;
  closePendingConnections();
  open_ = true;
  connectTimer_.stop();
  lastReceivedAt_ = scheduler_.now();
  openedAt_ = lastReceivedAt_;
  log_.info("{} subscribes to {} from revision {}", options_.nodeId, peer.id, slices_.revision());
  wire::NodeSubscribe subscribe;
  subscribe.hosts = options_.hosts;
  subscribe.services = options_.services;
  subscribe.revision = slices_.revision();
  subscribe.digest = slices_.digest();
  network_.send(connection, wire::encodeFrame(subscribe));
  relayTakesCrashReports_ = peer.takesCrashReports;
  relayTakesVersionReports_ = peer.takesVersionReports;
  relayGrantsQuotas_ = peer.grantsQuotas;
  if (quotas_ != nullptr) quotas_->resendAll();
  // Sends all reports, since a restarted relay has lost them.
  if (quarantine_ != nullptr) sendCrashReports(quarantine_->all());
  if (!announcing_) return;
  ++state_.sequence;
  sendState();
}

void ControlClient::onClose(base::ConnectionId connection) {
  if (pendingConnections_.erase(connection) > 0) return;
  if (connection == connection_) leaveRelay(open_ ? "connection lost" : "connection failed");
}

void ControlClient::onMessage(base::ConnectionId connection, wire::Message message) {
  if (connection != connection_) return;
  lastReceivedAt_ = scheduler_.now();
  if (auto* update = std::get_if<wire::SliceUpdate>(&message)) {
    onUpdate(std::move(*update));
  } else if (const auto* heartbeat = std::get_if<wire::NodeHeartbeat>(&message)) {
    onHeartbeat(*heartbeat);
  } else if (const auto* later = std::get_if<wire::RetryLater>(&message)) {
    switchRelay(base::milliseconds(later->delayMs) + random_.duration(options_.reconnectDelay));
  } else if (const auto* states = std::get_if<wire::EndpointStates>(&message)) {
    if (onStates_) onStates_(states->states);
  } else if (const auto* crashes = std::get_if<wire::CrashReports>(&message)) {
    if (quarantine_ != nullptr) quarantine_->onReports(crashes->reports);
  } else if (const auto* relays = std::get_if<wire::RelayList>(&message)) {
    onRelayList(*relays);
  } else if (const auto* reply = std::get_if<wire::LedgerReply>(&message)) {
    if (onLedgerReply_) onLedgerReply_(*reply);
  } else if (const auto* grant = std::get_if<wire::QuotaGrant>(&message)) {
    if (quotas_ != nullptr) quotas_->onGrant(*grant);
  }
}

bool ControlClient::send(const wire::Message& message) {
  if (!open_) return false;
  network_.send(connection_, wire::encodeFrame(message));
  return true;
}

void ControlClient::onUpdate(wire::SliceUpdate update) {
  sliceReceived_ = true;
  attempts_ = 0;
  queuedUpdates_.push_back(std::move(update));
  applyQueuedUpdates();
}

void ControlClient::applyQueuedUpdates() {
  while (!queuedUpdates_.empty() && !persisting_) {
    auto update = std::move(queuedUpdates_.front());
    queuedUpdates_.pop_front();
    // Deltas that the relay sent before it received the rejection can't be applied; each rejection of one would cause
    // another full update.
    if (awaitingFullSlice_ && !update.full) continue;
    awaitingFullSlice_ = false;
    SliceVersion next;
    const int64_t revision = update.toRevision;
    const auto result = slices_.prepare(std::move(update), &next);
    if (result != SliceResult::kActivated && result != SliceResult::kUnchanged) {
      refuse(result, revision);
      continue;
    }
    if (disk_ == nullptr || result == SliceResult::kUnchanged) {
      activate(result, std::move(next));
      continue;
    }
    persisting_ = true;
    persist(next.revision, [this, alive = std::weak_ptr<bool>(alive_), result, next] {
      if (alive.expired()) return;
      persisting_ = false;
      activate(result, next);
      applyQueuedUpdates();
    });
  }
}

void ControlClient::activate(SliceResult result, SliceVersion next) {
  slices_.activate(std::move(next));
  if (result == SliceResult::kActivated) {
    ++counters_.activations;
    log_.info("{} activated revision {} from relay {}:{}, subscribed for {} ms, {} rows", options_.nodeId,
              slices_.revision(), relay_.host, relay_.port, base::millisecondsOf(scheduler_.now() - openedAt_),
              slices_.rows().rows().size());
    if (onActivation_) onActivation_(slices_.active());
  }
  sendApplied();
}

void ControlClient::refuse(SliceResult result, int64_t revision) {
  ++counters_.rejected;
  // The relay has an older revision than this node; another relay may have a newer one.
  if (result == SliceResult::kOlder) return leaveRelay("relay has an older revision");
  awaitingFullSlice_ = true;
  wire::SliceRejected rejected;
  rejected.revision = revision;
  rejected.reason = wire::SliceRejectReason::DANGLING_REFERENCE;
  if (result == SliceResult::kBaseMismatch) rejected.reason = wire::SliceRejectReason::BASE_MISMATCH;
  if (result == SliceResult::kDigestMismatch) rejected.reason = wire::SliceRejectReason::DIGEST_MISMATCH;
  network_.send(connection_, wire::encodeFrame(rejected));
}

void ControlClient::onHeartbeat(const wire::NodeHeartbeat& heartbeat) {
  const auto& freshness = heartbeat.freshness;
  // A relay without a leader may be starting; one that follows an earlier leader is partitioned from the current one.
  if (freshness.term > 0 && freshness.term < freshness_.term) return leaveRelay("relay follows an earlier leader");
  leaderKnown_ = freshness.term > 0 && (leaderKnown_ || !membership::isNewer(freshness_, freshness));
  if (!membership::isNewer(freshness, freshness_)) return leaveStaleRelay();
  freshness_ = freshness;
  lastFreshAt_ = std::max(lastFreshAt_, scheduler_.now() - base::milliseconds(std::max(heartbeat.ageMs, 0)));
  if (!fresh()) return leaveStaleRelay();
  staleRelays_ = 0;
}

/// Leaves a relay that is as stale as the one before, since several relays may be partitioned together. Each relay is
/// left this fast only once. If all are stale, the controllers are down, and the node tries two relays per
/// `staleAfter`.
void ControlClient::leaveStaleRelay() {
  const bool searching = staleRelays_ > 0 && staleRelays_ < options_.relays.size();
  if (!open_ || !slices_.active() || fresh() || !searching) return;
  ++staleRelays_;
  attempts_ = 0;
  leaveRelay("relay is stale as well");
}

void ControlClient::sendApplied() {
  wire::SliceApplied applied;
  applied.revision = slices_.revision();
  network_.send(connection_, wire::encodeFrame(applied));
}

base::Duration ControlClient::currentFirstSliceTimeout() const {
  // A node that has a version can wait for a relay that has just started; one without a version serves no calls.
  if (slices_.active()) return options_.firstSliceTimeout * kServingTimeoutFactor;
  if (leaderKnown_) return options_.firstSliceTimeout;
  return std::min(options_.firstSliceTimeout,
                  options_.leaderlessTimeout * (1 << std::min(completedRounds(), kMaxBackoffDoublings)));
}

void ControlClient::checkRelay() {
  relayCheckTimer_.start(kRelayCheckInterval);
  if (connection_ == 0) return;
  const auto readUntil = scheduler_.inputReadUntil();
  // On a slow link, heartbeats queue behind a large update; restarting the transfer elsewhere would take longer.
  const auto part = network_.partialMessageReceivedAt(connection_);
  if (open_ && part && readUntil - *part <= options_.relayTimeout) return;
  const bool silent = open_ && readUntil - lastReceivedAt_ > options_.relayTimeout;
  const bool noSlice = open_ && !sliceReceived_ && readUntil - openedAt_ > currentFirstSliceTimeout();
  const bool stale =
      open_ && readUntil - lastFreshAt_ > options_.staleAfter && readUntil - openedAt_ > options_.staleAfter;
  if (silent) return leaveRelay("silent");
  if (noSlice) return leaveRelay("no slice received");
  if (!stale) return;
  staleRelays_ = std::min(std::max<size_t>(staleRelays_, 1), options_.relays.size() - 1);
  leaveRelay("relay is stale");
}

void ControlClient::announce(const wire::EndpointState& state) {
  const auto sequence = state_.sequence + 1;
  state_ = state;
  state_.sequence = sequence;
  announcing_ = true;
  if (open_) sendState();
}

void ControlClient::useQuarantine(quarantine::request_quarantine* quarantine) {
  quarantine_ = quarantine;
  quarantine_->onOutgoingReports([this](const auto& reports) { sendCrashReports(reports); });
}

void ControlClient::sendCrashReports(const quarantine::request_quarantine::reports& reports) {
  if (!open_ || !relayTakesCrashReports_ || reports.empty()) return;
  wire::CrashReports message;
  message.reports = reports;
  network_.send(connection_, wire::encodeFrame(message));
}

void ControlClient::sendState() {
  wire::EndpointStates states;
  states.states.push_back(state_);
  network_.send(connection_, wire::encodeFrame(states));
}

void ControlClient::persist(int64_t revision, std::function<void()> done) {
  wire::RowUpdateHeader head;
  head.full = true;
  head.toRevision = revision;
  head.digest = slices_.rows().digest();
  std::vector<const wire::Row*> rows;
  for (const auto& [key, row] : slices_.rows().rows()) rows.push_back(row.get());
  const auto frame = wire::encodeSliceUpdate(head, rows);
  const auto record = storage::encodeRecord(storage::RecordType::kSnapshot, *frame, 0);
  (void)disk_->remove(kTemporaryFile);
  if (const auto status = disk_->append(kTemporaryFile, record); !status.ok()) return disablePersistence(status, done);
  disk_->sync(kTemporaryFile, [this, alive = std::weak_ptr<bool>(alive_), done](absl::Status status) {
    if (alive.expired()) return;
    if (status.ok()) status = disk_->rename(kTemporaryFile, kSliceFile);
    if (!status.ok()) return disablePersistence(status, done);
    disk_->sync(kSliceFile, [this, alive, done](const absl::Status& synced) {
      if (alive.expired()) return;
      if (!synced.ok()) return disablePersistence(synced, done);
      done();
    });
  });
}

void ControlClient::disablePersistence(const absl::Status& status, std::function<void()> done) {
  log_.error("{} no longer stores its version on disk: {}", options_.nodeId, base::errorText(status));
  removeStoredVersion(std::move(done));
}

void ControlClient::removeStoredVersion(std::function<void()> done) {
  (void)disk_->remove(kSliceFile);
  const auto names = disk_->list();
  const bool removed = names.ok() && std::find(names->begin(), names->end(), kSliceFile) == names->end();
  // A power loss undoes a removal that is not durable, and the next start would serve the old version. Until the disk
  // confirms the removal, the node keeps its active version.
  disk_->sync(kSliceFile, [this, alive = std::weak_ptr<bool>(alive_), removed, done](const absl::Status& status) {
    if (alive.expired()) return;
    if (removed && status.ok()) {
      disk_ = nullptr;
      return done();
    }
    scheduler_.schedule(kDiskRetryInterval, [this, alive, done] {
      if (!alive.expired()) removeStoredVersion(done);
    });
  });
}

void ControlClient::load() {
  const auto bytes = disk_->read(kSliceFile);
  if (!bytes.ok()) return;
  const auto scan = storage::scanRecords(*bytes, false);
  if (!scan.ok() || scan->records.size() != 1) return;
  const auto message = wire::decodeFrame(std::string_view(scan->records[0].payload).substr(wire::kLengthBytes));
  if (!message.ok() || !std::holds_alternative<wire::SliceUpdate>(*message)) return;
  if (slices_.apply(std::get<wire::SliceUpdate>(*message)) != SliceResult::kActivated) return;
  log_.info("{} serves revision {} from disk", options_.nodeId, slices_.revision());
  if (onActivation_) onActivation_(slices_.active());
}

}  // namespace driftlug::node
