/// Runs a complete deployment on the virtual clock: the real controllers, relays and nodes on simulated machines.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "controller/controller.h"
#include "node/control_client.h"
#include "relay/relay.h"
#include "simulation/invariants.h"
#include "simulation/mechanisms.h"
#include "simulation/simulated_disk.h"
#include "simulation/simulated_network.h"

namespace driftlug::simulation {

/// Name and placement of a controller or relay in a cluster plan.
struct PlannedProcess {
  std::string name;
  Placement placement;
};

/// Name, placement and interests of a node in a cluster plan.
struct PlannedNode {
  std::string name;
  Placement placement;
  std::vector<std::string> hosts;     ///< hosts that it accepts calls for
  std::vector<std::string> services;  ///< services that it is the local proxy of
  bool hasDisk = false;
};

/// Describes a cluster: processes, initial table, options and disabled mechanisms.
struct ClusterPlan {
  std::vector<PlannedProcess> controllers;
  std::vector<PlannedProcess> relays;
  std::vector<PlannedNode> nodes;
  std::vector<relay::ReleaseGroup> groups;  ///< one per zone, with the zone's own relays first
  std::vector<wire::Mutation> table;        ///< initial rows
  NetworkOptions network;
  DiskOptions disk;
  consensus::RaftOptions raft;
  MechanismSet disabled;
  bool fullPush = false;  ///< send the full state with each update; baseline for experiments
  bool check = true;      ///< whether invariants are checked; off in scale runs
  /// Share of the log replacements after a snapshot during which the controller loses power.
  double rotationPowerLoss = 0;
  bool nodeDiskFaults = false;  ///< whether disk faults of a controller also affect about half of the nodes
};

/// A machine that runs one process and may have a disk.
class Machine {
 public:
  Machine(EventQueue& queue, SimulatedNetwork& network, const PlannedProcess& plan, base::Address address,
          base::RandomSource random, const DiskOptions& disk);
  virtual ~Machine() = default;

  /// Starts a new incarnation of the process.
  void start();

  /// Ends the process.
  /// @param powerLoss whether unsynced data may be lost and peers receive no reset
  void crash(bool powerLoss);

  Process& process() { return process_; }
  SimulatedDisk& disk() { return disk_; }
  ProcessNetwork* sockets() { return sockets_.get(); }
  const std::string& name() const { return process_.name(); }
  bool running() const { return process_.alive() && !process_.frozen(); }

 protected:
  virtual void onStart() = 0;
  virtual void onStop() = 0;

  EventQueue& queue_;
  SimulatedNetwork& network_;
  Process process_;
  base::RandomSource random_;
  SimulatedDisk disk_;
  std::unique_ptr<ProcessNetwork> sockets_;  // of the running incarnation, else null
};

class Cluster;

class ControllerMachine : public Machine {
 public:
  ControllerMachine(Cluster& cluster, size_t position);

  /// @return the controller once it has recovered, else null.
  controller::Controller* controller() { return ready_ ? controller_.get() : nullptr; }

  /// @return whether it has recovered and its Raft role is leader.
  bool leads() const { return ready_ && controller_->raft().role() == consensus::RaftRole::kLeader; }

 protected:
  void onStart() override;
  void onStop() override;

 private:
  void onStartFailed(const absl::Status& status);
  void scheduleRotationPowerLoss(double share);

  Cluster& cluster_;
  std::unique_ptr<controller::Controller> controller_;
  bool ready_ = false;
};

class RelayMachine : public Machine {
 public:
  RelayMachine(Cluster& cluster, size_t position);
  relay::Relay* relay() { return relay_.get(); }

 protected:
  void onStart() override;
  void onStop() override;

 private:
  Cluster& cluster_;
  std::unique_ptr<relay::Relay> relay_;
};

class NodeMachine : public Machine {
 public:
  NodeMachine(Cluster& cluster, size_t position);
  node::ControlClient* control() { return control_.get(); }
  const table::Interest& interest() const { return interest_; }

 protected:
  void onStart() override;
  void onStop() override;

 private:
  Cluster& cluster_;
  const PlannedNode& plan_;
  table::Interest interest_;
  std::unique_ptr<node::ControlClient> control_;
};

/// Owns the clock, the network, the invariant checker and all machines.
class Cluster {
 public:
  Cluster(ClusterPlan plan, uint64_t seed);

  /// Starts all processes.
  void start();

  /// Runs events up to a point in time.
  void runUntil(base::TimePoint time);

  /// @return the running leader with the highest term, or null.
  ControllerMachine* leader();

  EventQueue& queue() { return queue_; }
  SimulatedNetwork& network() { return network_; }
  InvariantChecker& checker() { return checker_; }
  const ClusterPlan& plan() const { return plan_; }
  bool disabled(Mechanism mechanism) const { return plan_.disabled.count(mechanism) > 0; }
  base::RandomSource newRandom() { return base::RandomSource(random_.bits()); }

  std::vector<std::unique_ptr<ControllerMachine>>& controllers() { return controllers_; }
  std::vector<std::unique_ptr<RelayMachine>>& relays() { return relays_; }
  std::vector<std::unique_ptr<NodeMachine>>& nodes() { return nodes_; }

  base::Address controllerAddress(size_t position) const { return {"controller", static_cast<int>(position) + 1}; }
  base::Address relayAddress(size_t position) const { return {"relay", static_cast<int>(position) + 1}; }
  base::Address nodeAddress(size_t position) const { return {"10.0.0.1", static_cast<int>(position) + 1}; }
  size_t relayPosition(const std::string& name) const { return relayPositions_.at(name); }

 private:
  ClusterPlan plan_;
  base::RandomSource random_;
  EventQueue queue_;
  SimulatedNetwork network_;
  InvariantChecker checker_;
  std::map<std::string, size_t> relayPositions_;
  std::vector<std::unique_ptr<ControllerMachine>> controllers_;
  std::vector<std::unique_ptr<RelayMachine>> relays_;
  std::vector<std::unique_ptr<NodeMachine>> nodes_;
};

}  // namespace driftlug::simulation
