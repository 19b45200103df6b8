/// Convergence: tracks which nodes have which revision in force, from the reports of relays.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

/// A node that does not have a revision in force.
struct LaggingNode {
  std::string nodeId;
  int64_t revision = 0;   ///< 0 when unknown
  bool attached = false;  ///< whether a relay holds a connection to it now
};

/// Convergence state of one revision.
struct ConvergenceView {
  int64_t revision = 0;
  size_t inForce = 0;
  std::vector<LaggingNode> lagging;
  size_t gone = 0;        ///< nodes detached from all relays for longer than the lease; not required for convergence
  bool complete = false;  ///< whether every registered relay has reported, or was inactive until its nodes left it
  bool everywhere() const { return complete && lagging.empty(); }
};

/// Convergence of all nodes; soft state of the leader, rebuilt from full reports after a change of leader.
///
/// Invariant: a node counts as in force only if a relay reported the revision for it; a node whose relay connection was
/// lost counts as lagging until another relay reports it or its lease ends.
class ConvergenceTracker {
 public:
  ConvergenceTracker(const base::TimeSource& time, base::Duration lease) : time_(time), lease_(lease) {}

  /// Clears the state; all registered relays must report again.
  void reset();

  /// Sets the relays that must report before a revision can be in force everywhere. A relay registered for the first
  /// time while this controller leads has no predecessor process, so it knows all of its nodes.
  void setRegistered(const std::set<std::string>& relayIds);

  /// Applies a relay's report.
  void onReport(const std::string& relayId, const wire::ConvergenceReport& report);

  /// Handles the close of a relay's connection: its nodes count as detached.
  void onRelayLost(const std::string& relayId);

  /// @return the convergence state of a revision.
  ConvergenceView view(int64_t revision) const;

  /// @return whether view(revision).everywhere() is true, without iterating over all nodes.
  bool inForceEverywhere(int64_t revision) const;

  /// Drops nodes that have been detached for ten minutes; called periodically.
  void pruneGoneNodes();

  /// @return the number of nodes that at least one relay holds a connection to.
  size_t attachedNodes() const { return nodes_.size(); }

  /// @return the registered relays that for at least the given duration had no connection on which they reported to
  /// this leader.
  std::vector<std::string> inactiveRelays(base::Duration duration) const;

 private:
  struct Relay {
    base::TimePoint coverageStart{};  // nodes detached before this time may be unknown to the relay
    int64_t inForceRevision = 0;
    std::map<std::string, int64_t> lagging;
  };

  struct LostRelay {
    base::TimePoint at;
    base::TimePoint coverageStart;
  };

  bool allReported() const;
  base::TimePoint inactiveSince(const std::string& relayId) const;
  void attach(const std::string& nodeId, const std::string& relayId);
  void detach(const std::string& nodeId, const std::string& relayId);
  void detachAllExcept(const std::set<std::string>& kept, const std::string& relayId);
  int64_t revisionOf(const std::string& nodeId, const std::set<std::string>& relays) const;

  const base::TimeSource& time_;
  base::Duration lease_;
  base::TimePoint startedAt_{};
  std::set<std::string> registered_;
  std::set<std::string> newRelays_;              // registered for the first time since startedAt_
  std::map<std::string, LostRelay> lostRelays_;  // relays whose connection closed in this term
  std::map<std::string, Relay> relays_;
  std::map<std::string, std::set<std::string>> nodes_;  // attached nodes, with the relays that report them
  std::map<std::string, base::TimePoint> detached_;     // nodes without a relay, with the time of detachment
};

}  // namespace driftlug::controller
