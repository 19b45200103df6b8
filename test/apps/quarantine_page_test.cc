#include "quarantine_page.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "simulation/process.h"
#include "tcp_presence_check.h"

namespace driftlug::apps {
namespace {

constexpr quarantine::request_fingerprint kCrashingRequest{1, 2};

struct Fixture {
  Fixture() : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 1}) {
    process.start();
    requestQuarantine = std::make_unique<quarantine::request_quarantine>(process);
    requestQuarantine->onOutgoingReports(
        [this](const auto& reports) { crashReports.insert(crashReports.end(), reports.begin(), reports.end()); });
  }

  transport::HttpResponse sendRequest(const std::string& method, const std::string& path) {
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    return answerQuarantinePage(request, requestQuarantine.get());
  }

  void hold() {
    requestQuarantine->onCrash(10, "tiles", "i-1", std::vector<quarantine::crashed_run>{{kCrashingRequest}});
    requestQuarantine->onCrash(11, "tiles", "i-2", std::vector<quarantine::crashed_run>{{kCrashingRequest, true}});
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  std::unique_ptr<quarantine::request_quarantine> requestQuarantine;
  std::vector<wire::CrashReport> crashReports;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "held requests are listed, and released by their fingerprint") {
  hold();
  const auto page = nlohmann::json::parse(sendRequest("GET", "/quarantine").body);
  REQUIRE(page["requests"].size() == 1);
  const auto& request = page["requests"][0];
  CHECK(request["standing"] == "held");
  CHECK(request["crashes"] == 2);
  CHECK(request["service"] == "tiles");

  crashReports.clear();
  CHECK(sendRequest("DELETE", "/quarantine/" + request["request"].get<std::string>()).status == 200);
  CHECK(requestQuarantine->statusOf(kCrashingRequest, "tiles") == quarantine::request_status::clear);
  runFor(base::milliseconds(200));
  REQUIRE(crashReports.size() == 2);
  CHECK(crashReports[0].requests[0].cleared);
}

TEST_CASE_METHOD(Fixture, "unknown fingerprints and methods are refused") {
  hold();
  CHECK(sendRequest("DELETE", "/quarantine/00000000000000000000000000000009").status == 404);
  CHECK(sendRequest("DELETE", "/quarantine/nonsense").status == 404);
  CHECK(sendRequest("DELETE", "/quarantine").status == 404);
  CHECK(sendRequest("POST", "/quarantine").status == 405);
  CHECK(requestQuarantine->statusOf(kCrashingRequest, "tiles") == quarantine::request_status::held);
}

TEST_CASE("a connection check finds a listening back end") {
  transport::EventLoop loop;
  std::optional<quarantine::presence> found;
  const auto findPresence = [&](TcpPresenceCheck* presence) {
    found.reset();
    presence->check([&](quarantine::presence answer) { found = answer; });
    while (!found) loop.runOnce();
    return *found;
  };
  auto listener = std::make_unique<transport::TcpListener>(loop, [](const auto& stream) { stream->close(); });
  REQUIRE(listener->listen("127.0.0.1", 0, {}).ok());
  TcpPresenceCheck presence(loop, {"127.0.0.1", listener->port()});
  CHECK(findPresence(&presence) == quarantine::presence::listening);
  CHECK(findPresence(&presence) == quarantine::presence::listening);
  loop.close();
}

TEST_CASE("a connection check reports a closed port as gone") {
  transport::EventLoop loop;
  int port = 0;
  {
    transport::EventLoop other;
    transport::TcpListener listener(other, [](const auto& stream) { stream->close(); });
    REQUIRE(listener.listen("127.0.0.1", 0, {}).ok());
    port = listener.port();
    other.close();
  }
  TcpPresenceCheck presence(loop, {"127.0.0.1", port});
  std::optional<quarantine::presence> found;
  presence.check([&](quarantine::presence answer) { found = answer; });
  while (!found) loop.runOnce();
  CHECK(*found == quarantine::presence::gone);
  loop.close();
}

}  // namespace driftlug::apps
