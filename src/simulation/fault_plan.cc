#include "simulation/fault_plan.h"

#include <algorithm>

namespace driftlug::simulation {
namespace {

constexpr double kPairShare = 0.3;
constexpr base::Duration kPairGap = base::milliseconds(400);
constexpr base::Duration kMinFaultDuration = base::milliseconds(50);
constexpr base::Duration kReplacementStep = base::milliseconds(200);
constexpr base::Duration kRestartSpread = base::milliseconds(300);
constexpr double kSlowFactor = 20;
constexpr double kLossShare = 0.2;

size_t targetsOfClass(FaultClass kind, const ClusterPlan& plan) {
  switch (kind) {
    case FaultClass::kCrashRelay:
    case FaultClass::kIsolateRelay:
      return plan.relays.size();
    case FaultClass::kCrashNode:
      return plan.nodes.size();
    case FaultClass::kFreeze:
      return plan.controllers.size() + plan.relays.size() + plan.nodes.size();
    case FaultClass::kCutZone:
    case FaultClass::kStaleRelays:
      return plan.groups.size();
    default:
      return plan.controllers.size();
  }
}

}  // namespace

const std::vector<FaultInfo>& allFaults() {
  static const std::vector<FaultInfo> kAll = {
      {FaultClass::kCrashController, "crash-controller"},
      {FaultClass::kPowerController, "power-controller"},
      {FaultClass::kControlOutage, "control-outage"},
      {FaultClass::kIsolateController, "isolate-controller"},
      {FaultClass::kOneWayController, "one-way-controller"},
      {FaultClass::kWipeController, "wipe-controller"},
      {FaultClass::kFullDisk, "full-disk"},
      {FaultClass::kFailingDisk, "failing-disk"},
      {FaultClass::kCrashRelay, "crash-relay"},
      {FaultClass::kHerdRelays, "herd-relays"},
      {FaultClass::kIsolateRelay, "isolate-relay"},
      {FaultClass::kCrashNode, "crash-node"},
      {FaultClass::kHerdNodes, "herd-nodes"},
      {FaultClass::kReconnectStorm, "reconnect-storm"},
      {FaultClass::kCutZone, "cut-zone"},
      {FaultClass::kFreeze, "freeze"},
      {FaultClass::kStaleRelays, "stale-relays"},
      {FaultClass::kSlowNetwork, "slow-network"},
      {FaultClass::kLossyNetwork, "lossy-network"},
  };
  return kAll;
}

const FaultInfo* findFault(std::string_view name) {
  for (const auto& info : allFaults()) {
    if (info.name == name) return &info;
  }
  return nullptr;
}

std::string_view faultName(FaultClass kind) {
  for (const auto& info : allFaults()) {
    if (info.kind == kind) return info.name;
  }
  return "unknown";
}

std::vector<Fault> drawFaults(const FaultOptions& options, base::RandomSource random, const ClusterPlan& plan) {
  std::vector<Fault> faults;
  if (options.classes.empty()) return faults;
  const auto draw = [&](base::TimePoint at) {
    if (at + kMinFaultDuration >= options.until) return;
    Fault fault;
    fault.kind = options.classes[random.below(options.classes.size())];
    fault.at = at;
    fault.lasts = std::min(kMinFaultDuration + random.duration(options.maxFaultDuration), options.until - at);
    fault.target = random.below(targetsOfClass(fault.kind, plan));
    fault.detail = random.bits();
    faults.push_back(fault);
  };
  auto at = options.from;
  while (true) {
    at += kMinFaultDuration + random.duration(2 * options.meanGap);
    if (at + kMinFaultDuration >= options.until) break;
    draw(at);
    if (random.chance(kPairShare)) draw(at + random.duration(kPairGap));
  }
  return faults;
}

FaultInjector::FaultInjector(Cluster& cluster, std::vector<Fault> faults)
    : cluster_(cluster), faults_(std::move(faults)) {}

void FaultInjector::start() {
  for (const auto& fault : faults_) {
    cluster_.queue().at(fault.at, [this, fault] { apply(fault); });
    cluster_.queue().at(fault.at + fault.lasts, [this, fault] { heal(fault); });
  }
}

void FaultInjector::markDisturbed(const std::string& node) { disturbed_[node] = cluster_.queue().now(); }

void FaultInjector::markAllDisturbed() {
  for (const auto& machine : cluster_.nodes()) markDisturbed(machine->name());
}

std::set<std::string> FaultInjector::disturbedNodes(base::Duration within) const {
  std::set<std::string> nodes;
  for (const auto& [node, at] : disturbed_) {
    if (cluster_.queue().now() - at <= within) nodes.insert(node);
  }
  return nodes;
}

std::vector<Machine*> FaultInjector::allMachines() {
  std::vector<Machine*> machines;
  for (auto& machine : cluster_.controllers()) machines.push_back(machine.get());
  for (auto& machine : cluster_.relays()) machines.push_back(machine.get());
  for (auto& machine : cluster_.nodes()) machines.push_back(machine.get());
  return machines;
}

/// Adds about half of the nodes, chosen by bits of `fault.detail`: further draws would change the faults of other
/// plans.
void FaultInjector::addNodes(const Fault& fault, std::vector<Machine*>* targets) {
  constexpr size_t kFirstBit = 20;  // the lower bits select power loss and delays
  constexpr size_t kBits = 40;
  for (size_t i = 0; i < cluster_.nodes().size(); ++i) {
    if ((fault.detail >> (kFirstBit + i % kBits)) % 2 != 0) targets->push_back(cluster_.nodes()[i].get());
  }
}

std::vector<Machine*> FaultInjector::targetsOf(const Fault& fault) {
  std::vector<Machine*> targets;
  switch (fault.kind) {
    case FaultClass::kCrashController:
    case FaultClass::kPowerController:
      targets.push_back(cluster_.controllers()[fault.target].get());
      break;
    case FaultClass::kFailingDisk:
    case FaultClass::kFullDisk:
      targets.push_back(cluster_.controllers()[fault.target].get());
      if (cluster_.plan().nodeDiskFaults) addNodes(fault, &targets);
      break;
    case FaultClass::kControlOutage:
    case FaultClass::kStaleRelays:
      for (auto& machine : cluster_.controllers()) targets.push_back(machine.get());
      break;
    case FaultClass::kCrashRelay:
      targets.push_back(cluster_.relays()[fault.target].get());
      break;
    case FaultClass::kHerdRelays:
      for (auto& machine : cluster_.relays()) targets.push_back(machine.get());
      break;
    case FaultClass::kCrashNode:
      targets.push_back(cluster_.nodes()[fault.target].get());
      break;
    case FaultClass::kHerdNodes:
      for (auto& machine : cluster_.nodes()) targets.push_back(machine.get());
      break;
    case FaultClass::kFreeze:
      targets.push_back(allMachines()[fault.target]);
      break;
    default:
      break;
  }
  return targets;
}

void FaultInjector::setCutBothWays(const std::string& left, const std::string& right, bool cut) {
  cluster_.network().setCut(left, right, cut);
  cluster_.network().setCut(right, left, cut);
}

void FaultInjector::isolate(const Machine& machine, bool cut, uint64_t detail) {
  // If `detail` is odd, the relays stay connected and must detect that this controller has no quorum.
  const bool alsoRelays = detail % 2 == 0;
  for (const auto& other : cluster_.controllers()) {
    if (other.get() != &machine) setCutBothWays(machine.name(), other->name(), cut);
  }
  for (const auto& other : cluster_.relays()) {
    if (other.get() != &machine && alsoRelays) setCutBothWays(machine.name(), other->name(), cut);
  }
}

void FaultInjector::cutZone(const std::string& zone, bool cut) {
  const auto machines = allMachines();
  for (auto* inside : machines) {
    if (inside->process().placement().zone != zone) continue;
    for (auto* outside : machines) {
      if (outside->process().placement().zone != zone) setCutBothWays(inside->name(), outside->name(), cut);
    }
  }
}

void FaultInjector::breakAllConnections() {
  for (auto& machine : cluster_.relays()) {
    if (machine->sockets() != nullptr) machine->sockets()->resetAll();
  }
  markAllDisturbed();
}

void FaultInjector::setLastingEffect(const Fault& fault, bool active) {
  auto& network = cluster_.network();
  const auto& controllers = cluster_.controllers();
  switch (fault.kind) {
    case FaultClass::kIsolateController:
      isolate(*controllers[fault.target], active, fault.detail);
      return;
    case FaultClass::kOneWayController:
      network.setCut(controllers[fault.target]->name(), controllers[(fault.target + 1) % controllers.size()]->name(),
                     active);
      return;
    case FaultClass::kIsolateRelay:
      isolate(*cluster_.relays()[fault.target], active, 0);
      break;
    case FaultClass::kCutZone:
      cutZone(cluster_.plan().groups[fault.target].zone, active);
      break;
    case FaultClass::kSlowNetwork:
      network.setLatencyFactor(active ? kSlowFactor : 1);
      break;
    case FaultClass::kLossyNetwork:
      network.setLoss(active ? kLossShare : 0);
      break;
    case FaultClass::kCrashRelay:
    case FaultClass::kHerdRelays:
      break;
    default:
      return;
  }
  // Nodes that depend on the affected processes may lag for a while, when the fault begins and when it ends.
  markAllDisturbed();
}

void FaultInjector::apply(const Fault& fault) {
  constexpr uint64_t kPowerLossOdds = 2;
  const bool drawnPowerLoss = fault.detail % kPowerLossOdds == 0;
  cluster_.network().mixTrace(static_cast<uint64_t>(fault.kind));
  if (fault.kind == FaultClass::kControlOutage) return crashAllControllers(fault);
  if (fault.kind == FaultClass::kStaleRelays) return beginStaleRelays(fault);
  for (auto* machine : targetsOf(fault)) {
    const bool power = fault.kind == FaultClass::kPowerController || fault.kind == FaultClass::kControlOutage ||
                       (fault.kind != FaultClass::kCrashController && drawnPowerLoss);
    if (fault.kind == FaultClass::kFreeze) {
      if (machine->process().alive()) machine->process().setFrozen(true);
    } else if (fault.kind == FaultClass::kFullDisk) {
      machine->disk().setFull(true);
    } else if (fault.kind == FaultClass::kFailingDisk) {
      machine->disk().setFailing(true);
    } else {
      machine->crash(power);
    }
    markDisturbed(machine->name());
  }
  setLastingEffect(fault, true);
  if (fault.kind == FaultClass::kWipeController) wipe(fault);
  if (fault.kind == FaultClass::kReconnectStorm) breakAllConnections();
}

void FaultInjector::waitForCommit(const Fault& fault, base::Duration delay, std::function<void()> action) {
  const auto until = fault.at + fault.lasts;
  commitActions_.push_back([this, delay, until, action = std::move(action)] {
    cluster_.queue().after(delay, [this, until, action] {
      if (cluster_.queue().now() < until) action();
    });
  });
}

void FaultInjector::onCommit() {
  std::vector<std::function<void()>> actions;
  actions.swap(commitActions_);
  for (const auto& action : actions) action();
}

void FaultInjector::crashAllControllers(const Fault& fault) {
  constexpr bool kPowerLoss = true;
  constexpr uint64_t kLongestDelay = 400;  // microseconds after the commit
  const auto crash = [this] {
    for (auto& machine : cluster_.controllers()) machine->crash(kPowerLoss);
  };
  // Half of the outages occur just after an edit was committed, which is the worst case.
  if (fault.detail % 2 == 0) return crash();
  waitForCommit(fault, base::microseconds(static_cast<int64_t>((fault.detail >> 1) % kLongestDelay)), crash);
}

std::vector<Machine*> FaultInjector::nodesOf(const std::string& zone) {
  std::vector<Machine*> nodes;
  for (auto& machine : cluster_.nodes()) {
    if (machine->process().placement().zone == zone) nodes.push_back(machine.get());
  }
  return nodes;
}

void FaultInjector::beginStaleRelays(const Fault& fault) {
  constexpr base::Duration kNodePropagation = base::milliseconds(20);
  markAllDisturbed();
  const auto& group = cluster_.plan().groups[fault.target];
  // The first relay stays connected; one or all of the others miss the edits committed from now on.
  const size_t missing = fault.detail % 2 == 0 ? 1 : group.members.size() - 1;
  for (size_t i = 1; i <= missing && i < group.members.size(); ++i) {
    isolate(*cluster_.relays()[cluster_.relayPosition(group.members[i])], true, 0);
  }
  waitForCommit(fault, kNodePropagation, [this, fault] { triggerStaleRelays(fault); });
}

void FaultInjector::triggerStaleRelays(const Fault& fault) {
  const auto& group = cluster_.plan().groups[fault.target];
  for (auto& machine : cluster_.controllers()) machine->crash(false);
  cluster_.relays()[cluster_.relayPosition(group.members.front())]->crash(true);
  for (size_t i = 1; i < group.members.size(); ++i) {
    isolate(*cluster_.relays()[cluster_.relayPosition(group.members[i])], false, 0);
  }
  // About half of the nodes restart; the others only lose their relay.
  size_t position = 0;
  for (auto* node : nodesOf(group.zone)) {
    if ((fault.detail >> (8 + position++ % 8)) % 2 != 0) continue;
    node->crash(false);
    restartLater(node, base::milliseconds(1));
  }
}

void FaultInjector::heal(const Fault& fault) {
  if (fault.kind == FaultClass::kStaleRelays) {
    const auto& group = cluster_.plan().groups[fault.target];
    for (const auto& member : group.members) {
      isolate(*cluster_.relays()[cluster_.relayPosition(member)], false, 0);
      restartLater(cluster_.relays()[cluster_.relayPosition(member)].get(), base::milliseconds(1));
    }
    markAllDisturbed();
  }
  size_t position = 0;
  for (auto* machine : targetsOf(fault)) {
    markDisturbed(machine->name());
    if (fault.kind == FaultClass::kFreeze) {
      machine->process().setFrozen(false);
      continue;
    }
    if (fault.kind == FaultClass::kFullDisk) {
      machine->disk().setFull(false);
      continue;
    }
    if (fault.kind == FaultClass::kFailingDisk) {
      machine->crash(true);
      machine->disk().setFailing(false);
    }
    // Processes that crashed together restart within kRestartSpread, in an order given by `fault.detail`.
    restartLater(machine, base::Duration(static_cast<int64_t>((fault.detail >> (position++ % 8)) %
                                                              static_cast<uint64_t>(kRestartSpread.count()))));
  }
  setLastingEffect(fault, false);
}

void FaultInjector::restartLater(Machine* machine, base::Duration delay) {
  cluster_.queue().after(delay, [this, machine] {
    machine->start();
    markDisturbed(machine->name());
  });
}

bool FaultInjector::wipeAllowed() {
  if (!replacing_.empty() || cluster_.controllers().size() < 3) return false;
  // All controllers must be voters and no replacement pending: two lost disks of three lose committed data permanently.
  auto* leader = cluster_.leader();
  if (leader == nullptr) return false;
  const auto& raft = leader->controller()->raft();
  size_t voters = 0;
  for (const auto& member : raft.members()) voters += member.voting ? 1 : 0;
  return voters == cluster_.controllers().size() && !raft.forming() && !raft.membershipChangePending();
}

void FaultInjector::wipe(const Fault& fault) {
  auto& machine = cluster_.controllers()[fault.target];
  if (!wipeAllowed()) return;
  machine->crash(true);
  machine->disk().wipe();
  replacing_ = machine->name();
  removed_ = false;
  restartLater(machine.get(), fault.lasts);
  cluster_.queue().after(kReplacementStep, [this] { stepReplacement(); });
}

void FaultInjector::stepReplacement() {
  if (replacing_.empty()) return;
  cluster_.queue().after(kReplacementStep, [this] { stepReplacement(); });
  auto* leader = cluster_.leader();
  if (leader == nullptr || leader->name() == replacing_) return;
  auto* controller = leader->controller();
  const auto& members = controller->raft().members();
  const auto found =
      std::find_if(members.begin(), members.end(), [this](const auto& member) { return member.name == replacing_; });
  if (!removed_) {
    if (found == members.end()) {
      removed_ = !controller->raft().membershipChangePending();
    } else {
      (void)controller->removeController(replacing_);
    }
    return;
  }
  if (found == members.end()) {
    for (size_t i = 0; i < cluster_.controllers().size(); ++i) {
      if (cluster_.controllers()[i]->name() != replacing_) continue;
      (void)controller->addController({replacing_, cluster_.controllerAddress(i), 0});
    }
  } else if (found->voting && !controller->raft().membershipChangePending()) {
    replacing_.clear();
  }
}

}  // namespace driftlug::simulation
