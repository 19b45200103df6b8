/// The part of Relay that handles nodes.
#include <algorithm>

#include "relay/relay.h"

namespace driftlug::relay {
namespace {

/// Time after its start during which a relay that cannot release revisions yet does not redirect its nodes, since all
/// other relays may be starting too.
constexpr base::Duration kStartGrace = base::seconds(5);
/// Demands for more permits are invalid; a node has some hundred requests at a time.
constexpr int kMaxQuotaDemand = 100'000;

}  // namespace

void Relay::onNodeMessage(base::ConnectionId connection, const wire::Message& message) {
  if (auto* session = nodes_.find(connection)) session->lastReceivedAt = scheduler_.now();
  if (const auto* subscribe = std::get_if<wire::NodeSubscribe>(&message)) {
    onNodeSubscribe(connection, *subscribe);
  } else if (const auto* applied = std::get_if<wire::SliceApplied>(&message)) {
    const auto* session = nodes_.find(connection);
    const bool advanced = session != nullptr && applied->revision > session->appliedRevision;
    nodes_.onApplied(connection, applied->revision);
    if (advanced) scheduleReport();
  } else if (std::get_if<wire::SliceRejected>(&message) != nullptr) {
    nodes_.onRejected(connection);
  } else if (const auto* ledger = std::get_if<wire::LedgerRequest>(&message)) {
    forwardToLedger(connection, *ledger);
  } else if (const auto* states = std::get_if<wire::EndpointStates>(&message)) {
    onEndpointStates(states->states, hellos_[connection].id, true);
  } else if (const auto* crashes = std::get_if<wire::CrashReports>(&message)) {
    crashDistributor_.onNodeReports(connection, crashes->reports);
  } else if (const auto* quotaRequest = std::get_if<wire::QuotaAsk>(&message)) {
    onQuotaAsk(connection, *quotaRequest);
  } else if (const auto* versions = std::get_if<wire::VersionReports>(&message)) {
    versions_.onReports(*versions);
  }
}

void Relay::onQuotaAsk(base::ConnectionId connection, const wire::QuotaAsk& quotaRequest) {
  for (const auto& demand : quotaRequest.demands) {
    if (demand.count <= 0 || demand.count > kMaxQuotaDemand || demand.maxWaitMs < 0) {
      ++invalidQuotaDemands_;
      continue;
    }
    const auto done = [this, connection, tenant = demand.tenant](const quota::permit_outcome& outcome) {
      if (outcome.granted + outcome.denied == 0) return;  // the node retries by itself
      wire::QuotaGrant grant;
      grant.decisions.push_back(quota::decisionOf(tenant, outcome));
      network_.send(connection, wire::encodeFrame(grant));
    };
    if (demand.maxWaitMs > 0) {
      quotas_.setDemand(connection, demand.tenant, demand.count, base::milliseconds(demand.maxWaitMs), done);
    } else {
      // A node of an earlier version states only what it has not asked for yet.
      quotas_.wait(connection, demand.tenant, demand.count, done);
    }
  }
}

void Relay::forwardToLedger(base::ConnectionId connection, const wire::LedgerRequest& request) {
  // Nodes resend requests that get no reply, so the oldest entry may be evicted.
  constexpr size_t kMaxForwards = 10'000;
  if (ledgerForwards_.size() >= kMaxForwards) ledgerForwards_.erase(ledgerForwards_.begin());
  auto forwarded = request;
  forwarded.requestId = ++lastLedgerId_;
  ledgerForwards_[forwarded.requestId] = {connection, request.requestId};
  (void)controllerLinks_.send(forwarded);
}

void Relay::onLedgerReply(const wire::LedgerReply& reply) {
  auto forward = ledgerForwards_.extract(reply.requestId);
  if (forward.empty()) return;
  auto own = reply;
  own.requestId = forward.mapped().requestId;
  network_.send(forward.mapped().connection, wire::encodeFrame(own));
}

bool Relay::admit() {
  const auto now = scheduler_.now();
  const double elapsed = std::chrono::duration<double>(now - admissionAt_).count();
  admissionAt_ = now;
  admissionTokens_ =
      std::min<double>(options_.admissionBurst, admissionTokens_ + elapsed * options_.admissionsPerSecond);
  if (admissionTokens_ < 1) return false;
  admissionTokens_ -= 1;
  return true;
}

void Relay::sendRetryLater(base::ConnectionId connection, base::Duration delay) {
  wire::RetryLater later;
  later.delayMs = base::millisecondsOf(delay);
  network_.send(connection, wire::encodeFrame(later));
}

void Relay::onNodeSubscribe(base::ConnectionId connection, const wire::NodeSubscribe& request) {
  constexpr base::Duration kRetrySpread = base::seconds(1);
  constexpr base::Duration kRedirectDelay = base::milliseconds(100);
  const auto& peer = hellos_[connection];
  if (!admit()) return sendRetryLater(connection, random_.duration(kRetrySpread) + base::milliseconds(1));
  if (stopping_ || !releases_.serves(peer.zone)) return sendRetryLater(connection, kRedirectDelay);
  table::Interest interest{request.hosts, request.services};
  std::sort(interest.hosts.begin(), interest.hosts.end());
  std::sort(interest.services.begin(), interest.services.end());
  NodeSession session;
  session.nodeId = peer.id;
  session.zone = peer.zone;
  session.takesPacked = peer.unpacksFrames;
  session.takesCrashReports = peer.takesCrashReports;
  session.slice = slices_.get(interest, replica_.table());
  session.sentRevision = request.revision;
  session.appliedRevision = request.revision;
  session.confirmed = request.revision > 0 || !options_.confirmRestartedNodes;
  session.lastReceivedAt = scheduler_.now();
  const bool confirmed = session.confirmed;
  nodes_.add(connection, std::move(session));
  unsubscribed_.erase(connection);
  newlyAttached_.insert(peer.id);
  newlyDetached_.erase(peer.id);
  lostAt_.erase(peer.id);
  scheduleReport();
  // Sent before the first version, so that a restarted node knows which requests crash back ends before it serves.
  crashDistributor_.sendUnsent(connection, nodes_.find(connection));
  // Sent immediately, so that a node which left another relay because its freshness was stale can tell whether this
  // relay's freshness is newer.
  const bool hasLeader = controllerLinks_.source() != 0;
  nodes_.heartbeatTo(connection, confirmed || hasLeader ? currentHeartbeat() : wire::NodeHeartbeat());
  if (confirmed) {
    nodes_.deliverInitial(connection, request.digest);
  } else {
    confirmerFor(peer.zone).confirm([this, connection] {
      auto* waiting = nodes_.find(connection);
      if (waiting == nullptr) return;
      waiting->confirmed = true;
      waiting->floorRevision = replica_.revision();
      nodes_.deliver(connection);
    });
  }
  std::vector<wire::EndpointState> exceptions;
  auto* subscribed = nodes_.find(connection);
  endpoints_.visit([&](const wire::EndpointState& state) {
    if (state.condition == wire::EndpointCondition::LIVE) return;
    const auto key = table::makeKey(table::RowKind::ENDPOINT, state.endpoint);
    if (subscribed->slice->slice().contains(key)) exceptions.push_back(state);
  });
  stateDistributor_.sendTo(connection, *subscribed, exceptions);
  sendServiceEndpoints(connection, subscribed);
  if (!relayList_.relays.empty()) network_.send(connection, wire::encodeFrame(relayList_));
}

void Relay::sendCrashReports() {
  for (auto& [connection, session] : nodes_.all()) crashDistributor_.sendUnsent(connection, &session);
}

void Relay::sendServiceEndpointsToAll() {
  for (auto& [connection, session] : nodes_.all()) sendServiceEndpoints(connection, &session);
}

/// Sends the announced endpoints of services that the node has not been notified of. There is no cost per endpoint when
/// the node knows its services already, as after most changes of the table.
void Relay::sendServiceEndpoints(base::ConnectionId connection, NodeSession* session) {
  std::vector<wire::EndpointState> unsent;
  std::set<std::string> wanted;
  for (const auto& service : endpoints_.announcedServices()) {
    if (!session->slice->slice().contains(table::makeKey(table::RowKind::SERVICE, service))) continue;
    wanted.insert(service);
    if (session->notifiedServices.count(service) > 0) continue;
    for (auto& state : endpoints_.ofService(service)) {
      if (!state.address.empty()) unsent.push_back(std::move(state));
    }
  }
  session->notifiedServices = std::move(wanted);
  stateDistributor_.sendTo(connection, *session, unsent);
}

FreshnessConfirmer& Relay::confirmerFor(const std::string& zone) {
  auto& confirmer = confirmers_[zone];
  if (confirmer) return *confirmer;
  const auto* group = releases_.group(zone);
  confirmer = std::make_unique<FreshnessConfirmer>(scheduler_, group, options_.id, [this, group] {
    wire::ConfirmRequest confirm;
    confirm.token = ++lastToken_;
    controllerLinks_.send(confirm);
    if (group == nullptr) return confirm.token;
    for (const auto& relayId : group->members) {
      if (relayId != options_.id) sendHeldRevision(relayId, confirm.token, true);
    }
    return confirm.token;
  });
  confirmer->onOwnRevision(replica_.revision(), recovered_);
  return *confirmer;
}

wire::NodeHeartbeat Relay::currentHeartbeat() const {
  wire::NodeHeartbeat heartbeat;
  heartbeat.freshness = freshness_.value();
  if (heartbeat.freshness.term == 0) return heartbeat;
  heartbeat.ageMs = base::millisecondsOf(scheduler_.now() - freshness_.receivedAt());
  return heartbeat;
}

void Relay::dropNode(base::ConnectionId connection) {
  // Applies to connections without a session too: the close of a node's last connection starts the lease of its
  // endpoints.
  const auto nodeId = hellos_[connection].id;
  expireLater(nodeId, options_.endpointLease);
  if (nodes_.find(connection) == nullptr) return;
  nodes_.remove(connection);
  quotas_.drop(connection);
  unsubscribed_[connection] = scheduler_.now();
  const bool elsewhere = std::any_of(nodes_.all().begin(), nodes_.all().end(),
                                     [&](const auto& item) { return item.second.nodeId == nodeId; });
  if (elsewhere) return;
  newlyAttached_.erase(nodeId);
  newlyDetached_.insert(nodeId);
  lostAt_[nodeId] = scheduler_.now();
  scheduleReport();
}

void Relay::closeNode(base::ConnectionId connection) {
  dropNode(connection);
  network_.close(connection);
  removeConnection(connection);
}

/// Also closes silent connections without a session: a node that is lost between its hello and its subscription sends
/// nothing more and is sent nothing that it could leave unacknowledged, so its endpoints would stay live forever.
void Relay::closeSilentNodes() {
  const auto limit = scheduler_.inputReadUntil() - options_.nodeTimeout;
  std::vector<base::ConnectionId> silent;
  for (const auto& [connection, session] : nodes_.all()) {
    if (session.lastReceivedAt < limit) silent.push_back(connection);
  }
  for (const auto& [connection, since] : unsubscribed_) {
    if (since < limit) silent.push_back(connection);
  }
  for (const auto connection : silent) closeNode(connection);
}

void Relay::redirectAllNodes() {
  constexpr base::Duration kRedirectSpread = base::milliseconds(200);
  std::vector<base::ConnectionId> connections;
  for (const auto& [connection, session] : nodes_.all()) connections.push_back(connection);
  for (const auto connection : connections) {
    sendRetryLater(connection, random_.duration(kRedirectSpread));
    dropNode(connection);
  }
}

void Relay::onNodeTimer() {
  nodeTimer_.start(options_.nodeHeartbeat);
  nodes_.heartbeat(currentHeartbeat(), controllerLinks_.source() != 0);
  nodes_.deliverAll();
  versions_.reportServicesWithoutRollout();
  const auto now = scheduler_.now();
  closeSilentNodes();
  // A relay whose table or releases stall cannot serve changes, so its nodes are redirected to other relays.
  const auto behind = freshness_.laggingSince();
  const bool stalled = behind && now - *behind > options_.stallTimeout;
  bool blocked = false;
  for (const auto& group : options_.releaseGroups) {
    blocked = blocked || (releases_.serves(group.zone) && releases_.released(group.zone) < replica_.revision());
  }
  const bool starting = now - startedAt_ < kStartGrace;
  if (!blocked || starting) fullyReleasedAt_ = now;
  if ((stalled && !starting) || (blocked && now - fullyReleasedAt_ > options_.stallTimeout)) {
    for (const auto& relayId : releases_.peers()) sendHeldRevision(relayId, 0, true);
    redirectAllNodes();
  }
}

}  // namespace driftlug::relay
