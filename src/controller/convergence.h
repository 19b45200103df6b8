/// Convergence: which nodes have which revision in force, from the reports of relays.
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

/// What is known of one revision.
struct ConvergenceView {
  int64_t revision = 0;
  size_t inForce = 0;
  std::vector<LaggingNode> lagging;
  size_t gone = 0;        ///< nodes without a relay for longer than the lease; they don't count
  bool complete = false;  ///< whether all registered relays reported, or were silent until their nodes left them
  bool everywhere() const { return complete && lagging.empty(); }
};

/// Soft state of the leading controller, rebuilt from full reports after a change of leader.
///
/// Invariant: a node counts as in force only by a relay's word that covers the revision; a node whose relay was
/// lost counts as lagging until another relay reports it or its lease ends.
class ConvergenceTracker {
 public:
  ConvergenceTracker(const base::TimeSource& time, base::Duration lease) : time_(time), lease_(lease) {}

  /// Forgets everything, and waits for relays to report anew.
  void reset();

  /// Sets the relays that must report before anything is known to be everywhere. One that is new while this
  /// controller leads has no predecessor whose nodes could be missing.
  void setRegistered(const std::set<std::string>& relayIds);

  /// A relay's report arrived.
  void onReport(const std::string& relayId, const wire::ConvergenceReport& report);

  /// A relay's connection closed.
  void onRelayLost(const std::string& relayId);

  /// @return the state of a revision.
  ConvergenceView view(int64_t revision) const;

  /// @return whether view(revision) would be everywhere(), without looking at every node.
  bool inForceEverywhere(int64_t revision) const;

  /// Drops nodes that have been gone for long; called now and then.
  void pruneGoneNodes();

  /// @return nodes that a relay holds a connection to.
  size_t attachedNodes() const { return nodes_.size(); }

  /// @return registered relays that have not reported to this leader, or were lost, for longer than a duration.
  std::vector<std::string> silentRelays(base::Duration duration) const;

 private:
  struct Relay {
    base::TimePoint coverageStart{};  // before this time nodes may have been lost that it does not know of
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
  std::set<std::string> newRelays_;             // registered for the first time since startedAt_
  std::map<std::string, LostRelay> relayLost_;  // relays whose connection closed in this term
  std::map<std::string, Relay> relays_;
  std::map<std::string, std::set<std::string>> nodes_;  // attached nodes, with the relays that say so
  std::map<std::string, base::TimePoint> detached_;     // nodes that no relay holds any more, with when that began
};

}  // namespace driftlug::controller
