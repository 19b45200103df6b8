#include "relay/relay.h"

#include <algorithm>

namespace driftlug::relay {
namespace {

constexpr int kProtocolVersion = 1;
constexpr base::Duration kReportDelay = base::milliseconds(1);
/// The minimum interval between reports grows with the lagging nodes in the last one. If each node that catches up in a
/// reconnect storm triggered a report, the cost would be quadratic in the number of nodes.
constexpr base::Duration kReportIntervalPerLaggingNode = base::microseconds(500);
constexpr base::Duration kMaxReportInterval = base::milliseconds(200);
/// Quota requests of nodes are batched so that the leader receives a few hundred per second from all relays together,
/// regardless of their number: each request costs about 30 us of a leader's tenth of a core.
constexpr base::Duration kQuotaBatchDelayPerRelay = base::microseconds(1500);
constexpr quota::quota_queue_options kQuotaQueueOptions{base::milliseconds(10), base::seconds(2),
                                                        base::milliseconds(200)};

}  // namespace

Relay::Relay(RelayOptions options, base::Scheduler& scheduler, base::RandomSource random, base::Network& network)
    : options_(std::move(options)),
      scheduler_(scheduler),
      random_(random),
      network_(network),
      releases_(options_.id, options_.releaseGroups),
      nodes_(network, releases_),
      controllerLinks_(network, scheduler, base::RandomSource(random_.bits()), options_.controllers),
      peers_(network, scheduler, base::RandomSource(random_.bits())),
      stateDistributor_(scheduler, network, endpoints_, nodes_, peers_),
      crashDistributor_(network, scheduler, nodes_, peers_),
      versions_(scheduler, replica_, endpoints_,
                [this](const wire::Message& message) { return controllerLinks_.send(message); }),
      quotas_(scheduler, kQuotaQueueOptions,
              [this](const wire::QuotaAsk& quotaRequest) { return controllerLinks_.send(quotaRequest); }),
      nodeTimer_(scheduler, [this] { onNodeTimer(); }),
      reportTimer_(scheduler, [this] {
        reportTimer_.start(options_.reportInterval);
        sendReport();
      }) {
  nodes_.useFullPush(options_.fullPush);
  if (!options_.releaseQuorum) releases_.disableQuorum();
  if (options_.everyZone) releases_.serveEveryZone();
  if (!options_.refuseOlderVersions) nodes_.allowOlderVersions();
}

Relay::~Relay() { *alive_ = false; }

void Relay::start() {
  wire::Hello hello;
  hello.protocolVersion = kProtocolVersion;
  hello.role = wire::Role::RELAY;
  hello.id = options_.id;
  hello.zone = options_.zone;
  hello.takesCrashReports = true;
  hello.takesVersionReports = true;
  hello.grantsQuotas = true;
  network_.setHello(hello);
  admissionTokens_ = options_.admissionBurst;
  startedAt_ = scheduler_.now();
  admissionAt_ = scheduler_.now();
  fullyReleasedAt_ = scheduler_.now();
  controllerLinks_.start();
  peers_.setAddresses({options_.peers.begin(), options_.peers.end()});
  nodeTimer_.start(options_.nodeHeartbeat);
  reportTimer_.start(options_.reportInterval);
  log_.info("{} started in zone {}", options_.id, options_.zone);
}

void Relay::prepareStop() {
  stopping_ = true;
  redirectAllNodes();
}

void Relay::applySettings(const std::vector<base::Address>& controllers, const std::vector<base::Address>& peers) {
  log_.info("{} applied new settings: {} controllers, {} relays", options_.id, controllers.size(), peers.size());
  options_.peers = peers;
  controllerLinks_.setConfigured(controllers);
  updatePeerAddresses();
}

void Relay::updatePeerAddresses() {
  std::set<base::Address> peers(options_.peers.begin(), options_.peers.end());
  for (const auto& relay : relayList_.relays) {
    const base::Address address{relay.address, relay.port};
    if (!(address == options_.listening)) peers.insert(address);
  }
  peers_.setAddresses(peers);
}

void Relay::onResumed() {
  log_.warn("{} was away (stopped or suspended), reconnecting to all controllers", options_.id);
  controllerLinks_.onResumed();
}

void Relay::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  if (controllerLinks_.owns(connection)) {
    controllerLinks_.onOpen(connection);
    return;
  }
  hellos_[connection] = peer;
  ++connectionsOf_[peer.id];
  if (peer.role == wire::Role::NODE) unsubscribed_[connection] = scheduler_.now();
  if (!peers_.owns(connection)) return;
  peers_.onOpen(connection, peer);
  sendHeldRevision(peer.id, 0, false);
  crashDistributor_.onPeerOpen(peer);
  std::vector<wire::EndpointState> own;
  for (const auto& [nodeConnection, session] : nodes_.all()) {
    const auto states = endpoints_.ofOrigin(session.nodeId);
    own.insert(own.end(), states.begin(), states.end());
  }
  if (own.empty()) return;
  wire::EndpointStates message;
  message.states = std::move(own);
  network_.send(connection, wire::encodeFrame(message));
}

void Relay::onClose(base::ConnectionId connection) {
  if (controllerLinks_.owns(connection)) {
    if (controllerLinks_.onClose(connection))
      log_.info("{} lost the connection to the controller that it follows", options_.id);
    return;
  }
  const bool outgoing = peers_.owns(connection);
  if (outgoing) peers_.onClose(connection);
  const auto found = hellos_.find(connection);
  if (found == hellos_.end()) return;
  const auto peer = found->second;
  if (outgoing) crashDistributor_.onPeerClose(peer.id);
  if (peer.role == wire::Role::RELAY) {
    if (!outgoing) releases_.onPeerDisconnected(peer.id);
    expireLater(peer.id, options_.peerLease);
  } else if (peer.role == wire::Role::NODE) {
    dropNode(connection);
  }
  removeConnection(connection);
}

void Relay::removeConnection(base::ConnectionId connection) {
  const auto hello = hellos_.extract(connection);
  if (hello.empty()) return;
  unsubscribed_.erase(connection);
  const auto count = connectionsOf_.find(hello.mapped().id);
  if (--count->second == 0) connectionsOf_.erase(count);
}

void Relay::onMessage(base::ConnectionId connection, wire::Message message) {
  if (controllerLinks_.owns(connection)) return onControllerMessage(connection, message);
  const auto peer = hellos_.find(connection);
  if (peer == hellos_.end()) return;
  if (peer->second.role == wire::Role::RELAY) return onRelayMessage(peer->second.id, message);
  if (peer->second.role == wire::Role::NODE) return onNodeMessage(connection, message);
}

void Relay::onControllerMessage(base::ConnectionId connection, const wire::Message& message) {
  if (const auto* heartbeat = std::get_if<wire::ControllerHeartbeat>(&message)) {
    freshness_.onHeartbeat(*heartbeat, replica_.revision(), scheduler_.now());
    if (controllerLinks_.onLeader(connection, heartbeat->freshness)) subscribeToController(replica_.revision());
  } else if (std::get_if<wire::NotLeader>(&message) != nullptr) {
    controllerLinks_.onNotLeader(connection);
  } else if (const auto* members = std::get_if<wire::MemberList>(&message)) {
    onMemberList(*members);
  } else if (connection == controllerLinks_.source()) {
    if (const auto* update = std::get_if<wire::TableUpdate>(&message)) onTableUpdate(*update);
    if (const auto* reply = std::get_if<wire::ConfirmReply>(&message)) onConfirmReply(*reply);
    if (const auto* reply = std::get_if<wire::LedgerReply>(&message)) onLedgerReply(*reply);
    if (const auto* grant = std::get_if<wire::QuotaGrant>(&message)) quotas_.onGrant(*grant);
  }
}

void Relay::onMemberList(const wire::MemberList& list) {
  std::set<base::Address> controllers;
  wire::RelayList known;
  for (const auto& member : list.members) {
    controllers.insert({member.address, member.framePort});
    if (member.relayPort == 0) continue;
    wire::RelayAddress entry;
    entry.address = member.address;
    entry.port = member.relayPort;
    entry.zone = member.zone;
    known.relays.push_back(entry);
  }
  if (known == relayList_) return;
  controllerLinks_.setLearned(controllers);
  relayList_ = known;
  quotas_.setBatchInterval(std::max<base::Duration>(
      kQuotaQueueOptions.batchInterval, kQuotaBatchDelayPerRelay * static_cast<int64_t>(relayList_.relays.size())));
  updatePeerAddresses();
  for (const auto& [connection, session] : nodes_.all()) network_.send(connection, wire::encodeFrame(relayList_));
}

void Relay::subscribeToController(int64_t revision) {
  wire::RelaySubscribe subscribe;
  subscribe.revision = revision;
  subscribe.digest = replica_.table().digest();
  subscribe.sharesTable = replica_.isShared();
  controllerLinks_.send(subscribe);
  quotas_.resendAll();
  reportFull_ = true;
  scheduleReport();
  for (const auto& [zone, confirmer] : confirmers_) confirmer->restartRound();
  if (recovered_) return;
  wire::ConfirmRequest confirm;
  confirm.token = ++lastToken_;
  controllerLinks_.send(confirm);
}

void Relay::onTableUpdate(const wire::TableUpdate& update) {
  if (replica_.isShared()) return;  // sent by a controller that does not support shared tables
  table::ChangedRows rows;
  const auto result = replica_.apply(update, &rows);
  if (result == ReplicaResult::kNothingNew) return;
  if (result != ReplicaResult::kApplied) {
    log_.warn("{} could not apply revision {}, requesting the full table", options_.id, update.toRevision);
    return subscribeToController(0);
  }
  updateSlices(rows);
  onTableAdvanced();
}

void Relay::updateSlices(const table::ChangedRows& rows) {
  const auto slices = slices_.onTableChange(replica_.table(), rows);
  log_.info("{} holds revision {}: {} rows and {} slices changed, {} nodes attached", options_.id, replica_.revision(),
            rows.changed.size(), slices.size(), nodes_.all().size());
}

void Relay::onTableChange(const table::ChangedRows& rows) {
  updateSlices(rows);
  scheduleTableAdvanced();
}

void Relay::onTableReplaced() {
  slices_.refresh(replica_.table());
  log_.info("{} holds revision {}, the table was replaced", options_.id, replica_.revision());
  scheduleTableAdvanced();
}

/// Defers delivery to the next event-loop turn, so that changes that the controller applies together are delivered to
/// nodes together.
void Relay::scheduleTableAdvanced() {
  if (advanceScheduled_) return;
  advanceScheduled_ = true;
  scheduler_.schedule(base::Duration(0), [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    advanceScheduled_ = false;
    onTableAdvanced();
  });
}

void Relay::onTableAdvanced() {
  freshness_.onRevision(replica_.revision());
  recovered_ = recovered_ || (confirmedRevision_ && replica_.revision() >= *confirmedRevision_);
  releases_.setOwnRevision(replica_.revision());
  broadcastHeldRevision();
  for (const auto& [zone, confirmer] : confirmers_) confirmer->onOwnRevision(replica_.revision(), recovered_);
  sendCrashReports();
  nodes_.deliverAll();
  sendServiceEndpointsToAll();
  scheduleReport();
}

void Relay::onConfirmReply(const wire::ConfirmReply& reply) {
  // Any reply of the leader confirms the table, regardless of which confirmer sent the request.
  confirmedRevision_ = reply.revision;
  if (!recovered_ && replica_.revision() >= reply.revision) onTableAdvanced();
  for (const auto& [zone, confirmer] : confirmers_) confirmer->onControllerReply(reply.token, reply.revision);
}

void Relay::broadcastHeldRevision() {
  for (const auto& relayId : releases_.peers()) sendHeldRevision(relayId, 0, false);
}

void Relay::sendHeldRevision(const std::string& relayId, int64_t probe, bool wantsReply) {
  if (releases_.peers().count(relayId) == 0) return;
  wire::RelayHeld held;
  held.revision = replica_.revision();
  held.recovered = recovered_;
  held.probe = probe;
  held.wantsReply = wantsReply;
  held.freshness = freshness_.value();
  peers_.sendTo(relayId, wire::encodeFrame(held));
}

void Relay::onRelayMessage(const std::string& relayId, const wire::Message& message) {
  if (const auto* held = std::get_if<wire::RelayHeld>(&message)) {
    releases_.onHeldRevision(relayId, held->revision);
    if (held->wantsReply) sendHeldRevision(relayId, held->probe, false);
    if (!held->wantsReply && held->probe != 0) {
      for (const auto& [zone, confirmer] : confirmers_) {
        confirmer->onMemberReply(held->probe, relayId, held->revision, held->recovered);
      }
    }
    nodes_.deliverAll();
  } else if (const auto* states = std::get_if<wire::EndpointStates>(&message)) {
    onEndpointStates(states->states, relayId, false);
  } else if (const auto* crashes = std::get_if<wire::CrashReports>(&message)) {
    crashDistributor_.onPeerReports(crashes->reports);
  }
}

void Relay::scheduleReport() {
  if (reportScheduled_) return;
  reportScheduled_ = true;
  const auto gap = std::min<base::Duration>(kMaxReportInterval, reportedLagging_ * kReportIntervalPerLaggingNode);
  const auto wait = std::max<base::Duration>(kReportDelay, reportedAt_ + gap - scheduler_.now());
  scheduler_.schedule(wait, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    reportScheduled_ = false;
    sendReport();
  });
}

void Relay::sendReport() {
  // A full report must be sent first: a new leader would take a partial report for the complete state.
  const bool full = reportFull_;
  const auto now = scheduler_.now();
  wire::ConvergenceReport report;
  report.runningMs = std::chrono::duration_cast<base::milliseconds>(now - startedAt_).count();
  report.sequence = ++reportSequence_;
  report.inForceRevision = replica_.revision();
  report.full = full;
  if (options_.reportLag) report.lagging = nodes_.lagging();
  if (full) {
    for (const auto& [connection, session] : nodes_.all()) report.attached.push_back(session.nodeId);
    std::erase_if(lostAt_, [&](const auto& lost) { return now - lost.second > options_.nodeLease; });
    for (const auto& [nodeId, at] : lostAt_) report.detached.push_back(nodeId);
  } else {
    report.attached.assign(newlyAttached_.begin(), newlyAttached_.end());
    report.detached.assign(newlyDetached_.begin(), newlyDetached_.end());
  }
  reportedAt_ = now;
  reportedLagging_ = report.lagging.size();
  log_.debug("{} reports revision {}: {}{} attached, {} detached, {} lagging", options_.id, report.inForceRevision,
             full ? "all " : "", report.attached.size(), report.detached.size(), report.lagging.size());
  if (!controllerLinks_.send(report)) {
    reportFull_ = true;
    return;
  }
  reportFull_ = false;
  newlyAttached_.clear();
  newlyDetached_.clear();
}

void Relay::onEndpointStates(const std::vector<wire::EndpointState>& states, const std::string& origin, bool fromNode) {
  std::vector<wire::EndpointState> newStates;
  for (const auto& state : states) {
    if (endpoints_.update(state, origin)) newStates.push_back(state);
  }
  versions_.onNewEndpointStates(newStates);
  stateDistributor_.add(newStates, fromNode);
}

void Relay::expireLater(const std::string& origin, base::Duration lease) {
  scheduler_.schedule(lease, [this, alive = std::weak_ptr<bool>(alive_), origin] {
    if (alive.expired() || connectionsOf_.count(origin) > 0) return;
    stateDistributor_.add(endpoints_.expire(origin), true);
  });
}

}  // namespace driftlug::relay
