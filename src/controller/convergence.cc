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
  relayLost_.clear();
  startedAt_ = time_.now();
}

void ConvergenceTracker::detach(const std::string& nodeId, const std::string& relayId) {
  const auto node = nodes_.find(nodeId);
  if (node == nodes_.end()) {
    // Lost before this controller led; it may still serve an older version while it looks for another relay.
    nodes_[nodeId] = {relayId, false, time_.now()};
    return;
  }
  if (!node->second.attached || node->second.relayId != relayId) return;
  node->second.attached = false;
  node->second.lostAt = time_.now();
}

void ConvergenceTracker::onReport(const std::string& relayId, const wire::ConvergenceReport& report) {
  if (relays_.count(relayId) == 0) {
    // A relay that started a moment ago knows nothing of nodes that its predecessor lost. Where this leader saw the
    // predecessor go, it knows them itself.
    const auto lost = relayLost_.find(relayId);
    const auto began = time_.now() - base::milliseconds(report.runningMs);
    relays_[relayId].knowsSince = lost == relayLost_.end() ? began : std::min(began, lost->second.knowsSince);
    relayLost_.erase(relayId);
  }
  auto& relay = relays_[relayId];
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
  const auto relay = relays_.find(relayId);
  if (relay == relays_.end()) return;
  relayLost_[relayId] = {time_.now(), relay->second.knowsSince};
  relays_.erase(relay);
  for (auto& [nodeId, node] : nodes_) {
    if (node.relayId == relayId) detach(nodeId, relayId);
  }
}

base::TimePoint ConvergenceTracker::silentSince(const std::string& relayId) const {
  const auto lost = relayLost_.find(relayId);
  return lost == relayLost_.end() ? startedAt_ : lost->second.at;
}

bool ConvergenceTracker::allReported() const {
  return std::all_of(registered_.begin(), registered_.end(), [this](const auto& relayId) {
    const auto relay = relays_.find(relayId);
    if (relay == relays_.end()) return time_.now() - silentSince(relayId) >= kRelayGone;
    return time_.now() - relay->second.knowsSince >= lease_;
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
