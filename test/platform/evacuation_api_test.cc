#include "evacuation_api.h"

#include <catch2/catch.hpp>

#include "pages_fixture.h"
#include "platform_messages.h"

namespace driftlug::platform {
namespace {

struct Fixture : PagesFixture {
  int sendOrder(size_t position, const std::string& method, const std::string& zone) {
    EvacuationApi api(hosts[position]->controller());
    transport::HttpRequest request;
    request.method = method;
    request.path = "/evacuations/" + zone;
    std::optional<transport::HttpResponse> response;
    REQUIRE(api.handle(request, [&](transport::HttpResponse got) { response = std::move(got); }));
    for (int i = 0; i < 30 && !response; ++i) runFor(base::milliseconds(100));
    REQUIRE(response);
    return response->status;
  }

  std::vector<std::string> zones() { return hosts[leader()]->controller().evacuations().zones(); }
};

}  // namespace

TEST_CASE_METHOD(Fixture, "evacuating and restoring a zone is idempotent") {
  CHECK(sendOrder(leader(), "POST", "sur-a") == 200);
  const auto revision = hosts[leader()]->controller().state().table().revision();
  CHECK(sendOrder(leader(), "POST", "sur-a") == 200);
  CHECK(hosts[leader()]->controller().state().table().revision() == revision);
  CHECK(zones() == std::vector<std::string>{"sur-a"});
  CHECK(sendOrder(leader(), "DELETE", "sur-a") == 200);
  CHECK(sendOrder(leader(), "DELETE", "sur-a") == 200);
  CHECK(zones().empty());
}

TEST_CASE_METHOD(Fixture, "a restored zone can be evacuated again") {
  for (int i = 0; i < 3; ++i) {
    CHECK(sendOrder(leader(), "POST", "sur-a") == 200);
    CHECK(zones().size() == 1);
    CHECK(sendOrder(leader(), "DELETE", "sur-a") == 200);
    CHECK(zones().empty());
  }
}

TEST_CASE_METHOD(Fixture, "invalid zone names are refused, and followers redirect to the leader") {
  CHECK(sendOrder(leader(), "POST", "a/b") == 400);
  CHECK(sendOrder((leader() + 1) % hosts.size(), "POST", "sur-a") == 307);
}

TEST_CASE_METHOD(Fixture, "a configuration does not change evacuated zones") {
  CHECK(sendOrder(leader(), "POST", "sur-a") == 200);
  const auto route = test::routeResource("r-1", "a.example", "/p/", "safe", "s-1");
  CHECK(putConfig(test::configBody(3, 0, {route, test::serviceResource("s-1")})) == 200);
  CHECK(zones() == std::vector<std::string>{"sur-a"});
}

TEST_CASE_METHOD(Fixture, "an accepted evacuation survives a power loss of all controllers") {
  CHECK(sendOrder(leader(), "POST", "sur-a") == 200);
  for (auto& host : hosts) host->losePower();
  for (auto& host : hosts) host->start(seeds, false);
  runFor(base::seconds(5));
  CHECK(zones() == std::vector<std::string>{"sur-a"});
}

}  // namespace driftlug::platform
