#include "controller/controller.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

#include "base/error.h"

namespace driftlug::controller {
namespace {

using base::ErrorCode;
using consensus::RaftRole;

constexpr base::Duration kHousekeepingInterval = base::milliseconds(100);
constexpr int kProtocolVersion = 1;
/// Separates the operator's request id from the log index in the request id of an edit that is proposed again.
constexpr char kRetrySeparator[] = "#";

}  // namespace

Controller::Controller(ControllerOptions options, base::Scheduler& scheduler, base::RandomSource random,
                       base::Network& network, storage::Disk& disk)
    : options_(std::move(options)),
      scheduler_(scheduler),
      random_(random),
      network_(network),
      store_(disk),
      state_(options_.checks),
      links_(network, scheduler, base::RandomSource(random_.bits())),
      relays_(network),
      convergence_(scheduler, options_.nodeLease),
      convergenceTimes_(scheduler, convergence_),
      rollouts_(*this, scheduler, options_.exposure),
      evacuations_(*this),
      quotas_(scheduler, [this](const std::string& tenant) { return limitOf(tenant); }),
      memberListTimer_(scheduler, [this] { broadcastMemberList(); }),
      housekeeping_(scheduler, [this] { onHousekeeping(); }),
      heartbeat_(scheduler, [this] {
        heartbeat_.start(options_.relayHeartbeat);
        if (announcedTerm_) relays_.heartbeat(state_.table().revision(), raft_->freshness());
      }) {
  relays_.setFullPush(options_.fullPush);
}

Controller::~Controller() { *alive_ = false; }

void Controller::start(std::function<void(absl::Status)> ready) {
  auto recovered = store_.open();
  if (!recovered.ok()) return ready(recovered.status());
  store_.syncRecovered([this, alive = alive_, state = *recovered, ready](absl::Status status) mutable {
    if (!*alive) return;
    if (!status.ok()) return ready(status);
    if (state.hardState.identity.empty()) {
      state.hardState.identity = options_.name + "-" + absl::StrFormat("%08x", random_.bits() & 0xffffffffU);
      status = store_.saveHardState(state.hardState);
      if (!status.ok()) return ready(status);
    }
    identity_ = state.hardState.identity;
    store_.sync([this, alive, state = std::move(state), ready](const absl::Status& synced) {
      if (!*alive) return;
      if (synced.ok()) begin(state);
      ready(synced);
    });
  });
}

void Controller::begin(storage::RecoveredState state) {
  raft_ = std::make_unique<consensus::Raft>(identity_, options_.raft, scheduler_, base::RandomSource(random_.bits()),
                                            store_, *this, *this);
  raft_->start(state);
  startedAt_ = scheduler_.now();
  broadcastHello();
  updateLinks();
  housekeeping_.start(kHousekeepingInterval);
  heartbeat_.start(options_.relayHeartbeat);
  log_.info("{} started as {} at index {}", options_.name, identity_, raft_->lastIndex());
}

wire::Hello Controller::ownHello() const {
  wire::Hello hello;
  hello.protocolVersion = kProtocolVersion;
  hello.role = wire::Role::CONTROLLER;
  hello.id = identity_;
  hello.zone = options_.zone;
  hello.blank = raft_->blank();
  hello.address = options_.self.frames.host;
  hello.framePort = options_.self.frames.port;
  hello.httpPort = options_.self.httpPort;
  hello.relayPort = options_.relayPort;
  return hello;
}

void Controller::broadcastHello() {
  const auto hello = ownHello();
  network_.setHello(hello);
  // Only a blank controller may be added as a member, so connected peers need the current `blank` flag.
  for (const auto& [connection, peer] : peers_) {
    if (peer.role == wire::Role::CONTROLLER) network_.send(connection, wire::encodeFrame(hello));
  }
}

std::string Controller::leaderName() const {
  if (!raft_) return "";
  for (const auto& member : raft_->members()) {
    if (member.id == raft_->leaderId()) return member.name;
  }
  return "";
}

void Controller::submitEdit(wire::EditCommand edit, EditCallback done) {
  EditAnswer answer;
  if (!raft_ || raft_->role() != RaftRole::kLeader) {
    answer.code = ErrorCode::kNotLeader;
    answer.leaderName = leaderName();
    return done(answer);
  }
  if (!takesEdits()) {
    answer.code = ErrorCode::kForming;
    return done(answer);
  }
  const bool renewable = mustNotExpire(edit);
  const auto* known = state_.findOutcome(edit.requestId);
  const bool expired = known != nullptr && known->code == static_cast<int>(ErrorCode::kRequestIdExpired);
  if (expired && isInFlight(edit.requestId)) {
    answer.code = ErrorCode::kOutcomeUnknown;
    return done(answer);
  }
  if (known != nullptr && options_.checks.resends && !(expired && renewable)) return answerKnown(*known, edit, done);
  const auto requestId = edit.requestId;
  if (renewable) edit.baseRevision = std::max(edit.baseRevision, raft_->lastIndex());
  if (renewable && expired) {
    // The window keeps the expired outcome under the operator's request id.
    edit.__set_retryOf(requestId);
    edit.requestId = absl::StrCat(requestId, kRetrySeparator, raft_->lastIndex() + 1);
  }
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::EDIT;
  entry.edit = std::move(edit);
  entry.__isset.edit = true;
  const auto index = raft_->propose(std::move(entry));
  if (!index.ok()) {
    answer.code = base::errorCodeOf(index.status());
    if (answer.code == ErrorCode::kStorageFailed) answer.code = ErrorCode::kOutcomeUnknown;
    return done(answer);
  }
  pending_[*index] = {requestId, raft_->term(), scheduler_.now(), std::move(done)};
}

/// Answers a resent edit with its known outcome.
void Controller::answerKnown(const wire::EditOutcome& outcome, const wire::EditCommand& edit,
                             const EditCallback& done) {
  EditAnswer answer;
  answer.code = static_cast<ErrorCode>(outcome.code);
  answer.outcome = outcome;
  const bool same = outcome.fingerprint == kUnknownFingerprint || outcome.fingerprint == fingerprintOf(edit);
  if (!same) answer.code = ErrorCode::kRequestIdReused;
  // If this leader was partitioned away, its stored outcome may differ from what a quorum has committed.
  confirmLeadership([answer, done](bool confirmed) {
    EditAnswer final = answer;
    if (!confirmed) final.code = ErrorCode::kOutcomeUnknown;
    done(final);
  });
}

/// An edit that is based on the table's current revision was not accepted before, which would have raised that
/// revision, and if it was rejected, the unchanged table rejects it again. The leader therefore has it decided even if
/// rejected edits alone fill the window: it raises the base revision in the log entry, which controllers of any build
/// follow.
/// @return whether the edit is based on the current revision, and no copy of it is in flight
bool Controller::mustNotExpire(const wire::EditCommand& edit) const {
  return leads() && edit.baseRevision >= state_.table().revision() && !isInFlight(edit.requestId);
}

/// @return whether this leader has proposed an edit under the operator's request id that is not applied yet
bool Controller::isInFlight(const std::string& requestId) const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [&](const auto& item) { return item.second.requestId == requestId; });
}

void Controller::submitLedger(wire::LedgerCommand command, LedgerOutcomeCallback done) {
  command.timestampMs =
      std::chrono::duration_cast<base::milliseconds>(scheduler_.wallTime().time_since_epoch()).count();
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::LEDGER;
  entry.__set_ledger(command);
  // A claim that is granted on too few disks could be granted again.
  if (!takesEdits()) return done({wire::LedgerVerdict::UNAVAILABLE, nullptr});
  const auto index = raft_->propose(entry);
  if (!index.ok()) return done({wire::LedgerVerdict::UNAVAILABLE, nullptr});
  pendingLedger_[*index] = std::move(done);
}

void Controller::onLedgerRequest(base::ConnectionId connection, const wire::LedgerRequest& request) {
  submitLedger(request.command, [this, connection, requestId = request.requestId](const auto& outcome) {
    wire::LedgerReply reply;
    reply.requestId = requestId;
    reply.verdict = outcome.verdict;
    if (outcome.answer != nullptr) reply.__set_answer(*outcome.answer);
    network_.send(connection, wire::encodeFrame(reply));
  });
}

void Controller::confirmLeadership(consensus::Raft::ConfirmCallback done) {
  if (!raft_) return done(false);
  raft_->confirmLeadership(std::move(done));
}

void Controller::answerPending(int64_t index, const wire::EditOutcome& outcome) {
  const auto found = pending_.find(index);
  if (found == pending_.end()) return;
  EditAnswer answer;
  answer.code = static_cast<ErrorCode>(outcome.code);
  answer.outcome = outcome;
  const auto done = std::move(found->second.done);
  pending_.erase(found);
  done(answer);
}

void Controller::failPending() {
  pendingLedger_.clear();
  std::map<int64_t, PendingEdit> failed;
  failed.swap(pending_);
  for (const auto& [index, edit] : failed) {
    EditAnswer answer;
    answer.code = ErrorCode::kOutcomeUnknown;
    answer.leaderName = leaderName();
    edit.done(answer);
  }
}

void Controller::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  links_.onOpen(connection, peer);
  peers_[connection] = peer;
  // The peer may have received an older version of this controller's Hello.
  if (peer.role == wire::Role::CONTROLLER && raft_) network_.send(connection, wire::encodeFrame(ownHello()));
  if (raft_) sendMemberList(connection, peer);
  if (peer.role != wire::Role::RELAY) return;
  relays_.open(connection, peer.id);
  if (raft_ && announcedTerm_) relays_.heartbeatTo(connection, state_.table().revision(), raft_->freshness());
}

void Controller::onClose(base::ConnectionId connection) {
  if (links_.owns(connection)) links_.onClose(connection);
  const auto relayId = relays_.remove(connection);
  peers_.erase(connection);
  quotas_.forget(connection);
  if (relayId.empty()) return;
  convergence_.onRelayLost(relayId);
  log_.info("relay {} disconnected", relayId);
}

void Controller::onMessage(base::ConnectionId connection, wire::Message message) {
  const auto peer = peers_.find(connection);
  if (peer == peers_.end() || !raft_) return;
  if (peer->second.role == wire::Role::TOOL) return;
  if (peer->second.role != wire::Role::CONTROLLER) return onRelayMessage(connection, message);
  if (const auto* hello = std::get_if<wire::Hello>(&message)) {
    peer->second = *hello;
    links_.onHello(connection, *hello);
    return;
  }
  if (const auto* members = std::get_if<wire::MemberList>(&message)) return onMemberList(*members);
  const bool wasBlank = raft_->blank();
  raft_->onMessage(peer->second.id, std::move(message));
  if (wasBlank && !raft_->blank()) broadcastHello();
}

void Controller::onRelayMessage(base::ConnectionId connection, const wire::Message& message) {
  const auto& relayId = peers_[connection].id;
  if (std::holds_alternative<wire::KeepAlive>(message)) return relays_.recordActivity(connection, scheduler_.now());
  if (raft_->role() != RaftRole::kLeader) {
    wire::NotLeader notLeader;
    notLeader.leaderId = raft_->leaderId();
    network_.send(connection, wire::encodeFrame(notLeader));
    return;
  }
  relays_.recordActivity(connection, scheduler_.now());
  if (const auto* subscribe = std::get_if<wire::RelaySubscribe>(&message)) {
    relays_.subscribe(connection, relayId, *subscribe, state_.table());
    registerRelay(peers_[connection]);
    log_.info("relay {} subscribed from revision {}", relayId, subscribe->revision);
  } else if (const auto* report = std::get_if<wire::ConvergenceReport>(&message)) {
    if (relays_.relayIdOf(connection).empty()) return;
    convergence_.onReport(relayId, *report);
    convergenceTimes_.onReport();
    if (reportHook_) reportHook_();
  } else if (const auto* ledger = std::get_if<wire::LedgerRequest>(&message)) {
    onLedgerRequest(connection, *ledger);
  } else if (const auto* reports = std::get_if<wire::VersionReports>(&message)) {
    rollouts_.onReports(*reports);
  } else if (const auto* quotaRequest = std::get_if<wire::QuotaAsk>(&message)) {
    onQuotaAsk(connection, *quotaRequest);
  } else if (const auto* seen = std::get_if<wire::SeenVersions>(&message)) {
    if (leads()) rollouts_.onSeenVersions(*seen);
  } else if (const auto* confirm = std::get_if<wire::ConfirmRequest>(&message)) {
    confirmLeadership([this, alive = std::weak_ptr<bool>(alive_), connection, token = confirm->token](bool confirmed) {
      if (alive.expired() || !confirmed) return;
      wire::ConfirmReply reply;
      reply.token = token;
      reply.revision = state_.table().revision();
      network_.send(connection, wire::encodeFrame(reply));
    });
  }
}

/// Only a leader that holds its lease grants quota: while the lease is valid no other leader can be elected, so two
/// controllers never grant at the same time.
void Controller::onQuotaAsk(base::ConnectionId connection, const wire::QuotaAsk& quotaRequest) {
  if (!leads() || !raft_->holdsLease()) return;
  network_.send(connection, wire::encodeFrame(quotas_.decide(connection, quotaRequest)));
}

std::optional<quota::quota_limit> Controller::limitOf(const std::string& tenant) const {
  const auto row = state_.table().find(table::makeKey(wire::RowKind::TENANT, tenant));
  if (!row || !row->tenantRow.__isset.ratePerS || row->tenantRow.ratePerS <= 0) return std::nullopt;
  return quota::quota_limit{row->tenantRow.ratePerS, row->tenantRow.__isset.burst ? row->tenantRow.burst : 0};
}

void Controller::sendTo(const std::string& memberId, const wire::FramePtr& frame) { links_.sendTo(memberId, frame); }

void Controller::applyEdit(const wire::LogEntry& entry) {
  const bool decidedBefore = state_.findOutcome(entry.edit.requestId) != nullptr;
  table::ChangedRows rows;
  auto outcome = state_.apply(entry.index, entry.edit, &rows);
  if (outcome.code == static_cast<int>(ErrorCode::kNone)) {
    notifyRollouts(entry.edit);
    recordCommit(entry);
  }
  if (tableObserver_ != nullptr && !rows.empty()) tableObserver_->onTableChange(rows);
  if (appliedHook_) appliedHook_(entry);
  if (decidedBefore && outcome.fingerprint != fingerprintOf(entry.edit)) {
    outcome.code = static_cast<int>(ErrorCode::kRequestIdReused);
  }
  answerPending(entry.index, outcomeForOperator(entry.edit, std::move(outcome)));
}

/// Replaces the outcome of a copy that expired because another copy of the same edit was accepted before.
wire::EditOutcome Controller::outcomeForOperator(const wire::EditCommand& edit, wire::EditOutcome outcome) const {
  const auto* known = state_.findOutcome(operatorRequestId(edit));
  const bool accepted = known != nullptr && known->code == static_cast<int>(ErrorCode::kNone);
  if (accepted && outcome.code == static_cast<int>(ErrorCode::kRequestIdExpired)) return *known;
  outcome.requestId = operatorRequestId(edit);
  return outcome;
}

/// Only the controller that proposed the edit measures its commit and convergence time.
void Controller::recordCommit(const wire::LogEntry& entry) {
  const auto edit = pending_.find(entry.index);
  if (edit == pending_.end()) return;
  convergenceTimes_.onCommit(entry.index);
  log_.info("revision {} committed: {} rows changed, {} rows in the table, {} ms after its proposal", entry.index,
            entry.edit.mutations.size(), state_.table().rows().size(),
            base::millisecondsOf(scheduler_.now() - edit->second.proposedAt));
}

void Controller::notifyRollouts(const wire::EditCommand& edit) {
  for (const auto& mutation : edit.mutations) {
    if (mutation.row.__isset.rolloutRow) rollouts_.onApplied(mutation.row.key.name);
  }
}

void Controller::applyLedger(const wire::LogEntry& entry) {
  const auto outcome = ledger_.apply(entry.ledger);
  auto pending = pendingLedger_.extract(entry.index);
  if (!pending.empty()) pending.mapped()(outcome);
}

void Controller::apply(const wire::LogEntry& entry) {
  if (entry.kind == wire::EntryKind::EDIT) applyEdit(entry);
  if (entry.kind == wire::EntryKind::LEDGER) applyLedger(entry);
  if (entry.kind == wire::EntryKind::RELAY) {
    state_.applyRelay(entry.relay);
    updateRegisteredRelays();
  }
  if (entry.kind != wire::EntryKind::EDIT && appliedHook_) appliedHook_(entry);
  if (entry.kind == wire::EntryKind::MEMBERS) onMembers(entry);
  if (entry.kind != wire::EntryKind::EDIT || pushScheduled_ || raft_->role() != RaftRole::kLeader) return;
  pushScheduled_ = true;
  scheduler_.schedule(base::Duration(0), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    pushScheduled_ = false;
    if (raft_->role() == RaftRole::kLeader) relays_.push(state_.table());
  });
}

std::string Controller::takeSnapshot() {
  auto snapshot = state_.takeSnapshot();
  snapshot.ledger = ledger_.takeSnapshot();
  return wire::encodeStruct(snapshot);
}

void Controller::restore(const std::string& state) {
  auto snapshot = wire::decodeStruct<wire::TableSnapshot>(state);
  if (snapshot.ok()) {
    state_.restore(*snapshot);
    ledger_.restore(snapshot->ledger);
    if (tableObserver_ != nullptr) tableObserver_->onTableReplaced();
    updateRegisteredRelays();
    rollouts_.onRestored();
  } else {
    log_.error("snapshot can't be decoded: {}", base::errorText(snapshot.status()));
  }
}

void Controller::onLeadership(RaftRole role) {
  convergence_.reset();
  convergenceTimes_.reset();
  announcedTerm_ = false;
  lastActive_.clear();
  leadsSince_ = scheduler_.now();
  rollouts_.onLeadership();
  quotas_.reset(raft_->sinceLeaderContact());
  if (role == RaftRole::kLeader) return;
  // Pending additions must not be resumed when this controller becomes leader again.
  pendingAdditions_.clear();
  failPending();
  relays_.endSubscriptions(raft_->leaderId());
}

void Controller::onProgress() {
  // Relays are notified of a new leader only after a quorum confirmed it and it applied all entries of earlier terms.
  if (announcedTerm_ || raft_->role() != RaftRole::kLeader || raft_->freshness().round == 0) return;
  if (!raft_->appliedOwnTerm()) return;
  announcedTerm_ = true;
  relays_.heartbeat(state_.table().revision(), raft_->freshness());
}

void Controller::onHousekeeping() {
  housekeeping_.start(kHousekeepingInterval);
  updateLinks();
  if (raft_->blank()) return formCluster();
  if (raft_->role() != RaftRole::kLeader) return;
  if (raft_->forming() && !raft_->membershipChangePending()) completeFormation();
  if (options_.membership.automatic && !raft_->forming()) {
    admitNewControllers();
    manageVoters();
  } else {
    promoteLearners();
  }
  removeExpiredRelays();
  convergence_.pruneGoneNodes();
  if (leads()) rollouts_.tick();
  for (const auto connection : relays_.connectionsInactiveSince(scheduler_.inputReadUntil() - options_.relayTimeout)) {
    network_.close(connection);
    onClose(connection);
  }
}

void Controller::prepareStop() {
  if (raft_) raft_->transferLeadership();
}

}  // namespace driftlug::controller
