#include "report_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <tuple>

#include "node/recording_network.h"
#include "simulation/process.h"

namespace driftlug::platform {
namespace {

class NoBackend : public node::BackendClient {
 public:
  uint64_t send(const wire::CallRequest&, base::Duration, std::function<void(node::BackendAnswer)>) override {
    return 1;
  }
  void cancel(uint64_t) override {}
};

struct Fixture {
  Fixture()
      : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 7000}),
        calls({"huvo11a", 4, 4}, process, network, backend, nullptr),
        localBackend(endpointState(), process, calls,
                     [this](const wire::EndpointState& state) { announced.push_back(state); }),
        api(localBackend) {
    process.start();
  }

  static wire::EndpointState endpointState() {
    wire::EndpointState endpointState;
    endpointState.serviceName = "huvo11a";
    return endpointState;
  }

  int sendRequest(const std::string& method, const std::string& path, const std::string& body) {
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    int status = 0;
    api.handle(request, [&](const transport::HttpResponse& response) { status = response.status; });
    return status;
  }

  static std::string heartbeat(int sequence, const std::string& state) {
    return R"({"address":"10.0.0.1:8080","info":{"service":"huvo11a","version":"v1","zone":"hall-a","slots":9},)"
           R"("status":{"state":")" +
           state + R"(","sequence":)" + std::to_string(sequence) + R"(,"coldRemainingMs":250}})";
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  NoBackend backend;
  node::EndpointCalls calls;
  std::vector<wire::EndpointState> announced;
  node::LocalBackend localBackend;
  ReportApi api;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a heartbeat announces the back end, its state and its slots") {
  CHECK(sendRequest("PUT", "/instances/i-7f3a91c2", heartbeat(4, "ready")) == 200);
  REQUIRE(announced.size() == 1);
  CHECK(announced[0].endpoint == "i-7f3a91c2");
  CHECK(announced[0].slots == 9);
  CHECK(announced[0].coldMs == 250);
  CHECK(announced[0].condition == wire::EndpointCondition::LIVE);
  CHECK(sendRequest("PUT", "/instances/i-7f3a91c2", heartbeat(5, "draining")) == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::DRAINING);
  CHECK(sendRequest("PUT", "/instances/i-7f3a91c2", heartbeat(4, "ready")) == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::DRAINING);
}

TEST_CASE_METHOD(Fixture, "a deregistered back end stays gone, even if it was not draining") {
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeat(1, "ready")) == 200);
  CHECK(sendRequest("DELETE", "/instances/i-1", "") == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::GONE);
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeat(2, "ready")) == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::GONE);
}

TEST_CASE_METHOD(Fixture,
                 "a late heartbeat of a crashed incarnation is acknowledged and does not replace the current one") {
  localBackend.setIdentityCheck([](const node::LocalBackend::IdentityCallback& done) { done({"i-2", false}); }, false);
  CHECK(sendRequest("PUT", "/instances/i-2", heartbeat(2, "ready")) == 200);
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeat(77, "ready")) == 200);
  CHECK(localBackend.incarnation() == "i-2");
  CHECK(sendRequest("PUT", "/instances/i-2", heartbeat(3, "draining")) == 200);
  REQUIRE(announced.size() == 2);
  CHECK(announced.back().endpoint == "i-2");
  CHECK(announced.back().condition == wire::EndpointCondition::DRAINING);
}

TEST_CASE_METHOD(Fixture, "requests that are not heartbeats are refused") {
  CHECK(sendRequest("PUT", "/instances/i-1", "{") == 400);
  CHECK(sendRequest("PUT", "/instances/i-1", R"({"info":1,"status":2})") == 400);
  CHECK(sendRequest("GET", "/instances/i-1", "") == 405);
  CHECK(sendRequest("PUT", "/elsewhere", "{}") == 404);
  CHECK(announced.empty());
}

namespace {

/// @return a heartbeat with one member replaced, or removed if the value is discarded.
std::string heartbeatWith(const std::string& part, const std::string& member, const nlohmann::json& value) {
  auto heartbeat = nlohmann::json::parse(Fixture::heartbeat(9, "ready"));
  auto& object = part.empty() ? heartbeat : heartbeat[part];
  object.erase(member);
  if (!value.is_discarded()) object[member] = value;
  return heartbeat.dump();
}

const nlohmann::json kMissing(nlohmann::json::value_t::discarded);

}  // namespace

TEST_CASE_METHOD(Fixture, "an unreadable report is refused and does not change the known state") {
  REQUIRE(sendRequest("PUT", "/instances/i-1", heartbeat(4, "ready")) == 200);
  REQUIRE(announced.size() == 1);
  const std::vector<std::tuple<const char*, const char*, nlohmann::json>> invalidMembers = {
      {"status", "state", 7},
      {"status", "state", "resting"},
      {"status", "state", nullptr},
      {"status", "state", kMissing},
      {"status", "sequence", "9"},
      {"status", "sequence", 9.5},
      {"status", "sequence", -1},
      {"status", "sequence", kMissing},
      {"status", "coldRemainingMs", "soon"},
      {"status", "coldRemainingMs", -5},
      {"status", "coldRemainingMs", 1e300},
      {"status", "coldRemainingMs", kMissing},
      {"info", "service", "another"},
      {"info", "service", 5},
      {"info", "service", kMissing},
      {"info", "slots", "nine"},
      {"info", "slots", 0},
      {"info", "slots", 1e12},
      {"info", "slots", kMissing},
      {"info", "zone", 3},
      {"info", "version", nlohmann::json::array()},
      {"", "info", 1},
      {"", "info", kMissing},
      {"", "status", nlohmann::json::array({1})},
      {"", "address", 80},
      {"", "address", kMissing},
      {"", "born", "yesterday"},
      {"", "born", 1.5},
      {"", "born", -3},
  };
  for (const auto& [part, member, value] : invalidMembers) {
    INFO(part << "." << member);
    CHECK(sendRequest("PUT", "/instances/i-1", heartbeatWith(part, member, value)) == 400);
    CHECK(sendRequest("PUT", "/instances/i-2", heartbeatWith(part, member, value)) == 400);
  }
  CHECK(sendRequest("PUT", "/instances/i-1", "\xff\xfe{}") == 400);
  CHECK(sendRequest("PUT", "/instances/i-1", "") == 400);
  CHECK(sendRequest("PUT", "/instances/", heartbeat(9, "ready")) == 400);
  CHECK(announced.size() == 1);
  CHECK(localBackend.incarnation() == "i-1");
  // Valid reports of the back end are still applied.
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeat(5, "draining")) == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::DRAINING);
}

TEST_CASE_METHOD(Fixture, "unknown members of a report are ignored") {
  auto heartbeat = nlohmann::json::parse(Fixture::heartbeat(4, "ready"));
  heartbeat["mood"] = "good";
  heartbeat["info"]["colour"] = nlohmann::json::array({1, 2});
  heartbeat["born"] = 1764720000000;
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeat.dump()) == 200);
  CHECK(announced.size() == 1);
}

TEST_CASE_METHOD(
    Fixture, "a back end restarted under the same name is distinguished from its previous start by its start time") {
  const auto heartbeatOf = [](int sequence, const char* state, int64_t start) {
    auto heartbeat = nlohmann::json::parse(Fixture::heartbeat(sequence, state));
    heartbeat["born"] = start;
    return heartbeat.dump();
  };
  constexpr int64_t kFirst = 1764720000000;
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeatOf(90, "draining", kFirst)) == 200);
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeatOf(1, "ready", kFirst + 4000)) == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::LIVE);
  const auto current = announced.back().endpoint;
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeatOf(91, "draining", kFirst)) == 200);
  CHECK(sendRequest("DELETE", "/instances/i-1", nlohmann::json{{"born", kFirst}}.dump()) == 200);
  CHECK(announced.back().endpoint == current);
  CHECK(announced.back().condition == wire::EndpointCondition::LIVE);
  // A report that may or may not be late is not acknowledged, so that its sender repeats it.
  CHECK(sendRequest("PUT", "/instances/i-1", heartbeatOf(1, "ready", kFirst - 8000)) == 503);
  CHECK(sendRequest("DELETE", "/instances/i-1", nlohmann::json{{"born", kFirst + 4000}}.dump()) == 200);
  CHECK(announced.back().condition == wire::EndpointCondition::GONE);
}

}  // namespace driftlug::platform
