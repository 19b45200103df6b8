/// Faults of a run: drawn from the seed, applied at their times, and all healed before the run ends.
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

/// Classes of faults.
enum class FaultClass {
  kCrashController,    ///< a controller crashes and restarts
  kPowerController,    ///< a controller loses power: unsynced data may be lost, peers receive no reset
  kControlOutage,      ///< all controllers lose power at once
  kIsolateController,  ///< a controller is partitioned from all others, and possibly from the relays
  kOneWayController,   ///< a controller can receive from the next one but not send to it
  kWipeController,     ///< a controller's disk is lost; an operator replaces the controller
  kFullDisk,           ///< a controller's disk is full for a while
  kFailingDisk,        ///< a controller's disk fails; the controller restarts later
  kCrashRelay,         ///< a relay crashes and restarts without its state
  kHerdRelays,         ///< all relays crash at once and restart
  kIsolateRelay,       ///< a relay is partitioned from controllers and other relays, not from nodes
  kCrashNode,          ///< a node crashes and restarts, with or without a disk
  kHerdNodes,          ///< all nodes crash at once and restart
  kReconnectStorm,     ///< all connections of the relays are reset at once
  kCutZone,            ///< a zone is partitioned from all others
  kFreeze,             ///< a process is suspended for a while and then resumes
  kStaleRelays,        ///< relays miss an edit; then the relay that has it, the controllers and some nodes crash
  kSlowNetwork,        ///< all latencies increase
  kLossyNetwork,       ///< frames are lost and retransmitted after a delay
};

/// Command-line name of a fault class.
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
  size_t target = 0;    ///< index among the processes of the affected kind
  uint64_t detail = 0;  ///< random bits for the choices that the class leaves open
};

/// Classes, frequency and times of the drawn faults.
struct FaultOptions {
  std::vector<FaultClass> classes;
  base::TimePoint from{};
  base::TimePoint until{};  ///< every fault has healed by then
  base::Duration meanGap = base::seconds(6);
  base::Duration maxFaultDuration = base::seconds(8);
};

/// Draws the faults of a run; some come in pairs at almost the same time.
std::vector<Fault> drawFaults(const FaultOptions& options, base::RandomSource random, const ClusterPlan& plan);

/// Applies faults to a cluster and heals them.
///
/// Invariants: the effects of a fault are undone when it ends. A wiped controller is replaced by an operator, and no
/// second disk is wiped until that replacement is complete.
class FaultInjector {
 public:
  FaultInjector(Cluster& cluster, std::vector<Fault> faults);

  /// Handles a committed edit: triggers the faults that wait for one.
  void onCommit();

  /// Schedules all faults.
  void start();

  /// @return the nodes that were affected by a fault, or restarted, at most `within` ago.
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
  std::map<std::string, base::TimePoint> disturbed_;  // time of the last disturbance, by node
  std::map<std::string, base::TimePoint> heldUntil_;  // processes whose state must not change until then
  std::vector<std::function<void()>> commitActions_;  // run at the next commit
  std::string replacing_;                             // controller being replaced, empty when none
  bool removed_ = false;                              // whether its old identity has been removed from the members
};

}  // namespace driftlug::simulation
