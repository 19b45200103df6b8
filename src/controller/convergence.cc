#include "controller/convergence.h"

#include <algorithm>

namespace driftlug::controller {
namespace {

/// After this time without a leader's word a relay has lost its nodes: they notice that it is stale, and leave.
constexpr base::Duration kRelayGone = base::seconds(12);
constexpr size_t kMaxListedNodes = 100'000;

}  // namespace

void ConvergenceTracker::reset() {
  relays_.clear();
  nodes_.clear();
  relayLostAt_.clear();
  startedAt_ = time_.now();
}

void ConvergenceTracker::detach(const std::string& nodeId, const std::string& relayId) {
  const auto node = nodes_.find(nodeId);
  if (node == nodes_.end() || !node->second.attached || node->second.relayId != relayId) return;
  node->second.attached = false;
  node->second.lostAt = time_.now();
}

void ConvergenceTracker::onReport(const std::string& relayId, const wire::ConvergenceReport& report) {
  auto& relay = relays_[relayId];
  relayLostAt_.erase(relayId);
  if (report.full) {
    std::set<std::string> listed(report.attached.begin(), report.attached.end());
    for (auto& [nodeId, node] : nodes_) {
      if (node.relayId == relayId && listed.count(nodeId) == 0) detach(nodeId, relayId);
    }
  }
  for (const auto& nodeId : report.detached) detach(nodeId, relayId);
  for (const auto& nodeId : report.attached) nodes_[nodeId] = {relayId, true, {}};
  relay.inForceRevision = report.inForceRevision;
  relay.lagging.clear();
  for (const auto& status : report.lagging) relay.lagging[status.nodeId] = status.revision;
}

void ConvergenceTracker::onRelayLost(const std::string& relayId) {
  relays_.erase(relayId);
  relayLostAt_[relayId] = time_.now();
  for (auto& [nodeId, node] : nodes_) {
    if (node.relayId == relayId) detach(nodeId, relayId);
  }
}

base::TimePoint ConvergenceTracker::silentSince(const std::string& relayId) const {
  const auto lost = relayLostAt_.find(relayId);
  return lost == relayLostAt_.end() ? startedAt_ : lost->second;
}

bool ConvergenceTracker::allReported() const {
  return std::all_of(registered_.begin(), registered_.end(), [this](const auto& relayId) {
    return relays_.count(relayId) > 0 || time_.now() - silentSince(relayId) >= kRelayGone;
  });
}

std::vector<std::string> ConvergenceTracker::silentRelays(base::Duration duration) const {
  std::vector<std::string> silent;
  for (const auto& relayId : registered_) {
    if (relays_.count(relayId) == 0 && time_.now() - silentSince(relayId) >= duration) silent.push_back(relayId);
  }
  return silent;
}

ConvergenceView ConvergenceTracker::view(int64_t revision) const {
  ConvergenceView view;
  view.revision = revision;
  const auto now = time_.now();
  view.complete = allReported();
  for (const auto& [nodeId, node] : nodes_) {
    if (!node.attached) {
      if (now - node.lostAt >= lease_) {
        ++view.gone;
      } else if (view.lagging.size() < kMaxListedNodes) {
        view.lagging.push_back({nodeId, 0, false});
      }
      continue;
    }
    const auto relay = relays_.find(node.relayId);
    if (relay == relays_.end()) {
      view.lagging.push_back({nodeId, 0, true});
      continue;
    }
    const auto lagging = relay->second.lagging.find(nodeId);
    const int64_t current = lagging != relay->second.lagging.end() ? lagging->second : relay->second.inForceRevision;
    if (current >= revision) {
      ++view.inForce;
    } else {
      view.lagging.push_back({nodeId, current, true});
    }
  }
  return view;
}

size_t ConvergenceTracker::attachedNodes() const {
  size_t count = 0;
  for (const auto& [nodeId, node] : nodes_) count += node.attached ? 1 : 0;
  return count;
}

}  // namespace driftlug::controller
