#include "node/control_client.h"

#include <algorithm>

#include "base/error.h"
#include "membership/freshness.h"
#include "storage/record_file.h"
#include "wire/bulk_frames.h"

namespace driftlug::node {
namespace {

constexpr int kProtocolVersion = 1;
constexpr base::Duration kWatchInterval = base::milliseconds(200);
constexpr int kMaxBackoffDoublings = 2;
constexpr int kMaxPatienceDoublings = 4;
constexpr int kServingPatience = 3;
/// Between attempts to drop a version from a disk that fails: a disk in trouble hangs for seconds.
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
      connectTimer_(scheduler, [this] { tryBeside(); }),
      watchTimer_(scheduler, [this] { onWatch(); }),
      keepAliveTimer_(scheduler,
                      [this] {
                        keepAliveTimer_.start(options_.keepAlive);
                        if (open_) sendApplied();
                      }),
      homeTimer_(scheduler, [this] { goHome(); }) {
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
  freshSince_ = scheduler_.now();
  if (disk_ == nullptr) return join();
  // What an earlier process wrote may not be durable yet: served before it is, it could be undone by a loss of power,
  // and an older version be found at the next start.
  disk_->sync(kSliceFile, [this, alive = std::weak_ptr<bool>(alive_)](const absl::Status& status) {
    if (alive.expired()) return;
    if (!status.ok()) return giveUpDisk(status, [this] { join(); });
    load();
    join();
  });
}

void ControlClient::join() {
  connect();
  watchTimer_.start(kWatchInterval);
  keepAliveTimer_.start(options_.keepAlive);
}

void ControlClient::connect() {
  if (options_.relays.empty()) return;
  open_ = false;
  sliceSeen_ = false;
  leaderHeard_ = false;
  awaitingWhole_ = false;
  openedAt_ = scheduler_.now();
  const size_t position = position_ % options_.relays.size();
  relay_ = options_.relays[position];
  const auto begun =
      std::find_if(pending_.begin(), pending_.end(), [this](const auto& item) { return item.second == relay_; });
  if (begun != pending_.end()) {
    connection_ = begun->first;
    pending_.erase(begun);
  } else {
    connection_ = network_.connectWithTimeout(relay_, options_.connectTimeout);
  }
  connectTimer_.start(connectPatience());
  armHomeTimer();
}

base::Duration ControlClient::connectPatience() const {
  // A node that has a version can wait for a relay; one without serves nobody.
  if (slices_.active()) return options_.servingConnectPatience;
  return options_.connectPatience * (1 << std::min(rounds(), kMaxPatienceDoublings));
}

void ControlClient::armHomeTimer() {
  homeTimer_.stop();
  const bool home = position_ % options_.relays.size() < options_.nearRelays;
  if (!home && options_.nearRelays > 0) homeTimer_.start(options_.returnAfter + random_.duration(options_.returnAfter));
}

/// The connection goes on beside the next one, and the first that is up is used. Given up, each try would begin behind
/// what is queued in front of the link, and where that takes longer than a try no relay is ever reached: 8 s without
/// one by a node's log, five relays in reach.
void ControlClient::tryBeside() {
  pending_[connection_] = relay_;
  if (pending_.size() >= options_.maxPending) {
    const auto oldest = pending_.begin();
    network_.close(oldest->first);
    pending_.erase(oldest);
  }
  connection_ = 0;
  reconnectLater("slow to answer");
}

/// A relay answered after the next one was tried.
void ControlClient::adopt(base::ConnectionId connection) {
  if (connection_ != 0) network_.close(connection_);
  reconnectTimer_.stop();
  connection_ = connection;
  relay_ = pending_.extract(connection).mapped();
  const auto current = std::find(options_.relays.begin(), options_.relays.end(), relay_);
  position_ = current == options_.relays.end() ? 0 : static_cast<size_t>(current - options_.relays.begin());
  armHomeTimer();
}

void ControlClient::dropPending() {
  for (const auto& [connection, relay] : pending_) network_.close(connection);
  pending_.clear();
}

void ControlClient::useSeeds(const std::vector<base::Address>& seeds) {
  seeds_ = seeds;
  useRelays();
}

void ControlClient::onRelayList(const wire::RelayList& list) {
  learned_ = list;
  useRelays();
}

void ControlClient::useRelays() {
  std::vector<base::Address> near;
  std::vector<base::Address> far;
  for (const auto& relay : learned_.relays) {
    (relay.zone == options_.zone ? near : far).push_back({relay.address, relay.port});
  }
  // Each node has an order of its own, so that the nodes of a lost relay spread over the others.
  const auto shuffle = [this](std::vector<base::Address>* list) {
    for (size_t i = list->size(); i > 1; --i) std::swap((*list)[i - 1], (*list)[random_.below(i)]);
  };
  shuffle(&near);
  shuffle(&far);
  if (!learned_.relays.empty()) options_.nearRelays = near.size();
  near.insert(near.end(), far.begin(), far.end());
  for (const auto& seed : seeds_) {
    if (std::find(near.begin(), near.end(), seed) == near.end()) near.push_back(seed);
  }
  options_.relays = near;
  const auto current = std::find(near.begin(), near.end(), relay_);
  position_ = current == near.end() ? 0 : static_cast<size_t>(current - near.begin());
  const bool home = position_ < options_.nearRelays;
  if (home) {
    homeTimer_.stop();
  } else if (open_ && !homeTimer_.running()) {
    homeTimer_.start(options_.returnAfter / 4 + random_.duration(options_.returnAfter));
  }
}

void ControlClient::goHome() {
  // Relays of other zones are for need only: they are further away, and have nodes of their own.
  if (!open_ || !sliceSeen_) return homeTimer_.start(options_.returnAfter);
  log_.info("{} goes back to a relay of its zone, revision {}", options_.nodeId, slices_.revision());
  ++counters_.returns;
  network_.close(connection_);
  connection_ = 0;
  updates_.clear();
  position_ = 0;
  connect();
}

void ControlClient::onAway() {
  if (!open_) return;
  network_.close(connection_);
  connection_ = 0;
  updates_.clear();
  connect();
}

void ControlClient::moveOn(base::Duration delay) {
  if (connection_ != 0) network_.close(connection_);
  connection_ = 0;
  open_ = false;
  connectTimer_.stop();
  updates_.clear();
  ++position_;
  ++counters_.reconnects;
  reconnectTimer_.start(delay);
}

void ControlClient::reconnectLater(const char* because) {
  log_.info("{} leaves relay {}:{}: {}, revision {}, fresh {} ms ago, term {}", options_.nodeId, relay_.host,
            relay_.port, because, slices_.revision(),
            std::chrono::duration_cast<base::milliseconds>(scheduler_.now() - freshSince_).count(), freshness_.term);
  // Each relay is tried once without much delay; only when none helps does the node wait.
  const bool atOnce = rounds() == 0;
  const auto limit = options_.reconnectDelay * (1 << std::min(rounds(), kMaxBackoffDoublings));
  ++attempts_;
  moveOn(random_.duration(atOnce ? options_.reconnectDelay / 4 : limit));
}

int ControlClient::rounds() const { return attempts_ / std::max(1, static_cast<int>(options_.relays.size())); }

void ControlClient::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  if (pending_.count(connection) > 0 && !open_) adopt(connection);
  if (connection != connection_) return;
  dropPending();
  open_ = true;
  connectTimer_.stop();
  lastHeard_ = scheduler_.now();
  openedAt_ = lastHeard_;
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
  if (quotas_ != nullptr) quotas_->askAnew();
  // All of it: relays that were restarted have forgotten what they knew.
  if (quarantine_ != nullptr) sendCrashReports(quarantine_->all());
  if (!announcing_) return;
  ++state_.sequence;
  sendState();
}

void ControlClient::onClose(base::ConnectionId connection) {
  if (pending_.erase(connection) > 0) return;
  if (connection == connection_) reconnectLater(open_ ? "connection lost" : "not reached");
}

void ControlClient::onMessage(base::ConnectionId connection, wire::Message message) {
  if (connection != connection_) return;
  lastHeard_ = scheduler_.now();
  if (auto* update = std::get_if<wire::SliceUpdate>(&message)) {
    onUpdate(std::move(*update));
  } else if (const auto* heartbeat = std::get_if<wire::NodeHeartbeat>(&message)) {
    onHeartbeat(*heartbeat);
  } else if (const auto* later = std::get_if<wire::RetryLater>(&message)) {
    moveOn(base::milliseconds(later->delayMs) + random_.duration(options_.reconnectDelay));
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
  sliceSeen_ = true;
  attempts_ = 0;
  updates_.push_back(std::move(update));
  takePending();
}

void ControlClient::takePending() {
  while (!updates_.empty() && !persisting_) {
    auto update = std::move(updates_.front());
    updates_.pop_front();
    // What the relay sent before it heard of the refusal can't be applied; refusing it would cost another whole slice.
    if (awaitingWhole_ && !update.full) continue;
    awaitingWhole_ = false;
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
      takePending();
    });
  }
}

void ControlClient::activate(SliceResult result, SliceVersion next) {
  slices_.activate(std::move(next));
  if (result == SliceResult::kActivated) {
    ++counters_.activations;
    log_.info("{} runs revision {} of relay {}:{}, subscribed for {} ms, {} rows", options_.nodeId, slices_.revision(),
              relay_.host, relay_.port, base::millisecondsOf(scheduler_.now() - openedAt_),
              slices_.rows().rows().size());
    if (onActivation_) onActivation_(slices_.active());
  }
  sendApplied();
}

void ControlClient::refuse(SliceResult result, int64_t revision) {
  ++counters_.rejected;
  // A relay that is behind can't help; another one may be further.
  if (result == SliceResult::kOlder) return reconnectLater("it is behind");
  awaitingWhole_ = true;
  wire::SliceRejected rejected;
  rejected.revision = revision;
  rejected.reason = wire::SliceRejectReason::DANGLING_REFERENCE;
  if (result == SliceResult::kBaseMismatch) rejected.reason = wire::SliceRejectReason::BASE_MISMATCH;
  if (result == SliceResult::kDigestMismatch) rejected.reason = wire::SliceRejectReason::DIGEST_MISMATCH;
  network_.send(connection_, wire::encodeFrame(rejected));
}

void ControlClient::onHeartbeat(const wire::NodeHeartbeat& heartbeat) {
  const auto& freshness = heartbeat.freshness;
  // A relay that has heard of no leader yet may be starting; one that follows an earlier leader is cut off.
  if (freshness.term > 0 && freshness.term < freshness_.term) return reconnectLater("it follows an earlier leader");
  leaderHeard_ = freshness.term > 0 && (leaderHeard_ || !membership::isNewer(freshness_, freshness));
  if (!membership::isNewer(freshness, freshness_)) return leaveStale();
  freshness_ = freshness;
  freshSince_ = std::max(freshSince_, scheduler_.now() - base::milliseconds(std::max(heartbeat.ageMs, 0)));
  if (!fresh()) return leaveStale();
  staleRelays_ = 0;
}

/// Leaves a relay that has heard nothing recent of the controllers either: several may be cut off together. Each relay
/// is tried once that fast; when all are stale, the controllers are out, and the node tries two for each `staleAfter`.
void ControlClient::leaveStale() {
  const bool searching = staleRelays_ > 0 && staleRelays_ < options_.relays.size();
  if (!open_ || !slices_.active() || fresh() || !searching) return;
  ++staleRelays_;
  attempts_ = 0;
  reconnectLater("its word of the controllers is no newer");
}

void ControlClient::sendApplied() {
  wire::SliceApplied applied;
  applied.revision = slices_.revision();
  network_.send(connection_, wire::encodeFrame(applied));
}

base::Duration ControlClient::firstSlicePatience() const {
  // A node that has a version can wait for a relay that has just started; one without can't.
  if (slices_.active()) return options_.firstSliceTimeout * kServingPatience;
  if (leaderHeard_) return options_.firstSliceTimeout;
  return std::min(options_.firstSliceTimeout,
                  options_.leaderlessTimeout * (1 << std::min(rounds(), kMaxBackoffDoublings)));
}

void ControlClient::onWatch() {
  watchTimer_.start(kWatchInterval);
  if (connection_ == 0) return;
  const auto heardUntil = scheduler_.inputReadUntil();
  // Heartbeats queue behind a large version on a slow link; starting over elsewhere would take longer.
  const auto part = network_.partialMessageReceivedAt(connection_);
  if (open_ && part && heardUntil - *part <= options_.relayTimeout) return;
  const bool silent = open_ && heardUntil - lastHeard_ > options_.relayTimeout;
  const bool noSlice = open_ && !sliceSeen_ && heardUntil - openedAt_ > firstSlicePatience();
  const bool stale =
      open_ && heardUntil - freshSince_ > options_.staleAfter && heardUntil - openedAt_ > options_.staleAfter;
  if (silent) return reconnectLater("silent");
  if (noSlice) return reconnectLater("no version came");
  if (!stale) return;
  staleRelays_ = std::min(std::max<size_t>(staleRelays_, 1), options_.relays.size() - 1);
  reconnectLater("its word of the controllers is old");
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
  quarantine_->onNews([this](const auto& reports) { sendCrashReports(reports); });
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
  wire::RowFrameHead whole;
  whole.full = true;
  whole.toRevision = revision;
  whole.digest = slices_.rows().digest();
  std::vector<const wire::Row*> rows;
  for (const auto& [key, row] : slices_.rows().rows()) rows.push_back(row.get());
  const auto frame = wire::encodeSliceUpdate(whole, rows);
  const auto record = storage::encodeRecord(storage::RecordType::kSnapshot, *frame, 0);
  (void)disk_->remove(kTemporaryFile);
  if (const auto status = disk_->append(kTemporaryFile, record); !status.ok()) return giveUpDisk(status, done);
  disk_->sync(kTemporaryFile, [this, alive = std::weak_ptr<bool>(alive_), done](absl::Status status) {
    if (alive.expired()) return;
    if (status.ok()) status = disk_->rename(kTemporaryFile, kSliceFile);
    if (!status.ok()) return giveUpDisk(status, done);
    disk_->sync(kSliceFile, [this, alive, done](const absl::Status& synced) {
      if (alive.expired()) return;
      if (!synced.ok()) return giveUpDisk(synced, done);
      done();
    });
  });
}

void ControlClient::giveUpDisk(const absl::Status& status, std::function<void()> done) {
  log_.error("{} stops keeping its version on disk: {}", options_.nodeId, base::errorText(status));
  dropVersion(std::move(done));
}

void ControlClient::dropVersion(std::function<void()> done) {
  (void)disk_->remove(kSliceFile);
  const auto names = disk_->list();
  const bool removed = names.ok() && std::find(names->begin(), names->end(), kSliceFile) == names->end();
  // A removal that is not durable is undone by a loss of power; the next start would serve the old version. Until the
  // disk answers, the node stays at what it runs.
  disk_->sync(kSliceFile, [this, alive = std::weak_ptr<bool>(alive_), removed, done](const absl::Status& status) {
    if (alive.expired()) return;
    if (removed && status.ok()) {
      disk_ = nullptr;
      return done();
    }
    scheduler_.schedule(kDiskRetryInterval, [this, alive, done] {
      if (!alive.expired()) dropVersion(done);
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
  log_.info("{} serves revision {} from its disk", options_.nodeId, slices_.revision());
  if (onActivation_) onActivation_(slices_.active());
}

}  // namespace driftlug::node
