/// Release groups decide when a relay may serve a revision to nodes, so that a node that restarts without a disk never
/// receives an older one, even while all controllers are unavailable.
///
/// The nodes of a zone use only the relays of the zone's group. A revision is released to them once
/// writeQuorum() members hold it. A restarted member does not count towards the read quorum until a controller has
/// confirmed its table, so readQuorum() recovered members together hold every revision that was ever released.
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

/// Tracks the revisions that the members of this relay's groups hold.
///
/// Invariant: released(zone) never decreases while the process runs, and never exceeds this relay's own revision.
class ReleaseTracker {
 public:
  ReleaseTracker(std::string ownId, std::vector<ReleaseGroup> groups);

  /// Sets the revision of this relay's own table; an older one is ignored.
  void setOwnRevision(int64_t revision);

  /// Sets the revision that another relay reported to hold.
  void onHeldRevision(const std::string& relayId, int64_t revision);

  /// Discards the revision of a peer whose connection closed: it may have restarted without its table.
  void onPeerDisconnected(const std::string& relayId) { heldRevisions_.erase(relayId); }

  /// @return the newest revision that may be served to nodes of a zone; 0 for zones that this relay does not serve.
  int64_t released(const std::string& zone) const;

  /// @return whether this relay serves nodes of a zone.
  bool serves(const std::string& zone) const { return everyZone_ || groups_.count(zone) > 0; }

  /// Serves the nodes of every zone without a release group: every held revision is released, and only the leading
  /// controller can confirm that the table is recent for a restarted node. Used in fleets whose relays are added and
  /// removed together with the controllers.
  void serveEveryZone() { everyZone_ = true; }

  /// @return the other members of this relay's groups.
  const std::set<std::string>& peers() const { return peers_; }

  /// @return the group of a zone, or null.
  const ReleaseGroup* group(const std::string& zone) const;

  /// Releases every held revision without a quorum; only for the simulator, to verify that its checker detects it.
  void disableQuorum() { quorumDisabled_ = true; }

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
