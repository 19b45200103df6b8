#include "rollout_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "pages_fixture.h"
#include "platform_messages.h"

namespace driftlug::platform {
namespace {

constexpr char kOrders[] = "/rollouts";

std::string orderBody(const nlohmann::json& finishBy = 12, const std::string& version = "v2",
                      const std::string& service = "s-1") {
  return nlohmann::json{{"service", service}, {"targetVersion", version}, {"finishByS", finishBy}}.dump();
}

/// A configuration is applied, and v1 is the standing version of its service.
struct Fixture : PagesFixture {
  Fixture() {
    const auto route = test::routeResource("r-1", "a.example", "/p/", "safe", "s-1");
    REQUIRE(putConfig(test::configBody(3, 0, {route, test::serviceResource("s-1")})) == 200);
    wire::SeenVersion seen;
    seen.serviceName = "s-1";
    seen.version = "v1";
    seen.endpoints = 4;
    wire::SeenVersions all;
    all.versions = {seen};
    hosts[leader()]->controller().rollouts().onSeenVersions(all);
    runFor(base::milliseconds(500));
  }

  int post(const std::string& body) { return sendRequest(leader(), "POST", kOrders, body).status; }

  nlohmann::json read() { return nlohmann::json::parse(sendRequest(leader(), "GET", "/rollouts/s-1", "").body); }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "an order is acknowledged, and read back as running") {
  CHECK(sendRequest(leader(), "GET", "/rollouts/s-1", "").status == 404);
  CHECK(post(orderBody()) == 200);
  CHECK(read()["state"] == "running");
  CHECK(read()["targetVersion"] == "v2");
}

TEST_CASE_METHOD(Fixture,
                 "a repeated order is acknowledged and starts no second rollout; followers redirect to the leader") {
  CHECK(post(orderBody()) == 200);
  const auto row = hosts[leader()]->controller().rollouts().rowOf("s-1");
  CHECK(post(orderBody()) == 200);
  const auto other = (leader() + 1) % hosts.size();
  const auto redirect = sendRequest(other, "POST", kOrders, orderBody());
  CHECK(redirect.status == 307);
  CHECK(transport::findHeader(redirect.headers, "location") == "http://" + hosts[leader()]->ip() + ":8000" + kOrders);
  CHECK(hosts[leader()]->controller().rollouts().rowOf("s-1")->revision == row->revision);
}

TEST_CASE_METHOD(Fixture, "another order for the service is refused while a rollout is running") {
  CHECK(post(orderBody()) == 200);
  CHECK(post(orderBody(12, "v3")) == 409);
  CHECK(read()["targetVersion"] == "v2");
}

TEST_CASE_METHOD(Fixture, "invalid rollout orders are refused") {
  CHECK(post(orderBody(12, "v2", "s-9")) == 400);
  CHECK(post(orderBody(12, "")) == 400);
  CHECK(post(orderBody(0)) == 400);
  CHECK(post(orderBody(-3)) == 400);
  CHECK(post(orderBody("soon")) == 400);
  CHECK(post(orderBody(1e300)) == 400);
  CHECK(post("[]") == 400);
  CHECK(post("{ cut short") == 400);
  CHECK(sendRequest(leader(), "GET", "/rollouts/s-1", "").status == 404);
}

TEST_CASE_METHOD(Fixture, "an order without reports of the new version is rolled back at its time limit") {
  CHECK(post(orderBody(2)) == 200);
  runFor(base::seconds(3));
  CHECK(read()["state"] == "rolled_back");
  // A repeated order, as sent after a lost response, does not change the outcome.
  CHECK(post(orderBody(2)) == 200);
  CHECK(read()["state"] == "rolled_back");
}

TEST_CASE_METHOD(Fixture, "an isolated leader neither accepts nor returns rollout orders") {
  const auto old = leader();
  setIsolated(old, true);
  CHECK(sendRequest(old, "POST", kOrders, orderBody()).status == 503);
  CHECK(sendRequest(old, "GET", "/rollouts/s-1", "").status == 503);
}

TEST_CASE_METHOD(Fixture, "rollout orders and configurations don't affect each other") {
  CHECK(post(orderBody()) == 200);
  const auto moved = test::routeResource("r-1", "a.example", "/p/", "safe", "s-2");
  CHECK(putConfig(test::configBody(5, 3, {moved, test::serviceResource("s-2")})) == 200);
  CHECK(read()["state"] == "running");
  const auto config = nlohmann::json::parse(sendRequest(leader(), "GET", "/config", "").body);
  CHECK(config["resources"].size() == 2);
  const auto back = test::routeResource("r-1", "a.example", "/p/", "safe", "s-1");
  CHECK(putConfig(test::configBody(6, 5, {back, test::serviceResource("s-1")})) == 200);
  CHECK(read()["targetVersion"] == "v2");
}

}  // namespace driftlug::platform
