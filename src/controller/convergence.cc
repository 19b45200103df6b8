#include "controller/convergence.h"

#include <algorithm>

namespace driftlug::controller {
namespace {

/// A relay without contact to a leader for this long has lost its nodes: they detect that it is stale and reconnect
/// to another.
constexpr base::Duration kRelayExpiry = base::seconds(12);
/// Time for which a detached node is still listed as gone.
constexpr base::Duration kGoneNodeRetention = base::seconds(600);

}  // namespace

void ConvergenceTracker::reset() {
  relays_.clear();
  nodes_.clear();
  detached_.clear();
  lostRelays_.clear();
  newRelays_.clear();
  startedAt_ = time_.now();
}

void ConvergenceTracker::setRegistered(const std::set<std::string>& relayIds) {
  for (const auto& relayId : relayIds) {
    if (registered_.count(relayId) == 0) newRelays_.insert(relayId);
  }
  registered_ = relayIds;
}

void ConvergenceTracker::attach(const std::string& nodeId, const std::string& relayId) {
  nodes_[nodeId].insert(relayId);
  detached_.erase(nodeId);
}

void ConvergenceTracker::detach(const std::string& nodeId, const std::string& relayId) {
  const auto node = nodes_.find(nodeId);
  if (node == nodes_.end()) {
    // The node was detached before this controller became leader. It may use an older revision until it reconnects.
    detached_.emplace(nodeId, time_.now());
    return;
  }
  if (node->second.erase(relayId) == 0 || !node->second.empty()) return;
  nodes_.erase(node);
  detached_[nodeId] = time_.now();
}

void ConvergenceTracker::detachAllExcept(const std::set<std::string>& kept, const std::string& relayId) {
  std::vector<std::string> lost;
  for (const auto& [nodeId, relays] : nodes_) {
    if (relays.count(relayId) > 0 && kept.count(nodeId) == 0) lost.push_back(nodeId);
  }
  for (const auto& nodeId : lost) detach(nodeId, relayId);
}

void ConvergenceTracker::onReport(const std::string& relayId, const wire::ConvergenceReport& report) {
  if (relays_.count(relayId) == 0) {
    // A relay that has just started does not know the nodes that its predecessor process lost. If this leader saw the
    // predecessor's connection close, it has recorded these nodes itself.
    const auto lost = lostRelays_.find(relayId);
    auto startedAt = time_.now() - base::milliseconds(report.runningMs);
    if (newRelays_.count(relayId) > 0) startedAt = startedAt_ - lease_;
    relays_[relayId].coverageStart =
        lost == lostRelays_.end() ? startedAt : std::min(startedAt, lost->second.coverageStart);
    lostRelays_.erase(relayId);
  }
  auto& relay = relays_[relayId];
  if (report.full) detachAllExcept({report.attached.begin(), report.attached.end()}, relayId);
  for (const auto& nodeId : report.detached) detach(nodeId, relayId);
  for (const auto& nodeId : report.attached) attach(nodeId, relayId);
  relay.inForceRevision = report.inForceRevision;
  relay.lagging.clear();
  for (const auto& status : report.lagging) relay.lagging[status.nodeId] = status.revision;
}

void ConvergenceTracker::onRelayLost(const std::string& relayId) {
  const auto relay = relays_.find(relayId);
  if (relay == relays_.end()) return;
  lostRelays_[relayId] = {time_.now(), relay->second.coverageStart};
  relays_.erase(relay);
  detachAllExcept({}, relayId);
}

base::TimePoint ConvergenceTracker::inactiveSince(const std::string& relayId) const {
  const auto lost = lostRelays_.find(relayId);
  return lost == lostRelays_.end() ? startedAt_ : lost->second.at;
}

bool ConvergenceTracker::allReported() const {
  return std::all_of(registered_.begin(), registered_.end(), [this](const auto& relayId) {
    const auto relay = relays_.find(relayId);
    if (relay == relays_.end()) return time_.now() - inactiveSince(relayId) >= kRelayExpiry;
    return time_.now() - relay->second.coverageStart >= lease_;
  });
}

std::vector<std::string> ConvergenceTracker::inactiveRelays(base::Duration duration) const {
  std::vector<std::string> inactive;
  for (const auto& relayId : registered_) {
    if (relays_.count(relayId) == 0 && time_.now() - inactiveSince(relayId) >= duration) inactive.push_back(relayId);
  }
  return inactive;
}

int64_t ConvergenceTracker::revisionOf(const std::string& nodeId, const std::set<std::string>& relays) const {
  // If two relays report a connection to a node, one of them is stale: use the lower revision.
  int64_t revision = INT64_MAX;
  for (const auto& relayId : relays) {
    const auto relay = relays_.find(relayId);
    if (relay == relays_.end()) return 0;
    const auto lagging = relay->second.lagging.find(nodeId);
    const bool lags = lagging != relay->second.lagging.end();
    revision = std::min(revision, lags ? lagging->second : relay->second.inForceRevision);
  }
  return revision;
}

ConvergenceView ConvergenceTracker::view(int64_t revision) const {
  ConvergenceView view;
  view.revision = revision;
  view.complete = allReported();
  for (const auto& [nodeId, lostAt] : detached_) {
    if (time_.now() - lostAt >= lease_) {
      ++view.gone;
    } else {
      view.lagging.push_back({nodeId, 0, false});
    }
  }
  for (const auto& [nodeId, relays] : nodes_) {
    const auto current = revisionOf(nodeId, relays);
    if (current >= revision) {
      ++view.inForce;
    } else {
      view.lagging.push_back({nodeId, current, true});
    }
  }
  return view;
}

bool ConvergenceTracker::inForceEverywhere(int64_t revision) const {
  if (!allReported()) return false;
  for (const auto& [relayId, relay] : relays_) {
    if (relay.inForceRevision < revision) return false;
    for (const auto& [nodeId, current] : relay.lagging) {
      if (current < revision) return false;
    }
  }
  return std::all_of(detached_.begin(), detached_.end(),
                     [this](const auto& lost) { return time_.now() - lost.second >= lease_; });
}

void ConvergenceTracker::pruneGoneNodes() {
  std::erase_if(detached_, [this](const auto& lost) { return time_.now() - lost.second >= kGoneNodeRetention; });
}

}  // namespace driftlug::controller
