#include "relay/release_group.h"

#include <algorithm>
#include <functional>

namespace driftlug::relay {

ReleaseTracker::ReleaseTracker(std::string ownId, std::vector<ReleaseGroup> groups) : ownId_(std::move(ownId)) {
  for (auto& group : groups) {
    const bool member = std::find(group.members.begin(), group.members.end(), ownId_) != group.members.end();
    if (!member) continue;
    for (const auto& relayId : group.members) {
      if (relayId != ownId_) peers_.insert(relayId);
    }
    groups_[group.zone] = std::move(group);
  }
}

void ReleaseTracker::setOwnRevision(int64_t revision) {
  ownRevision_ = std::max(ownRevision_, revision);
  recompute();
}

void ReleaseTracker::onHeldRevision(const std::string& relayId, int64_t revision) {
  heldRevisions_[relayId] = revision;
  recompute();
}

void ReleaseTracker::recompute() {
  for (const auto& [zone, group] : groups_) {
    std::vector<int64_t> revisions;
    for (const auto& relayId : group.members) {
      if (relayId == ownId_) {
        revisions.push_back(ownRevision_);
        continue;
      }
      const auto found = heldRevisions_.find(relayId);
      revisions.push_back(found == heldRevisions_.end() ? 0 : found->second);
    }
    std::sort(revisions.begin(), revisions.end(), std::greater<>());
    const int64_t quorum = quorumDisabled_ ? ownRevision_ : revisions[group.writeQuorum() - 1];
    auto& released = released_[zone];
    released = std::max(released, std::min(quorum, ownRevision_));
  }
}

int64_t ReleaseTracker::released(const std::string& zone) const {
  if (everyZone_) return ownRevision_;
  const auto found = released_.find(zone);
  return found == released_.end() ? 0 : found->second;
}

const ReleaseGroup* ReleaseTracker::group(const std::string& zone) const {
  const auto found = groups_.find(zone);
  return found == groups_.end() ? nullptr : &found->second;
}

}  // namespace driftlug::relay
