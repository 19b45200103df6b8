/// Faults of a run: drawn from the seed, applied in-band at their times, all healed before the run ends.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "simulation/cluster.h"

namespace driftlug::simulation {

/// Classes of faults, by what they hit.
enum class FaultClass {
  kCrashController,    ///< a controller's process dies and returns
  kPowerController,    ///< a controller's machine loses power: unsynced data and resets are lost
  kControlOutage,      ///< all controllers lose power at once
  kIsolateController,  ///< a controller is cut off from all others, and maybe from relays
  kOneWayController,   ///< a controller can send to another or hear it, not both
  kWipeController,     ///< a controller's disk is lost; an operator replaces the controller
  kFullDisk,           ///< a controller's disk fills up for a while
  kFailingDisk,        ///< a controller's disk fails; the process is restarted later
  kCrashRelay,         ///< a relay dies and returns without its state
  kHerdRelays,         ///< all relays die at once and return
  kIsolateRelay,       ///< a relay is cut off from controllers and peers, not from nodes
  kCrashNode,          ///< nodes die and return, with or without a disk
  kHerdNodes,          ///< all nodes die at once and return
  kReconnectStorm,     ///< all connections of the relays break at once
  kCutZone,            ///< a zone loses all others
  kFreeze,             ///< a process stops for a while and goes on as if nothing had happened
  kStaleRelays,        ///< relays miss a change, then those that have it, the controllers and the nodes die
  kSlowNetwork,        ///< all latencies grow
  kLossyNetwork,       ///< frames are lost and sent again late
};

/// What a class is called on the command line.
struct FaultInfo {
  FaultClass kind;
  std::string_view name;
};

/// @return all classes.
const std::vector<FaultInfo>& allFaults();

/// @return the class of that name, or null.
const FaultInfo* findFault(std::string_view name);

/// @return the name of a class.
std::string_view faultName(FaultClass kind);

/// One fault of a run.
struct Fault {
  FaultClass kind;
  base::TimePoint at;
  base::Duration lasts;
  size_t target = 0;    ///< position among the processes of the kind
  uint64_t detail = 0;  ///< draws for what the class leaves open
};

/// How many faults, and when.
struct FaultOptions {
  std::vector<FaultClass> classes;
  base::TimePoint from{};
  base::TimePoint until{};  ///< every fault has healed by then
  base::Duration meanGap = base::seconds(6);
  base::Duration maxFaultDuration = base::seconds(8);
};

/// Draws the faults of a run; some come in pairs at almost the same moment.
std::vector<Fault> drawFaults(const FaultOptions& options, base::RandomSource random, const ClusterPlan& plan);

/// Applies faults to a cluster and heals them.
///
/// Invariant: everything that a fault changed is undone when it ends; a wiped controller is replaced by an operator
/// and no second disk is wiped before that is complete.
class FaultInjector {
 public:
  FaultInjector(Cluster& cluster, std::vector<Fault> faults);

  /// An edit was committed; faults that wait for one strike.
  void onCommit();

  /// Schedules all faults.
  void start();

  /// @return nodes that a fault hit, or that restarted, within the time before now.
  std::set<std::string> disturbedNodes(base::Duration within) const;

 private:
  void apply(const Fault& fault);
  void heal(const Fault& fault);
  void setLastingEffect(const Fault& fault, bool active);
  void breakAllConnections();
  void restartLater(Machine* machine, base::Duration delay);
  void isolate(const Machine& machine, bool cut, uint64_t detail);
  void cutZone(const std::string& zone, bool cut);
  void setCutBothWays(const std::string& left, const std::string& right, bool cut);
  void wipe(const Fault& fault);
  void crashAllControllers(const Fault& fault);
  void beginStaleRelays(const Fault& fault);
  void triggerStaleRelays(const Fault& fault);
  std::vector<Machine*> nodesOf(const std::string& zone);
  void waitForCommit(const Fault& fault, base::Duration delay, std::function<void()> action);
  void stepReplacement();
  bool wipeAllowed();
  void markDisturbed(const std::string& node);
  void markAllDisturbed();
  std::vector<Machine*> allMachines();
  void addNodes(const Fault& fault, std::vector<Machine*>* targets);
  std::vector<Machine*> targetsOf(const Fault& fault);

  Cluster& cluster_;
  std::vector<Fault> faults_;
  std::map<std::string, base::TimePoint> disturbed_;  // by node
  std::map<std::string, base::TimePoint> heldUntil_;  // processes that must stay as they are until then
  std::vector<std::function<void()>> commitActions_;  // strike at the next commit
  std::string replacing_;                             // controller being replaced, empty when none
  bool removed_ = false;                              // whether its old identity has left the members
};

}  // namespace driftlug::simulation
