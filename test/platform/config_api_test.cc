#include "config_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "pages_fixture.h"
#include "platform_messages.h"

namespace driftlug::platform {
namespace {

using test::configBody;
using test::routeResource;
using test::serviceResource;

constexpr int kRoutes = 700;
constexpr int kServicesPerRoute = 25;

/// @param listed whether the services are defined; without them each route refers to unknown ones
std::string largeConfig(int version, int base, bool listed) {
  std::vector<nlohmann::json> resources;
  auto split = nlohmann::json::array();
  for (int i = 0; i < kServicesPerRoute; ++i) {
    const auto service = "s-" + std::to_string(i);
    split.push_back({{"service", service}, {"weight", 100 / kServicesPerRoute}});
    if (listed) resources.push_back(serviceResource(service));
  }
  for (int i = 0; i < kRoutes; ++i) {
    const auto name = std::to_string(i);
    auto route = routeResource("r-" + name, "a.example", "/" + name + "/", "safe", "");
    route["spec"].erase("service");
    route["spec"]["trafficSplit"] = split;
    resources.push_back(std::move(route));
  }
  return configBody(version, base, resources);
}

/// Sends requests to the configuration page only.
struct Fixture : PagesFixture {
  transport::HttpResponse sendRequest(size_t position, const std::string& method, const std::string& body) {
    return PagesFixture::sendRequest(position, method, "/config", body);
  }

  int put(const std::string& body) { return putConfig(body); }

  int64_t currentVersion() { return configVersionOf(hosts[leader()]->controller().state().table()).number; }
};

std::string config(int version, int base, const std::string& kind = "safe") {
  return configBody(version, base, {routeResource("r-1", "a.example", "/p/", kind, "s-1"), serviceResource("s-1")});
}

}  // namespace

TEST_CASE_METHOD(Fixture, "version numbers may skip values but must increase and build on the current version") {
  CHECK(put(config(3, 0)) == 200);
  CHECK(put(config(7, 3)) == 200);
  CHECK(currentVersion() == 7);
  CHECK(put(config(9, 3)) == 412);
  CHECK(put(config(7, 7, "unsafe")) == 400);
  CHECK(put(config(5, 7)) == 400);
  CHECK(currentVersion() == 7);
}

TEST_CASE_METHOD(Fixture, "an applied configuration is acknowledged again, also after later versions") {
  CHECK(put(config(3, 0)) == 200);
  CHECK(put(config(3, 0)) == 200);
  CHECK(put(config(7, 3)) == 200);
  CHECK(put(config(3, 0)) == 200);
  CHECK(put(config(3, 0, "unsafe")) == 412);
  CHECK(currentVersion() == 7);
}

TEST_CASE_METHOD(Fixture, "an applied configuration is acknowledged again after refused ones with many problems") {
  const auto applied = largeConfig(3, 0, true);
  CHECK(put(applied) == 200);
  for (int i = 1; i <= 8; ++i) REQUIRE(put(largeConfig(3 + i, 3, false)) == 400);
  REQUIRE(hosts[leader()]->controller().state().windowFloor() > 0);
  CHECK(put(applied) == 200);
  CHECK(put(config(20, 3)) == 200);
  CHECK(put(applied) == 200);
}

TEST_CASE_METHOD(Fixture, "the configuration in force is acknowledged again after more edits than outcomes are kept") {
  CHECK(put(config(3, 0)) == 200);
  auto& controller = hosts[leader()]->controller();
  for (size_t i = 0; i <= controller::kOutcomeWindow; ++i) {
    wire::EditCommand edit;
    edit.requestId = "note-" + std::to_string(i);
    edit.baseRevision = controller.state().table().revision();
    edit.mutations.emplace_back();
    edit.mutations.back().row.key = table::makeKey(wire::RowKind::NOTE, "note");
    edit.mutations.back().row.__isset.noteRow = true;
    edit.mutations.back().expectedRevision = -1;
    controller.submitEdit(std::move(edit), [](const controller::EditAnswer&) {});
    if (i % 100 == 0) runFor(base::milliseconds(100));
  }
  runFor(base::seconds(1));
  REQUIRE(controller.state().windowFloor() > 0);
  CHECK(put(config(3, 0)) == 200);
  CHECK(put(config(3, 0, "unsafe")) == 412);
  CHECK(put(config(5, 3)) == 200);
}

TEST_CASE_METHOD(Fixture, "of two configurations based on the same version, only one is applied") {
  CHECK(put(config(3, 0)) == 200);
  const auto position = leader();
  std::vector<int> statuses;
  for (const char* kind : {"safe", "unsafe"}) {
    transport::HttpRequest request;
    request.method = "PUT";
    request.path = "/config";
    request.body = config(5, 3, kind);
    configs[position]->handle(request, [&](const transport::HttpResponse& got) { statuses.push_back(got.status); });
  }
  runFor(base::seconds(1));
  std::sort(statuses.begin(), statuses.end());
  CHECK(statuses == std::vector<int>{200, 412});
  CHECK(currentVersion() == 5);
}

TEST_CASE_METHOD(Fixture, "an invalid configuration is refused completely") {
  CHECK(put(config(3, 0)) == 200);
  const auto bad =
      GENERATE(configBody(5, 3, {routeResource("r-1", "a.example", "/p/", "safe", "s-9"), serviceResource("s-1")}),
               configBody(5, 3, {routeResource("r-1", "", "/p/", "safe", "s-1"), serviceResource("s-1")}),
               configBody(5, 3,
                          {routeResource("r-1", "a.example", "/p/", "safe", "s-1"),
                           routeResource("r-2", "a.example", "/p/", "safe", "s-1"), serviceResource("s-1")}),
               config(5, 3, "odd"));
  CHECK(put(bad) == 400);
  CHECK(currentVersion() == 3);
  CHECK(put(config(6, 3)) == 200);
}

TEST_CASE_METHOD(Fixture, "a follower redirects to the leader") {
  const auto position = leader();
  const auto other = (position + 1) % hosts.size();
  const auto response = sendRequest(other, "PUT", config(3, 0));
  CHECK(response.status == 307);
  CHECK(transport::findHeader(response.headers, "location") == "http://" + hosts[position]->ip() + ":8000/config");
  CHECK(sendRequest(other, "GET", "").status == 307);
}

TEST_CASE_METHOD(Fixture, "an isolated leader neither accepts nor returns a configuration") {
  CHECK(put(config(3, 0)) == 200);
  const auto old = leader();
  setIsolated(old, true);
  CHECK(sendRequest(old, "GET", "").status == 503);
  CHECK(sendRequest(old, "PUT", config(5, 3)).status == 503);
  runFor(base::seconds(2));
  CHECK(put(config(6, 3)) == 200);
  CHECK(sendRequest(old, "PUT", config(7, 3)).status != 200);
  setIsolated(old, false);
  runFor(base::seconds(3));
  CHECK(currentVersion() == 6);
  const auto read = sendRequest(leader(), "GET", "");
  CHECK(read.status == 200);
  CHECK(nlohmann::json::parse(read.body)["version"] == "00000006");
}

TEST_CASE_METHOD(Fixture, "reading before the first configuration returns 404") {
  CHECK(sendRequest(leader(), "GET", "").status == 404);
}

TEST_CASE_METHOD(Fixture, "a follower redirects a configuration without parsing it") {
  const size_t follower = leader() == 0 ? 1 : 0;
  const auto response = sendRequest(follower, "PUT", "{ cut short");
  CHECK(response.status == 307);
  CHECK(put("{ cut short") == 400);
}

}  // namespace driftlug::platform
