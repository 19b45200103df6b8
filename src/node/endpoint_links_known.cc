/// Known endpoints, from the routing table and from states announced by relays.
#include <algorithm>
#include <utility>

#include "node/endpoint_links.h"
#include "node/endpoint_name.h"

namespace driftlug::node {
namespace {

/// Names are unique to a start of a back end, so only those that can still be announced matter.
constexpr size_t kMaxLeaving = 4096;

}  // namespace

bool EndpointLinks::isKnown(const wire::EndpointState& state) const {
  const bool gone = state.address.empty() || state.condition == wire::EndpointCondition::GONE;
  return !gone && !isLeaving(state.endpoint) && !(table_ && table_->evacuated(state.zone));
}

bool EndpointLinks::isAnnounced(const std::string& service, std::string_view backend) const {
  return std::any_of(states_.begin(), states_.end(), [&](const auto& item) {
    const auto& [endpoint, state] = item;
    return state.serviceName == service && !state.address.empty() && backendNameOf(endpoint) == backend;
  });
}

bool EndpointLinks::isAnnouncedAt(const base::Address& address) const {
  return std::any_of(states_.begin(), states_.end(), [&](const auto& item) {
    return item.second.address == address.host && item.second.port == address.port;
  });
}

void EndpointLinks::markLeaving(const std::string& endpoint) {
  if (!leaving_.insert(endpoint).second) return;
  leavingByAge_.push_back(endpoint);
  if (leavingByAge_.size() > kMaxLeaving) {
    leaving_.erase(leavingByAge_.front());
    leavingByAge_.pop_front();
  }
  log_.info("endpoint={} service={} is leaving, as its back end says", endpoint, serviceOf(endpoint));
  const auto state = states_.find(endpoint);
  if (state == states_.end()) return;
  markChanged(state->second);
  choose(updateChangedEndpoints());
}

void EndpointLinks::rebuildKnownEndpoints() {
  changedEndpoints_.clear();
  known_.clear();
  if (table_) known_ = table_->endpointsByService();
  for (auto& [service, endpoints] : known_) {
    std::erase_if(endpoints, [this](const auto& endpoint) { return table_->evacuated(endpoint.zone); });
  }
  for (const auto& [name, state] : states_) {
    if (isKnown(state)) addKnown(state);
  }
  chooseAll();
}

void EndpointLinks::markChanged(const wire::EndpointState& state) {
  if (!state.address.empty()) changedEndpoints_[state.endpoint] = state.serviceName;
}

/// Updates known_ incrementally: with a thousand endpoints, a full pass for each state change would cost a node
/// more than its calls.
/// @return the services whose endpoints changed
std::set<std::string> EndpointLinks::updateChangedEndpoints() {
  std::set<std::string> services;
  for (const auto& [endpoint, service] : std::exchange(changedEndpoints_, {})) {
    removeKnown(service, endpoint);
    services.insert(service);
    const auto state = states_.find(endpoint);
    if (state == states_.end() || !isKnown(state->second)) continue;
    removeKnown(state->second.serviceName, endpoint);
    addKnown(state->second);
    services.insert(state->second.serviceName);
  }
  return services;
}

void EndpointLinks::removeKnown(const std::string& service, const std::string& endpoint) {
  const auto found = known_.find(service);
  if (found == known_.end()) return;
  std::erase_if(found->second, [&](const auto& known) { return known.name == endpoint; });
  if (found->second.empty()) known_.erase(found);
}

/// Keeps endpoints sorted by name, so that the choice does not depend on the order in which states arrive.
void EndpointLinks::addKnown(const wire::EndpointState& state) {
  auto& known = known_[state.serviceName];
  const auto position = std::lower_bound(known.begin(), known.end(), state.endpoint,
                                         [](const auto& target, const auto& name) { return target.name < name; });
  known.insert(position, {state.endpoint, state.address, state.port, state.zone, routing::kFullWeight, state.slots,
                          state.version});
}

std::string EndpointLinks::serviceOf(const std::string& endpoint) const {
  const auto state = states_.find(endpoint);
  if (state != states_.end()) return state->second.serviceName;
  for (const auto& [service, endpoints] : known_) {
    const auto same = [&](const auto& known) { return known.name == endpoint; };
    if (std::any_of(endpoints.begin(), endpoints.end(), same)) return service;
  }
  return "";
}

}  // namespace driftlug::node
