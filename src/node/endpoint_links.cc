#include "node/endpoint_links.h"

#include <algorithm>
#include <utility>

#include "membership/endpoint_directory.h"
#include "rollout/trial_group.h"

namespace driftlug::node {
namespace {

constexpr int kMaxBackoffDoublings = 4;
/// Changes that follow each other within this time, as at a start of the whole fleet, are applied as one batch, since
/// each application is a pass over all endpoints.
constexpr base::Duration kMinBatchDelay = base::milliseconds(20);
/// A pass costs about 1 us per endpoint, so with this delay a node spends less than 1% of its time on passes.
constexpr base::Duration kBatchDelayPerEndpoint = base::microseconds(125);
constexpr base::Duration kMaxBatchDelay = base::milliseconds(250);
/// Larger batches of endpoint states are logged as a count only.
constexpr size_t kMaxStatesLogged = 4;
/// Number of links added at a time to a service whose chosen endpoints are full, and their maximum.
constexpr size_t kExtraLinksStep = 4;
constexpr size_t kMaxExtraLinks = 16;
/// Interval at which links that exceeded maxLinks are tried again.
constexpr base::Duration kLinkLimitRetryInterval = base::seconds(1);
/// How long extra links are kept after they were last needed; outlasts bursts of a few seconds.
constexpr base::Duration kExtraLinksHoldTime = base::seconds(10);
/// Interval at which links with calls in progress are checked.
constexpr base::Duration kLivenessCheckInterval = base::milliseconds(100);
/// An acknowledgement takes a few milliseconds, or more than 200 ms (TCP's minimum retransmission timeout) if a packet
/// was lost.
constexpr base::Duration kSilenceTimeout = base::milliseconds(250);
/// A keep-alive is sent on a link with calls in progress when nothing was received for this long.
constexpr base::Duration kKeepAliveAfter = base::milliseconds(500);
/// The connection of a link is replaced when an acknowledgement is overdue for this long: a connection can be dead
/// without a reset while new ones work, and a node that is only briefly slow responds sooner. If 300 nodes lose one
/// link each, this costs 300 Hello messages of about 200 bytes, once.
constexpr base::Duration kReplaceConnectionAfter = base::seconds(1);
/// A replaced connection stays open for this long for the calls in progress on it; most of them end at their deadline
/// before.
constexpr base::Duration kReplacedConnectionTimeout = base::seconds(30);

const char* conditionName(wire::EndpointCondition::type condition) {
  switch (condition) {
    case wire::EndpointCondition::LIVE:
      return "live";
    case wire::EndpointCondition::DRAINING:
      return "draining";
    case wire::EndpointCondition::GONE:
      return "gone";
  }
  return "unknown";
}

}  // namespace

EndpointLinks::EndpointLinks(LinkOptions options, base::Scheduler& scheduler, base::RandomSource random,
                             base::Network& network, routing::EndpointPicker& picker, LostHandler onLost,
                             SilentHandler onSilent)
    : options_(std::move(options)),
      scheduler_(scheduler),
      random_(random),
      network_(network),
      picker_(picker),
      onLost_(std::move(onLost)),
      onSilent_(std::move(onSilent)),
      subset_(options_.subset, options_.nodeId, options_.zone),
      subsetSize_(options_.subset.endpoints),
      chooseTimer_(scheduler, [this] { applyPendingChanges(); }),
      livenessTimer_(scheduler, [this] { checkLiveness(); }),
      linkLimitLog_("entry", scheduler, base::kOneLinePerSecond) {}

EndpointLinks::~EndpointLinks() { alive_.reset(); }

void EndpointLinks::useTable(const routing::RoutingTablePtr& table) {
  table_ = table;
  rebuildKnownEndpoints();
}

void EndpointLinks::onStates(const std::vector<wire::EndpointState>& states) {
  bool announced = false;
  for (const auto& state : states) {
    const auto known = states_.find(state.endpoint);
    if (known != states_.end() && !membership::supersedes(state, known->second)) continue;
    const bool firstState = known == states_.end();
    const bool newIncarnation = state.condition == wire::EndpointCondition::LIVE &&
                                (firstState || known->second.incarnation != state.incarnation);
    if (known != states_.end()) markChanged(known->second);
    states_[state.endpoint] = state;
    markChanged(state);
    if (states.size() <= kMaxStatesLogged) {
      log_.info("endpoint={} service={} address={}:{} condition={} incarnation={} sequence={}", state.endpoint,
                state.serviceName, state.address, state.port, conditionName(state.condition), state.incarnation,
                state.sequence);
    }
    picker_.setAvailable(state.endpoint, state.condition == wire::EndpointCondition::LIVE);
    announced = announced || !state.address.empty();
    // A connect attempt pending at the first state of an endpoint is recent and is kept: this node has just started.
    if (newIncarnation && !firstState) abortConnectAttempt(state.endpoint);
    if (newIncarnation) reconnectNow(state.endpoint);
  }
  if (states.size() > kMaxStatesLogged) {
    log_.info("{} endpoint states received at once, {} endpoints known", states.size(), states_.size());
  }
  if (announced) scheduleChoice();
}

void EndpointLinks::scheduleChoice() {
  if (chooseTimer_.running()) return;
  const auto batchDelay = std::clamp<base::Duration>(kBatchDelayPerEndpoint * static_cast<int64_t>(states_.size()),
                                                     kMinBatchDelay, kMaxBatchDelay);
  if (lastAppliedAt_ && scheduler_.now() - *lastAppliedAt_ < batchDelay) return chooseTimer_.start(batchDelay);
  applyPendingChanges();
}

void EndpointLinks::applyPendingChanges() {
  lastAppliedAt_ = scheduler_.now();
  auto services = updateChangedEndpoints();
  services.merge(std::exchange(pendingServices_, {}));
  choose(services);
}

size_t EndpointLinks::linksPerService() const {
  return std::max<size_t>(1, options_.maxLinks / std::max<size_t>(1, known_.size()));
}

/// @return whether the number of links per service changed
bool EndpointLinks::resizeSubset() {
  const auto subsetSize = std::min(options_.subset.endpoints, linksPerService());
  if (subsetSize == subsetSize_) return false;
  auto subset = options_.subset;
  subset.maxInOwnZone = std::max<size_t>(1, subset.maxInOwnZone * subsetSize / subset.endpoints);
  subset.endpoints = subsetSize;
  subset_ = subsetting::endpoint_subset(subset, options_.nodeId, options_.zone);
  subsetSize_ = subsetSize;
  log_.warn("linking to {} endpoints of each of {} services, max_links={}", subsetSize, known_.size(),
            options_.maxLinks);
  return true;
}

void EndpointLinks::chooseAll() {
  chosen_.clear();
  chosenByVersion_.clear();
  std::set<std::string> services;
  for (const auto& [service, endpoints] : known_) services.insert(service);
  choose(services);
}

/// @param services those whose endpoints, or whose number of links, may have changed
void EndpointLinks::choose(const std::set<std::string>& services) {
  knownEndpoints_ = 0;
  for (const auto& [service, endpoints] : known_) knownEndpoints_ += endpoints.size();
  if (resizeSubset()) return chooseAll();
  for (const auto& service : services) {
    chosen_.erase(service);
    chosenByVersion_.erase(service);
    const auto known = known_.find(service);
    if (known == known_.end()) continue;
    const auto* policy = table_ ? table_->versions(service) : nullptr;
    if (policy == nullptr) {
      chosen_[service] = chooseFrom(service, known->second);
    } else {
      chooseByVersion(service, known->second, *policy);
    }
  }
  updateLinks();
}

std::vector<routing::EndpointTarget> EndpointLinks::chooseFrom(const std::string& service,
                                                               const std::vector<routing::EndpointTarget>& endpoints) {
  const auto unreachable = [this](const std::string& endpoint) { return isUnreachable(endpoint); };
  return subset_.choose(endpoints, extraLinksFor(service), unreachable);
}

/// Each version of the rollout has a subset of its own, linked before the version gets requests. The target version is
/// also linked to its current trial group. Versions not named by the policy get no links.
void EndpointLinks::chooseByVersion(const std::string& service, const std::vector<routing::EndpointTarget>& endpoints,
                                    const rollout::version_policy& policy) {
  Endpoints known;
  for (const auto& endpoint : endpoints) {
    if (policy.mayGetRequests(endpoint.version)) known[endpoint.version].push_back(endpoint);
  }
  auto& chosen = chosen_[service];
  for (const auto& [version, versionEndpoints] : known) {
    auto linked = chooseFrom(service, versionEndpoints);
    if (!policy.running || version != policy.target || policy.groupSize == 0) {
      chosen.insert(chosen.end(), linked.begin(), linked.end());
      if (policy.running) chosenByVersion_[service][version] = std::move(linked);
      continue;
    }
    std::vector<std::string> names;
    for (const auto& endpoint : versionEndpoints) names.push_back(endpoint.name);
    const auto group = rollout::chooseTrialGroup(std::move(names), policy.groupOffset, policy.groupSize);
    for (const auto& endpoint : versionEndpoints) {
      const bool onTrial = group.count(endpoint.name) > 0;
      const bool isLinked = std::any_of(linked.begin(), linked.end(),
                                        [&](const auto& candidate) { return candidate.name == endpoint.name; });
      if (onTrial) chosenByVersion_[service][version].push_back(endpoint);
      if (onTrial || isLinked) chosen.push_back(endpoint);
    }
  }
}

size_t EndpointLinks::extraLinksFor(const std::string& service) {
  const auto found = extraLinks_.find(service);
  if (found == extraLinks_.end()) return 0;
  if (found->second.until > scheduler_.now()) return std::min(found->second.count, linksPerService() - subsetSize_);
  extraLinks_.erase(found);
  return 0;
}

void EndpointLinks::addExtraLinks(const std::string& service) {
  const auto known = known_.find(service);
  if (known == known_.end() || chosen_[service].size() >= known->second.size()) return;
  auto& extra = extraLinks_[service];
  extra.until = scheduler_.now() + kExtraLinksHoldTime;
  pendingServices_.insert(service);
  if (extra.count >= kMaxExtraLinks || chooseTimer_.running()) return;
  extra.count = std::min(kMaxExtraLinks, extra.count + kExtraLinksStep);
  chooseTimer_.start(kMinBatchDelay);
}

bool EndpointLinks::isUnreachable(const std::string& endpoint) const {
  const auto found = links_.find(endpoint);
  return found != links_.end() && !found->second.open && found->second.failures > 0;
}

const std::vector<routing::EndpointTarget>& EndpointLinks::chosenEndpoints(const std::string& service) const {
  static const std::vector<routing::EndpointTarget> none;
  const auto found = chosen_.find(service);
  return found == chosen_.end() ? none : found->second;
}

const std::vector<routing::EndpointTarget>& EndpointLinks::chosenEndpoints(const std::string& service,
                                                                           const std::string& version) const {
  static const std::vector<routing::EndpointTarget> none;
  const auto found = chosenByVersion_.find(service);
  if (found == chosenByVersion_.end()) return none;
  const auto versionEndpoints = found->second.find(version);
  return versionEndpoints == found->second.end() ? none : versionEndpoints->second;
}

const EndpointLinks::Link& EndpointLinks::link(const std::string& endpoint) const {
  static const Link none;
  const auto found = links_.find(endpoint);
  return found == links_.end() ? none : found->second;
}

void EndpointLinks::updateLinks() {
  std::map<std::string, base::Address> wanted;
  for (const auto& [service, endpoints] : chosen_) {
    for (const auto& endpoint : endpoints) wanted[endpoint.name] = {endpoint.address, endpoint.port};
  }
  std::vector<std::string> toClose;
  for (const auto& [name, link] : links_) {
    const auto found = wanted.find(name);
    const bool moved = found == wanted.end() || !(found->second == link.address);
    const bool busy = link.open && picker_.inFlight(name) > 0 && found == wanted.end();
    if (moved && !busy) toClose.push_back(name);
  }
  for (const auto& name : toClose) closeLink(name);
  addLinks(wanted);
}

void EndpointLinks::addLinks(const std::map<std::string, base::Address>& wanted) {
  size_t skipped = 0;
  for (const auto& [name, address] : wanted) {
    if (links_.count(name) > 0) continue;
    if (links_.size() >= options_.maxLinks) {
      ++skipped;
      continue;
    }
    links_[name].address = address;
    links_[name].lostAt = scheduler_.now();
    connect(name);
  }
  if (skipped == 0) return;
  skippedEndpoints_ += static_cast<int64_t>(skipped);
  linkLimitLog_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("link limit reached, {} endpoints without a link, links={} max_links={}", skipped, links_.size(),
                       options_.maxLinks);
  });
  if (!chooseTimer_.running()) chooseTimer_.start(kLinkLimitRetryInterval);
}

void EndpointLinks::closeLink(const std::string& endpoint) {
  const auto node = links_.extract(endpoint);
  const auto connection = node.mapped().connection;
  picker_.setConnected(endpoint, false);
  if (connection == 0) return;
  endpointOf_.erase(connection);
  onLost_(connection, endpoint);
  network_.close(connection);
}

void EndpointLinks::removeAnnounced(const std::string& endpoint) {
  const auto state = states_.find(endpoint);
  if (state == states_.end() || state->second.address.empty()) return;
  markChanged(state->second);
  states_.erase(state);
  picker_.removeEndpoint(endpoint);
  choose(updateChangedEndpoints());
}

void EndpointLinks::connect(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || found->second.connection != 0) return;
  found->second.connection = network_.connect(found->second.address);
  endpointOf_[found->second.connection] = endpoint;
}

/// Reconnects without waiting for the back-off, which grew while the endpoint's node was down. Waiting for back-offs
/// and for hanging connect attempts left four nodes without a link to any endpoint of a service for up to 2.0 s after
/// the endpoints were announced as live.
void EndpointLinks::reconnectNow(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || found->second.open) return;
  found->second.failures = std::min(found->second.failures, 1);  // still unreachable until it is open
  connect(endpoint);
}

void EndpointLinks::abortConnectAttempt(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || found->second.open || found->second.connection == 0) return;
  const auto attempt = std::exchange(found->second.connection, 0);
  endpointOf_.erase(attempt);
  network_.close(attempt);
}

void EndpointLinks::onOpen(base::ConnectionId connection, const wire::Hello& peer) {
  const auto endpoint = endpointOf_.find(connection);
  if (endpoint == endpointOf_.end()) return;
  auto& link = links_[endpoint->second];
  link.open = true;
  // Bodies for the local back end do not cross the network.
  link.takesBodyPieces = peer.takesBodyPieces && peer.id != options_.nodeId;
  link.supportsWithdrawals = peer.acknowledgesCalls;  // introduced together with acknowledgements
  link.acknowledges = peer.acknowledgesCalls && peer.id != options_.nodeId;
  if (link.failures > 0) pendingServices_.insert(serviceOf(endpoint->second));  // its replacements may be dropped
  link.failures = 0;
  link.lastReceivedAt = scheduler_.now();
  link.unacknowledgedSince.reset();
  link.silent = false;
  picker_.setUnresponsive(endpoint->second, false);
  if (peer.id == options_.nodeId) picker_.setColocated(endpoint->second);
  log_.info("link endpoint={} address={}:{} up", endpoint->second, link.address.host, link.address.port);
  picker_.setConnected(endpoint->second, true);
}

void EndpointLinks::onClose(base::ConnectionId connection) {
  if (dropReplacedConnection(connection)) return;
  const auto found = endpointOf_.find(connection);
  if (found == endpointOf_.end()) return;
  const auto endpoint = found->second;
  endpointOf_.erase(found);
  picker_.setConnected(endpoint, false);
  const int calls = picker_.inFlight(endpoint);
  onLost_(connection, endpoint);
  const auto entry = links_.find(endpoint);
  if (entry == links_.end()) return;
  auto& link = entry->second;
  link.connection = 0;
  if (link.open) {
    link.lostAt = scheduler_.now();
    log_.warn("link endpoint={} lost, {} calls in flight", endpoint, calls);
  }
  link.open = false;
  if (scheduler_.now() - link.lostAt > options_.unreachableFor) return removeAnnounced(endpoint);
  const auto limit = options_.reconnectDelay * (1 << std::min(link.failures, kMaxBackoffDoublings));
  ++link.failures;
  scheduler_.schedule(random_.duration(limit) + base::milliseconds(1),
                      [this, alive = std::weak_ptr<bool>(alive_), endpoint] {
                        if (!alive.expired()) connect(endpoint);
                      });
  if (link.failures > 1) return;
  pendingServices_.insert(serviceOf(endpoint));
  scheduleChoice();  // links to another endpoint instead
}

void EndpointLinks::onSent(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || !found->second.acknowledges) return;
  if (!found->second.unacknowledgedSince) found->second.unacknowledgedSince = scheduler_.now();
  if (!livenessTimer_.running()) scheduleLivenessCheck();
}

void EndpointLinks::scheduleLivenessCheck() { livenessTimer_.start(kLivenessCheckInterval); }

void EndpointLinks::onMessageReceived(base::ConnectionId connection) {
  const auto found = endpointOf_.find(connection);
  if (found == endpointOf_.end()) return;
  auto& link = links_[found->second];
  link.lastReceivedAt = scheduler_.now();
  link.unacknowledgedSince.reset();
  if (!link.silent) return;
  link.silent = false;
  picker_.setUnresponsive(found->second, false);
  log_.info("link endpoint={} responds again", found->second);
}

void EndpointLinks::checkLiveness() {
  std::vector<std::string> checked;
  for (auto& [name, link] : links_) {
    const bool needsCheck = picker_.inFlight(name) > 0 || link.silent;
    if (!link.open || !link.acknowledges || !needsCheck) continue;
    checked.push_back(name);
  }
  for (const auto& name : checked) {
    // Checking one link may close another.
    if (const auto found = links_.find(name); found != links_.end()) checkLinkLiveness(name, &found->second);
  }
  if (!checked.empty()) scheduleLivenessCheck();
}

void EndpointLinks::checkLinkLiveness(const std::string& endpoint, Link* link) {
  const auto readUntil = scheduler_.inputReadUntil();
  if (!link->unacknowledgedSince) {
    if (readUntil - link->lastReceivedAt < kKeepAliveAfter) return;
    link->unacknowledgedSince = scheduler_.now();
    return network_.send(link->connection, wire::encodeFrame(wire::KeepAlive()));
  }
  if (readUntil - *link->unacknowledgedSince >= kReplaceConnectionAfter) return replaceConnection(endpoint, link);
  if (link->silent || readUntil - *link->unacknowledgedSince < kSilenceTimeout) return;
  link->silent = true;
  picker_.setUnresponsive(endpoint, true);
  log_.warn("link endpoint={} is silent, {} calls in progress", endpoint, picker_.inFlight(endpoint));
  onSilent_(link->connection, endpoint);
}

void EndpointLinks::replaceConnection(const std::string& endpoint, Link* link) {
  const auto connection = link->connection;
  const int calls = picker_.inFlight(endpoint);
  log_.warn("link endpoint={} still silent, replacing its connection, {} calls in progress", endpoint, calls);
  endpointOf_.erase(connection);
  link->connection = 0;
  link->open = false;
  link->silent = false;
  link->lostAt = scheduler_.now();
  picker_.setConnected(endpoint, false);
  if (0 == calls) {
    network_.close(connection);
  } else {
    replacedConnections_[connection] = endpoint;
    scheduler_.schedule(kReplacedConnectionTimeout, [this, alive = std::weak_ptr<bool>(alive_), connection] {
      if (!alive.expired() && dropReplacedConnection(connection)) network_.close(connection);
    });
  }
  connect(endpoint);
}

/// Reports a replaced connection as lost, which fails its calls.
/// @return false if the connection is not a replaced one
bool EndpointLinks::dropReplacedConnection(base::ConnectionId connection) {
  const auto replaced = replacedConnections_.extract(connection);
  if (replaced.empty()) return false;
  onLost_(connection, replaced.mapped());
  return true;
}

}  // namespace driftlug::node
