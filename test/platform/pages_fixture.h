/// Test fixture: simulated controllers with the platform's pages for operators.
#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config_api.h"
#include "config_version.h"
#include "controller/controller_host.h"
#include "rollout_api.h"

namespace driftlug::platform {

/// Three simulated controllers, each with configuration and rollout pages.
struct PagesFixture {
  PagesFixture() : network(queue, base::RandomSource(7), {}) {
    for (int i = 1; i <= 3; ++i) {
      hosts.push_back(std::make_unique<test::Host>(queue, network, "10.0.0." + std::to_string(i),
                                                   "zone-" + std::to_string(i), static_cast<uint64_t>(i)));
    }
    for (const auto& host : hosts) host->start(seeds, true);
    runFor(base::seconds(3));
    for (const auto& host : hosts) {
      configs.push_back(std::make_unique<ConfigApi>(host->controller()));
      rollouts.push_back(std::make_unique<RolloutApi>(host->controller()));
    }
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  size_t leader() {
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (hosts[i]->running() && hosts[i]->controller().leads()) return i;
    }
    FAIL("no controller is the leader");
    return 0;
  }

  transport::HttpResponse sendRequest(size_t position, const std::string& method, const std::string& path,
                                      const std::string& body) {
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    std::optional<transport::HttpResponse> response;
    const auto respond = [&](transport::HttpResponse got) { response = std::move(got); };
    REQUIRE((configs[position]->handle(request, respond) || rollouts[position]->handle(request, respond)));
    for (int i = 0; i < 30 && !response; ++i) runFor(base::milliseconds(100));
    REQUIRE(response);
    return *response;
  }

  int putConfig(const std::string& body) { return sendRequest(leader(), "PUT", "/config", body).status; }

  void setIsolated(size_t position, bool isolated) {
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (i == position) continue;
      network.setCut(hosts[position]->ip(), hosts[i]->ip(), isolated);
      network.setCut(hosts[i]->ip(), hosts[position]->ip(), isolated);
    }
  }

  simulation::EventQueue queue;
  simulation::SimulatedNetwork network;
  std::vector<std::string> seeds{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  std::vector<std::unique_ptr<test::Host>> hosts;
  std::vector<std::unique_ptr<ConfigApi>> configs;
  std::vector<std::unique_ptr<RolloutApi>> rollouts;
};

}  // namespace driftlug::platform
