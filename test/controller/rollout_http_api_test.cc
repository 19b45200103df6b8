#include "controller/rollout_http_api.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "controller/http_api.h"
#include "controller_host.h"
#include "rollout_command.h"
#include "table_rows.h"

namespace driftlug::test {
namespace {
using nlohmann::json;

constexpr char kPath[] = "/v1/rollouts/s-1";

/// A leader with a service whose standing version is v1.
struct LeaderFixture {
  LeaderFixture()
      : network(queue, base::RandomSource(7), {}),
        host(queue, network, "10.0.0.1", "zone-1", 1),
        client(queue, "10.0.0.9", {"zone-1", "region"}, {"10.0.0.9", kPort}) {
    host.start({"10.0.0.1"}, true, 1);
    client.start();
    runFor(base::seconds(3));
    REQUIRE(host.controller().leads());
    api = std::make_unique<controller::HttpApi>(host.controller(), client);
    wire::EditCommand edit;
    edit.requestId = "service";
    wire::Mutation service;
    service.row = *serviceRow("s-1", 0);
    service.expectedRevision = 0;
    edit.mutations.push_back(service);
    host.controller().submitEdit(
        edit, [](const controller::EditAnswer& answer) { REQUIRE(answer.code == base::ErrorCode::kNone); });
    runFor(base::milliseconds(300));
    wire::SeenVersion seen;
    seen.serviceName = "s-1";
    seen.version = "v1";
    seen.endpoints = 4;
    wire::SeenVersions all;
    all.versions = {seen};
    host.controller().rollouts().onSeenVersions(all);
    runFor(base::milliseconds(300));
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  transport::HttpResponse ask(const std::string& method, const std::string& path, const std::string& body = "") {
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    std::optional<transport::HttpResponse> response;
    api->handle(request, [&](transport::HttpResponse got) { response = std::move(got); });
    for (int i = 0; i < 30 && !response; ++i) {
      runFor(base::milliseconds(100));
    }
    REQUIRE(response);
    return *response;
  }

  int start(const std::string& version, int finishByMs = 60000) {
    const json order = {{"version", version}, {"finish_by_ms", finishByMs}};
    return ask("POST", kPath, order.dump()).status;
  }

  json shown() { return json::parse(ask("GET", kPath).body); }

  simulation::EventQueue queue;
  simulation::SimulatedNetwork network;
  Host host;
  simulation::Process client;
  std::unique_ptr<controller::HttpApi> api;
};

}  // namespace

TEST_CASE_METHOD(LeaderFixture, "an order is started, shown with its progress, and aborted") {
  CHECK(shown()["state"] == "standing");
  CHECK(start("v2") == 200);
  runFor(base::seconds(2));
  const auto running = shown();
  CHECK(running["state"] == "running");
  CHECK(running["target"] == "v2");
  CHECK(running["elapsed_ms"].get<int>() >= 2000);
  CHECK(running["endpoints_tried"] == 0);
  CHECK(ask("DELETE", kPath).status == 200);
  CHECK(shown()["state"] == "rolled_back");
  CHECK(shown()["reason"] == "an operator took it back");
  // A repeated request, as after a lost response, succeeds.
  CHECK(ask("DELETE", kPath).status == 200);
}

TEST_CASE_METHOD(LeaderFixture, "all orders are listed") {
  CHECK(start("v2") == 200);
  const auto list = json::parse(ask("GET", "/v1/rollouts").body)["rollouts"];
  REQUIRE(list.size() == 1);
  CHECK(list[0]["name"] == "s-1");
  CHECK(list[0]["state"] == "running");
}

TEST_CASE_METHOD(LeaderFixture, "invalid rollout orders are rejected") {
  CHECK(ask("POST", kPath, "[]").status == 400);
  CHECK(ask("POST", kPath, "{\"version\": 3, \"finish_by_ms\": 1000}").status == 400);
  CHECK(ask("POST", kPath, "{\"version\": \"v2\"}").status == 400);
  CHECK(start("v2", 0) == 400);
  CHECK(start("", 1000) == 400);
  CHECK(ask("POST", "/v1/rollouts", "{}").status == 404);
  CHECK(ask("POST", "/v1/rollouts/s-9", "{\"version\": \"v2\", \"finish_by_ms\": 1000}").status == 422);
  CHECK(ask("GET", "/v1/rollouts/s-9").status == 404);
  CHECK(ask("DELETE", kPath).status == 404);
  CHECK(start("v2") == 200);
  CHECK(start("v3") == 409);
  CHECK(shown()["target"] == "v2");
}

TEST_CASE("a rollout line shows the progress and the evidence against the version") {
  const json standing = {{"name", "claims"}, {"state", "standing"}, {"standing", "v1"}};
  CHECK(apps::rolloutLine(standing) == "claims                   standing v1");
  json order = {{"name", "claims"},      {"state", "running"},     {"target", "v2"},         {"elapsed_ms", 4200},
                {"finish_by_ms", 20000}, {"target_permille", 125}, {"endpoints_tried", 3},   {"evidence", 0.25},
                {"retiring", false},     {"against_it", "slower"}, {"reason", "none so far"}};
  CHECK(apps::rolloutLine(order) ==
        "claims                   running v2 after 4.2 of 20.0 s: 12.5% of the requests, 3 endpoints tried, "
        "evidence 0.25 (slower)");
  order["state"] = "rolled_back";
  CHECK(apps::rolloutLine(order) == "claims                   rolled_back v2 after 4.2 of 20.0 s (none so far)");
}

}  // namespace driftlug::test
