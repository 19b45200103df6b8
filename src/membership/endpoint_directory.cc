#include "membership/endpoint_directory.h"

#include <tuple>

namespace driftlug::membership {

bool supersedes(const wire::EndpointState& candidate, const wire::EndpointState& current) {
  return std::tie(candidate.incarnation, candidate.sequence, candidate.condition) >
         std::tie(current.incarnation, current.sequence, current.condition);
}

bool EndpointDirectory::update(const wire::EndpointState& state, const Origin& origin) {
  const auto found = entries_.find(state.endpoint);
  if (found != entries_.end() && !supersedes(state, found->second.state)) return false;
  if (found != entries_.end() && found->second.state.serviceName != state.serviceName) {
    byService_[found->second.state.serviceName].erase(state.endpoint);
  }
  entries_[state.endpoint] = {state, origin};
  byService_[state.serviceName].insert(state.endpoint);
  if (!state.address.empty()) announced_.insert(state.serviceName);
  return true;
}

std::vector<wire::EndpointState> EndpointDirectory::expire(const Origin& origin) {
  std::vector<wire::EndpointState> changed;
  for (auto& [endpoint, entry] : entries_) {
    if (entry.origin != origin || entry.state.condition == wire::EndpointCondition::GONE) continue;
    entry.state.condition = wire::EndpointCondition::GONE;
    changed.push_back(entry.state);
  }
  return changed;
}

wire::EndpointCondition::type EndpointDirectory::conditionOf(const std::string& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() ? wire::EndpointCondition::LIVE : found->second.state.condition;
}

void EndpointDirectory::visit(const std::function<void(const wire::EndpointState&)>& visitor) const {
  for (const auto& [endpoint, entry] : entries_) visitor(entry.state);
}

std::vector<std::string> EndpointDirectory::announcedServices() const { return {announced_.begin(), announced_.end()}; }

std::vector<wire::EndpointState> EndpointDirectory::ofService(const std::string& service) const {
  std::vector<wire::EndpointState> states;
  const auto found = byService_.find(service);
  if (found == byService_.end()) return states;
  for (const auto& endpoint : found->second) states.push_back(entries_.at(endpoint).state);
  return states;
}

std::vector<wire::EndpointState> EndpointDirectory::ofOrigin(const Origin& origin) const {
  std::vector<wire::EndpointState> states;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.origin == origin) states.push_back(entry.state);
  }
  return states;
}

}  // namespace driftlug::membership
