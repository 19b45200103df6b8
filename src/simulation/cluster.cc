#include "simulation/cluster.h"

namespace driftlug::simulation {
namespace {

/// Window after the rename of a snapshot file in which the log is rotated; it spans several syncs of the simulated
/// disk.
constexpr base::Duration kRotationWindow = base::milliseconds(2);
constexpr base::Duration kRotationDowntime = base::seconds(1);  // of a machine that lost power in a rotation

}  // namespace

Machine::Machine(EventQueue& queue, SimulatedNetwork& network, const PlannedProcess& plan, base::Address address,
                 base::RandomSource random, const DiskOptions& disk)
    : queue_(queue),
      network_(network),
      process_(queue, plan.name, plan.placement, std::move(address)),
      random_(random),
      disk_(process_, base::RandomSource(random_.bits()), disk) {}

void Machine::start() {
  if (process_.alive()) return;
  process_.start();
  sockets_ = std::make_unique<ProcessNetwork>(network_, process_);
  onStart();
}

void Machine::crash(bool powerLoss) {
  if (!process_.alive()) return;
  network_.onProcessExit(sockets_.get(), powerLoss);
  process_.kill();
  onStop();
  sockets_.reset();
  if (powerLoss) disk_.crash();
}

ControllerMachine::ControllerMachine(Cluster& cluster, size_t position)
    : Machine(cluster.queue(), cluster.network(), cluster.plan().controllers[position],
              cluster.controllerAddress(position), cluster.newRandom(), cluster.plan().disk),
      cluster_(cluster) {}

void ControllerMachine::onStart() {
  const auto& plan = cluster_.plan();
  controller::ControllerOptions options;
  options.name = name();
  options.zone = process_.placement().zone;
  options.raft = plan.raft;
  options.fullPush = plan.fullPush;
  options.raft.quorumCommit = !cluster_.disabled(Mechanism::kQuorumCommit);
  options.raft.syncBeforeAcknowledge = !cluster_.disabled(Mechanism::kSyncBeforeAcknowledge);
  options.checks.rows = !cluster_.disabled(Mechanism::kReferenceChecks);
  options.checks.revisions = !cluster_.disabled(Mechanism::kEditRevisions);
  options.checks.resends = !cluster_.disabled(Mechanism::kResentEdits);
  for (size_t i = 0; i < plan.controllers.size(); ++i) {
    options.controllers.push_back({plan.controllers[i].name, cluster_.controllerAddress(i), 0});
  }
  controller_ =
      std::make_unique<controller::Controller>(options, process_, base::RandomSource(random_.bits()), *sockets_, disk_);
  controller_->onApplied([this](const wire::LogEntry& entry) {
    cluster_.checker().onApplied(name(), entry, controller_->state().table());
  });
  sockets_->setHandler(controller_.get());
  if (plan.rotationPowerLoss > 0) scheduleRotationPowerLoss(plan.rotationPowerLoss);
  controller_->start([this](const absl::Status& status) {
    if (!status.ok()) return onStartFailed(status);
    ready_ = true;
    network_.listen(sockets_.get());
  });
}

/// The rename gives a snapshot its final name; the log is then replaced in several steps with a sync each.
void ControllerMachine::scheduleRotationPowerLoss(double share) {
  disk_.onRename([this, share] {
    if (!random_.chance(share)) return;
    queue_.after(random_.duration(kRotationWindow), [this, incarnation = process_.incarnation()] {
      if (process_.incarnation() == incarnation) crash(true);
    });
    queue_.after(kRotationDowntime, [this] { start(); });
  });
}

void ControllerMachine::onStartFailed(const absl::Status& status) {
  if (base::errorCodeOf(status) == base::ErrorCode::kStorageCorrupt) {
    cluster_.checker().reportViolation(Guarantee::kAcceptedIsDurable,
                                       name() + " can't recover: " + base::errorText(status));
  }
  // The process exits and its supervisor restarts it.
  constexpr base::Duration kRestartDelay = base::seconds(1);
  queue_.after(base::Duration(0), [this, incarnation = process_.incarnation()] {
    if (process_.incarnation() == incarnation) crash(false);
  });
  queue_.after(kRestartDelay, [this] { start(); });
}

void ControllerMachine::onStop() {
  ready_ = false;
  controller_.reset();
}

RelayMachine::RelayMachine(Cluster& cluster, size_t position)
    : Machine(cluster.queue(), cluster.network(), cluster.plan().relays[position], cluster.relayAddress(position),
              cluster.newRandom(), cluster.plan().disk),
      cluster_(cluster) {}

void RelayMachine::onStart() {
  const auto& plan = cluster_.plan();
  relay::RelayOptions options;
  options.id = name();
  options.zone = process_.placement().zone;
  options.fullPush = plan.fullPush;
  options.releaseQuorum = !cluster_.disabled(Mechanism::kReleaseQuorum);
  options.confirmRestartedNodes = !cluster_.disabled(Mechanism::kConfirmRestartedNodes);
  options.refuseOlderVersions = !cluster_.disabled(Mechanism::kNeverOlder);
  options.reportLag = !cluster_.disabled(Mechanism::kReportedLag);
  for (size_t i = 0; i < plan.controllers.size(); ++i) options.controllers.push_back(cluster_.controllerAddress(i));
  for (size_t i = 0; i < plan.relays.size(); ++i) {
    if (plan.relays[i].name != name()) options.peers.push_back(cluster_.relayAddress(i));
  }
  for (const auto& group : plan.groups) {
    for (const auto& member : group.members) {
      if (member == name()) options.releaseGroups.push_back(group);
    }
  }
  relay_ = std::make_unique<relay::Relay>(options, process_, base::RandomSource(random_.bits()), *sockets_);
  sockets_->setHandler(relay_.get());
  network_.listen(sockets_.get());
  relay_->start();
  process_.onResumed([this] { relay_->onResumed(); });
}

void RelayMachine::onStop() { relay_.reset(); }

NodeMachine::NodeMachine(Cluster& cluster, size_t position)
    : Machine(cluster.queue(), cluster.network(),
              {cluster.plan().nodes[position].name, cluster.plan().nodes[position].placement},
              cluster.nodeAddress(position), cluster.newRandom(), cluster.plan().disk),
      cluster_(cluster),
      plan_(cluster.plan().nodes[position]),
      interest_{plan_.hosts, plan_.services} {}

void NodeMachine::onStart() {
  node::ControlOptions options;
  options.nodeId = name();
  options.zone = process_.placement().zone;
  options.hosts = plan_.hosts;
  options.services = plan_.services;
  options.checks.neverOlder = !cluster_.disabled(Mechanism::kNeverOlder);
  options.checks.digest = !cluster_.disabled(Mechanism::kDigest);
  options.checks.references = !cluster_.disabled(Mechanism::kReferenceChecks);
  for (const auto& group : cluster_.plan().groups) {
    if (group.zone != options.zone) continue;
    for (const auto& member : group.members) {
      options.relays.push_back(cluster_.relayAddress(cluster_.relayPosition(member)));
    }
  }
  // About half of the nodes of a zone prefer its second relay.
  if (options.relays.size() > 1 && random_.chance(0.5)) std::swap(options.relays[0], options.relays[1]);
  control_ = std::make_unique<node::ControlClient>(
      options, process_, base::RandomSource(random_.bits()), *sockets_,
      [this](const routing::RoutingTablePtr&) {
        cluster_.checker().onActivated(name(), interest_, control_->slices());
      },
      nullptr);
  sockets_->setHandler(control_.get());
  control_->start(plan_.hasDisk ? &disk_ : nullptr);
  process_.onResumed([this] { control_->onResumed(); });
}

void NodeMachine::onStop() {
  control_.reset();
  cluster_.checker().onNodeDown(name());
}

Cluster::Cluster(ClusterPlan plan, uint64_t seed)
    : plan_(std::move(plan)),
      random_(seed),
      network_(queue_, base::RandomSource(random_.bits()), plan_.network),
      checker_(queue_) {
  for (size_t i = 0; i < plan_.relays.size(); ++i) relayPositions_[plan_.relays[i].name] = i;
  for (size_t i = 0; i < plan_.controllers.size(); ++i) {
    controllers_.push_back(std::make_unique<ControllerMachine>(*this, i));
  }
  for (size_t i = 0; i < plan_.relays.size(); ++i) relays_.push_back(std::make_unique<RelayMachine>(*this, i));
  for (size_t i = 0; i < plan_.nodes.size(); ++i) nodes_.push_back(std::make_unique<NodeMachine>(*this, i));
  if (!plan_.check) checker_.measureOnly();
  for (const auto& node : nodes_) checker_.watch(node->interest());
}

void Cluster::start() {
  for (auto& machine : controllers_) machine->start();
  for (auto& machine : relays_) machine->start();
  for (auto& machine : nodes_) machine->start();
}

void Cluster::runUntil(base::TimePoint time) {
  base::setLogClock(&queue_);
  while (queue_.runNext(time)) {
  }
  base::setLogClock(nullptr);
}

ControllerMachine* Cluster::leader() {
  ControllerMachine* best = nullptr;
  for (auto& machine : controllers_) {
    if (!machine->running() || !machine->leads()) continue;
    if (best == nullptr || machine->controller()->raft().term() > best->controller()->raft().term()) {
      best = machine.get();
    }
  }
  return best;
}

}  // namespace driftlug::simulation
