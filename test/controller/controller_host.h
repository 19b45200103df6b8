/// Test host for a controller in the simulator.
#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "controller/controller.h"
#include "simulation/simulated_disk.h"
#include "simulation/simulated_network.h"

namespace driftlug::test {

using controller::Controller;
using controller::ControllerOptions;
using simulation::EventQueue;
using simulation::Process;
using simulation::ProcessNetwork;
using simulation::SimulatedDisk;
using simulation::SimulatedNetwork;

constexpr int kPort = 7000;
constexpr int kHttpPort = 8000;

/// A simulated machine with one controller that discovers the cluster through seeds.
class Host {
 public:
  Host(EventQueue& queue, SimulatedNetwork& network, const std::string& ip, const std::string& zone, uint64_t seed)
      : network_(network),
        process_(queue, ip, {zone, "region"}, {ip, kPort}),
        random_(seed),
        disk_(std::make_unique<SimulatedDisk>(process_, base::RandomSource(seed), simulation::DiskOptions{})) {}

  void start(const std::vector<std::string>& seeds, bool mayBootstrap, size_t minVoters = 3) {
    process_.start();
    sockets_ = std::make_unique<ProcessNetwork>(network_, process_);
    ControllerOptions options;
    options.name = process_.name();
    options.zone = process_.placement().zone;
    options.mayBootstrap = mayBootstrap;
    options.membership.automatic = true;
    options.membership.minVoters = minVoters;
    options.membership.replaceAfter = base::seconds(5);
    options.self = {process_.name(), {process_.name(), kPort}, kHttpPort};
    for (const auto& seed : seeds) options.controllers.push_back({seed, {seed, kPort}, kHttpPort});
    controller_ =
        std::make_unique<Controller>(options, process_, base::RandomSource(random_.bits()), *sockets_, *disk_);
    sockets_->setHandler(controller_.get());
    controller_->start([this](const absl::Status& status) {
      REQUIRE(status.ok());
      network_.listen(sockets_.get());
    });
  }

  void losePower() {
    network_.onProcessExit(sockets_.get(), true);
    process_.kill();
    controller_.reset();
    sockets_.reset();
    disk_->crash();
  }

  void loseDisk() {
    disk_ = std::make_unique<SimulatedDisk>(process_, base::RandomSource(random_.bits()), simulation::DiskOptions{});
  }

  bool running() const { return controller_ != nullptr; }
  Controller& controller() { return *controller_; }
  const std::string& ip() const { return process_.name(); }

 private:
  SimulatedNetwork& network_;
  Process process_;
  base::RandomSource random_;
  std::unique_ptr<SimulatedDisk> disk_;
  std::unique_ptr<ProcessNetwork> sockets_;
  std::unique_ptr<Controller> controller_;
};

}  // namespace driftlug::test
