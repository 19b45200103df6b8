#include "node/endpoint_links.h"

#include <algorithm>
#include <utility>

#include "membership/endpoint_directory.h"
#include "rollout/trial_group.h"

namespace driftlug::node {
namespace {

constexpr int kMaxBackoffDoublings = 4;
/// News that come one by one, as at a start of the whole fleet, are taken together when they follow within this time:
/// each costs a pass over all endpoints.
constexpr base::Duration kGatherNews = base::milliseconds(20);
/// Where there are many endpoints, a pass costs about a microsecond for each: a node spends less than a hundredth of
/// its time on passes.
constexpr base::Duration kGatherPerEndpoint = base::microseconds(125);
constexpr base::Duration kLongestGather = base::milliseconds(250);
/// States that come together are logged one by one up to this number.
constexpr size_t kMostStatesLogged = 4;
/// Links added at once to a service whose chosen endpoints are full, and the most that are added.
constexpr size_t kMoreAtOnce = 4;
constexpr size_t kMostMore = 16;
/// Pause after which links that the bound left no room for are tried again.
constexpr base::Duration kRoomInterval = base::seconds(1);
/// How long they stay behind the last sign that they are needed: longer than a burst of some seconds.
constexpr base::Duration kMoreFor = base::seconds(10);
/// Interval at which links with calls in progress are looked at.
constexpr base::Duration kWatchInterval = base::milliseconds(100);
/// An acknowledgement comes within a few milliseconds; one that was lost on the way comes after TCP's least
/// retransmission time of 200 ms.
constexpr base::Duration kSilentAfter = base::milliseconds(250);
/// A link on which calls run is asked for a sign of life when nothing was heard for so long.
constexpr base::Duration kAskAfter = base::milliseconds(500);
/// A link that has been awaited for so long gets another connection: a connection can be lost for good without a reset
/// while new ones work, and a node that was only slow for a moment is heard before. At 300 nodes that lose one link
/// each, a connection costs 300 greetings of some 200 bytes, once.
constexpr base::Duration kReplaceAfter = base::seconds(1);
/// Calls that may not run twice are waited for on the former connection for so long; most have ended at their deadline.
constexpr base::Duration kFormerFor = base::seconds(30);

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
      subsetEndpoints_(options_.subset.endpoints),
      chooseTimer_(scheduler, [this] { takeNews(); }),
      watchTimer_(scheduler, [this] { watch(); }),
      boundLog_("entry", scheduler, base::kOneLinePerSecond) {}

EndpointLinks::~EndpointLinks() { alive_.reset(); }

void EndpointLinks::useTable(const routing::RoutingTablePtr& table) {
  table_ = table;
  collect();
}

void EndpointLinks::onStates(const std::vector<wire::EndpointState>& states) {
  bool announced = false;
  for (const auto& state : states) {
    const auto known = states_.find(state.endpoint);
    if (known != states_.end() && !membership::supersedes(state, known->second)) continue;
    const bool firstWord = known == states_.end();
    const bool starts = state.condition == wire::EndpointCondition::LIVE &&
                        (firstWord || known->second.incarnation != state.incarnation);
    if (known != states_.end()) noteChange(known->second);
    states_[state.endpoint] = state;
    noteChange(state);
    if (states.size() <= kMostStatesLogged) {
      log_.info("endpoint={} service={} address={}:{} condition={} incarnation={} sequence={}", state.endpoint,
                state.serviceName, state.address, state.port, conditionName(state.condition), state.incarnation,
                state.sequence);
    }
    picker_.setAvailable(state.endpoint, state.condition == wire::EndpointCondition::LIVE);
    announced = announced || !state.address.empty();
    // Of what lived before this node started, attempts have just begun: they are not begun twice.
    if (starts && !firstWord) dropAttempt(state.endpoint);
    if (starts) endPause(state.endpoint);
  }
  if (states.size() > kMostStatesLogged) {
    log_.info("{} states of endpoints came together, {} endpoints are known", states.size(), states_.size());
  }
  if (announced) chooseSoon();
}

void EndpointLinks::chooseSoon() {
  if (chooseTimer_.running()) return;
  const auto gather = std::clamp<base::Duration>(kGatherPerEndpoint * static_cast<int64_t>(states_.size()), kGatherNews,
                                                 kLongestGather);
  if (newsAt_ && scheduler_.now() - *newsAt_ < gather) return chooseTimer_.start(gather);
  takeNews();
}

void EndpointLinks::takeNews() {
  newsAt_ = scheduler_.now();
  auto services = collectChanged();
  services.merge(std::exchange(unsettled_, {}));
  choose(services);
}

size_t EndpointLinks::linksPerService() const {
  return std::max<size_t>(1, options_.maxLinks / std::max<size_t>(1, known_.size()));
}

/// @return whether each service gets another number of links than before
bool EndpointLinks::fitSubset() {
  const auto fitting = std::min(options_.subset.endpoints, linksPerService());
  if (fitting == subsetEndpoints_) return false;
  auto subset = options_.subset;
  subset.mostOfOwnZone = std::max<size_t>(1, subset.mostOfOwnZone * fitting / subset.endpoints);
  subset.endpoints = fitting;
  subset_ = subsetting::endpoint_subset(subset, options_.nodeId, options_.zone);
  subsetEndpoints_ = fitting;
  log_.warn("links to {} of each of {} services, max_links={}", fitting, known_.size(), options_.maxLinks);
  return true;
}

void EndpointLinks::chooseAll() {
  chosen_.clear();
  ofVersion_.clear();
  std::set<std::string> services;
  for (const auto& [service, endpoints] : known_) services.insert(service);
  choose(services);
}

/// @param services whose endpoints, or whose need of them, have changed
void EndpointLinks::choose(const std::set<std::string>& services) {
  knownEndpoints_ = 0;
  for (const auto& [service, endpoints] : known_) knownEndpoints_ += endpoints.size();
  if (fitSubset()) return chooseAll();
  for (const auto& service : services) {
    chosen_.erase(service);
    ofVersion_.erase(service);
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
  const auto unreached = [this](const std::string& endpoint) { return outOfReach(endpoint); };
  return subset_.choose(endpoints, moreFor(service), unreached);
}

/// Each version has links to a subset of its own, made before it gets its share, and the one on trial besides to the
/// endpoints whose turn it is. Versions that no row names have none.
void EndpointLinks::chooseByVersion(const std::string& service, const std::vector<routing::EndpointTarget>& endpoints,
                                    const rollout::version_policy& policy) {
  Endpoints known;
  for (const auto& endpoint : endpoints) {
    if (policy.covers(endpoint.version)) known[endpoint.version].push_back(endpoint);
  }
  auto& chosen = chosen_[service];
  for (const auto& [version, ofVersion] : known) {
    auto linked = chooseFrom(service, ofVersion);
    if (!policy.running || version != policy.target || policy.groupSize == 0) {
      chosen.insert(chosen.end(), linked.begin(), linked.end());
      if (policy.running) ofVersion_[service][version] = std::move(linked);
      continue;
    }
    std::vector<std::string> names;
    for (const auto& endpoint : ofVersion) names.push_back(endpoint.name);
    const auto group = rollout::chooseTrialGroup(std::move(names), policy.groupOffset, policy.groupSize);
    for (const auto& endpoint : ofVersion) {
      const bool onTrial = group.count(endpoint.name) > 0;
      const bool among = std::any_of(linked.begin(), linked.end(),
                                     [&](const auto& candidate) { return candidate.name == endpoint.name; });
      if (onTrial) ofVersion_[service][version].push_back(endpoint);
      if (onTrial || among) chosen.push_back(endpoint);
    }
  }
}

size_t EndpointLinks::moreFor(const std::string& service) {
  const auto found = more_.find(service);
  if (found == more_.end()) return 0;
  if (found->second.until > scheduler_.now())
    return std::min(found->second.count, linksPerService() - subsetEndpoints_);
  more_.erase(found);
  return 0;
}

void EndpointLinks::onFull(const std::string& service) {
  const auto known = known_.find(service);
  if (known == known_.end() || chosen_[service].size() >= known->second.size()) return;
  auto& more = more_[service];
  more.until = scheduler_.now() + kMoreFor;
  unsettled_.insert(service);
  if (more.count >= kMostMore || chooseTimer_.running()) return;
  more.count = std::min(kMostMore, more.count + kMoreAtOnce);
  chooseTimer_.start(kGatherNews);
}

bool EndpointLinks::outOfReach(const std::string& endpoint) const {
  const auto found = links_.find(endpoint);
  return found != links_.end() && !found->second.open && found->second.failures > 0;
}

const std::vector<routing::EndpointTarget>& EndpointLinks::of(const std::string& service) const {
  static const std::vector<routing::EndpointTarget> none;
  const auto found = chosen_.find(service);
  return found == chosen_.end() ? none : found->second;
}

const std::vector<routing::EndpointTarget>& EndpointLinks::of(const std::string& service,
                                                              const std::string& version) const {
  static const std::vector<routing::EndpointTarget> none;
  const auto found = ofVersion_.find(service);
  if (found == ofVersion_.end()) return none;
  const auto ofVersion = found->second.find(version);
  return ofVersion == found->second.end() ? none : ofVersion->second;
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
  std::vector<std::string> leaving;
  for (const auto& [name, link] : links_) {
    const auto found = wanted.find(name);
    const bool moved = found == wanted.end() || !(found->second == link.address);
    const bool busy = link.open && picker_.inFlight(name) > 0 && found == wanted.end();
    if (moved && !busy) leaving.push_back(name);
  }
  for (const auto& name : leaving) closeLink(name);
  addLinks(wanted);
}

void EndpointLinks::addLinks(const std::map<std::string, base::Address>& wanted) {
  size_t leftOut = 0;
  for (const auto& [name, address] : wanted) {
    if (links_.count(name) > 0) continue;
    if (links_.size() >= options_.maxLinks) {
      ++leftOut;
      continue;
    }
    links_[name].address = address;
    links_[name].lostAt = scheduler_.now();
    connect(name);
  }
  if (leftOut == 0) return;
  leftOut_ += static_cast<int64_t>(leftOut);
  boundLog_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("no room for links to {} endpoints, links={} max_links={}", leftOut, links_.size(),
                       options_.maxLinks);
  });
  if (!chooseTimer_.running()) chooseTimer_.start(kRoomInterval);
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

void EndpointLinks::forget(const std::string& endpoint) {
  const auto state = states_.find(endpoint);
  if (state == states_.end() || state->second.address.empty()) return;
  noteChange(state->second);
  states_.erase(state);
  picker_.forget(endpoint);
  choose(collectChanged());
}

void EndpointLinks::connect(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || found->second.connection != 0) return;
  found->second.connection = network_.connect(found->second.address);
  endpointOf_[found->second.connection] = endpoint;
}

/// Pauses between attempts, and attempts that hang, are those of the time when the node was away: waiting for them left
/// all endpoints of a service without a link for up to 2.0 s behind their word that they are live (logs of four nodes).
void EndpointLinks::endPause(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || found->second.open) return;
  found->second.failures = std::min(found->second.failures, 1);  // out of reach until it is up
  connect(endpoint);
}

void EndpointLinks::dropAttempt(const std::string& endpoint) {
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
  // Bodies for the back end beside this node cross no link.
  link.takesBodyPieces = peer.takesBodyPieces && peer.id != options_.nodeId;
  link.takesWithdrawals = peer.acknowledgesCalls;  // came with the same version
  link.acknowledges = peer.acknowledgesCalls && peer.id != options_.nodeId;
  if (link.failures > 0) unsettled_.insert(serviceOf(endpoint->second));  // what stands in for it may go
  link.failures = 0;
  link.heardAt = scheduler_.now();
  link.awaitedSince.reset();
  link.silent = false;
  picker_.setSilent(endpoint->second, false);
  if (peer.id == options_.nodeId) picker_.setBeside(endpoint->second);
  log_.info("link endpoint={} address={}:{} up", endpoint->second, link.address.host, link.address.port);
  picker_.setConnected(endpoint->second, true);
}

void EndpointLinks::onClose(base::ConnectionId connection) {
  if (dropFormer(connection)) return;
  const auto found = endpointOf_.find(connection);
  if (found == endpointOf_.end()) return;
  const auto endpoint = found->second;
  endpointOf_.erase(found);
  picker_.setConnected(endpoint, false);
  const int calls = picker_.inFlight(endpoint);
  onLost_(connection, endpoint);
  const auto place = links_.find(endpoint);
  if (place == links_.end()) return;
  auto& link = place->second;
  link.connection = 0;
  if (link.open) {
    link.lostAt = scheduler_.now();
    log_.warn("link endpoint={} lost, {} calls in flight", endpoint, calls);
  }
  link.open = false;
  if (scheduler_.now() - link.lostAt > options_.unreachableFor) return forget(endpoint);
  const auto limit = options_.reconnectDelay * (1 << std::min(link.failures, kMaxBackoffDoublings));
  ++link.failures;
  scheduler_.schedule(random_.duration(limit) + base::milliseconds(1),
                      [this, alive = std::weak_ptr<bool>(alive_), endpoint] {
                        if (!alive.expired()) connect(endpoint);
                      });
  if (link.failures > 1) return;
  unsettled_.insert(serviceOf(endpoint));
  chooseSoon();  // another endpoint stands in for it
}

void EndpointLinks::onSent(const std::string& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end() || !found->second.acknowledges) return;
  if (!found->second.awaitedSince) found->second.awaitedSince = scheduler_.now();
  if (!watchTimer_.running()) watchLater();
}

void EndpointLinks::watchLater() { watchTimer_.start(kWatchInterval); }

void EndpointLinks::onHeard(base::ConnectionId connection) {
  const auto found = endpointOf_.find(connection);
  if (found == endpointOf_.end()) return;
  auto& link = links_[found->second];
  link.heardAt = scheduler_.now();
  link.awaitedSince.reset();
  if (!link.silent) return;
  link.silent = false;
  picker_.setSilent(found->second, false);
  log_.info("link endpoint={} is heard again", found->second);
}

void EndpointLinks::watch() {
  std::vector<std::string> busy;
  for (auto& [name, link] : links_) {
    const bool awaited = picker_.inFlight(name) > 0 || link.silent;
    if (!link.open || !link.acknowledges || !awaited) continue;
    busy.push_back(name);
  }
  for (const auto& name : busy) {
    // What is done for one link may close another.
    if (const auto found = links_.find(name); found != links_.end()) watchLink(name, &found->second);
  }
  if (!busy.empty()) watchLater();
}

void EndpointLinks::watchLink(const std::string& endpoint, Link* link) {
  const auto heardUntil = scheduler_.inputReadUntil();
  if (!link->awaitedSince) {
    if (heardUntil - link->heardAt < kAskAfter) return;
    link->awaitedSince = scheduler_.now();
    return network_.send(link->connection, wire::encodeFrame(wire::KeepAlive()));
  }
  if (heardUntil - *link->awaitedSince >= kReplaceAfter) return replaceConnection(endpoint, link);
  if (link->silent || heardUntil - *link->awaitedSince < kSilentAfter) return;
  link->silent = true;
  picker_.setSilent(endpoint, true);
  log_.warn("link endpoint={} is silent, {} calls in progress", endpoint, picker_.inFlight(endpoint));
  onSilent_(link->connection, endpoint);
}

void EndpointLinks::replaceConnection(const std::string& endpoint, Link* link) {
  const auto connection = link->connection;
  const int calls = picker_.inFlight(endpoint);
  log_.warn("link endpoint={} stays silent and gets another connection, {} calls in progress", endpoint, calls);
  endpointOf_.erase(connection);
  link->connection = 0;
  link->open = false;
  link->silent = false;
  link->lostAt = scheduler_.now();
  picker_.setConnected(endpoint, false);
  if (0 == calls) {
    network_.close(connection);
  } else {
    former_[connection] = endpoint;
    scheduler_.schedule(kFormerFor, [this, alive = std::weak_ptr<bool>(alive_), connection] {
      if (!alive.expired() && dropFormer(connection)) network_.close(connection);
    });
  }
  connect(endpoint);
}

/// @return whether it was a connection that has been replaced; its calls have failed then
bool EndpointLinks::dropFormer(base::ConnectionId connection) {
  const auto former = former_.extract(connection);
  if (former.empty()) return false;
  onLost_(connection, former.mapped());
  return true;
}

}  // namespace driftlug::node
