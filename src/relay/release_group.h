/// Release groups: when a relay may hand a revision to nodes, so that a node that restarts without a disk never
/// gets an older one, even while all controllers are out.
///
/// The nodes of a zone use only the relays of the zone's group. A revision is released to them once
/// writeQuorum() members hold it. A member that restarted counts for nothing until a controller confirmed its
/// table, so readQuorum() recovered members together hold everything that was ever released.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace driftlug::relay {

/// Members of one zone's release group, by relay id.
struct ReleaseGroup {
  std::string zone;
  std::vector<std::string> members;

  /// @return members that must hold a revision before it is released.
  size_t writeQuorum() const { return members.size() < 2 ? members.size() : 2; }

  /// @return recovered members that together hold every released revision.
  size_t readQuorum() const { return members.size() - writeQuorum() + 1; }
};

/// Tracks what the members of this relay's groups hold.
///
/// Invariant: released(zone) never decreases while the relay lives, and never exceeds the own held revision.
class ReleaseTracker {
 public:
  ReleaseTracker(std::string ownId, std::vector<ReleaseGroup> groups);

  /// The own table moved forward.
  void setOwnRevision(int64_t revision);

  /// Another relay said what it holds.
  void onHeldRevision(const std::string& relayId, int64_t revision);

  /// A peer's connection closed; it may have restarted without its table.
  void onPeerDisconnected(const std::string& relayId) { heldRevisions_.erase(relayId); }

  /// @return the newest revision that may be handed to nodes of a zone; 0 for zones this relay does not serve.
  int64_t released(const std::string& zone) const;

  /// @return whether this relay serves nodes of a zone.
  bool serves(const std::string& zone) const { return everyZone_ || groups_.count(zone) > 0; }

  /// Serves the nodes of every zone without a group: what is held is released, and only the leading controller can
  /// prove to a node that restarted that it is recent. For fleets whose relays come and go with the controllers.
  void serveEveryZone() { everyZone_ = true; }

  /// @return relays in any of the own groups, without this one.
  const std::set<std::string>& peers() const { return peers_; }

  /// @return the group of a zone, or null.
  const ReleaseGroup* group(const std::string& zone) const;

  /// Releases everything that is held; only to prove in the simulator that a checker notices.
  void disable() { quorumDisabled_ = true; }

 private:
  void recompute();

  std::string ownId_;
  std::map<std::string, ReleaseGroup> groups_;  // by zone
  std::set<std::string> peers_;
  std::map<std::string, int64_t> heldRevisions_;  // revisions held by other relays, by relay id
  std::map<std::string, int64_t> released_;       // by zone
  int64_t ownRevision_ = 0;
  bool quorumDisabled_ = false;
  bool everyZone_ = false;
};

}  // namespace driftlug::relay
