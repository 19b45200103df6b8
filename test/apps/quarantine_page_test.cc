#include "quarantine_page.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "connect_presence.h"
#include "simulation/process.h"

namespace driftlug::apps {
namespace {

constexpr quarantine::request_fingerprint kGuilty{1, 2};

struct Fixture {
  Fixture() : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 1}) {
    process.start();
    known = std::make_unique<quarantine::request_quarantine>(process);
    known->onOutgoingReports([this](const auto& reports) { news.insert(news.end(), reports.begin(), reports.end()); });
  }

  transport::HttpResponse ask(const std::string& method, const std::string& path) {
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    return answerQuarantinePage(request, known.get());
  }

  void hold() {
    known->onCrash(10, "tiles", "i-1", std::vector<quarantine::crashed_run>{{kGuilty}});
    known->onCrash(11, "tiles", "i-2", std::vector<quarantine::crashed_run>{{kGuilty, true}});
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  std::unique_ptr<quarantine::request_quarantine> known;
  std::vector<wire::CrashReport> news;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "held requests are listed, and released by their fingerprint") {
  hold();
  const auto page = nlohmann::json::parse(ask("GET", "/quarantine").body);
  REQUIRE(page["requests"].size() == 1);
  const auto& request = page["requests"][0];
  CHECK(request["standing"] == "held");
  CHECK(request["crashes"] == 2);
  CHECK(request["service"] == "tiles");

  news.clear();
  CHECK(ask("DELETE", "/quarantine/" + request["request"].get<std::string>()).status == 200);
  CHECK(known->standingOf(kGuilty, "tiles") == quarantine::standing::clear);
  runFor(base::milliseconds(200));
  REQUIRE(news.size() == 2);
  CHECK(news[0].requests[0].cleared);
}

TEST_CASE_METHOD(Fixture, "what the page does not know is refused") {
  hold();
  CHECK(ask("DELETE", "/quarantine/00000000000000000000000000000009").status == 404);
  CHECK(ask("DELETE", "/quarantine/nonsense").status == 404);
  CHECK(ask("DELETE", "/quarantine").status == 404);
  CHECK(ask("POST", "/quarantine").status == 405);
  CHECK(known->standingOf(kGuilty, "tiles") == quarantine::standing::held);
}

TEST_CASE("a back end's address is found listening, and gone once its process has ended") {
  transport::EventLoop loop;
  std::optional<quarantine::presence> found;
  const auto ask = [&](ConnectPresence* presence) {
    found.reset();
    presence->check([&](quarantine::presence answer) { found = answer; });
    while (!found) loop.runOnce();
    return *found;
  };
  auto listener = std::make_unique<transport::TcpListener>(loop, [](const auto& stream) { stream->close(); });
  REQUIRE(listener->listen("127.0.0.1", 0, {}).ok());
  ConnectPresence presence(loop, {"127.0.0.1", listener->port()});
  CHECK(ask(&presence) == quarantine::presence::listening);
  CHECK(ask(&presence) == quarantine::presence::listening);
  loop.close();
}

TEST_CASE("an address at which nobody listens is found gone") {
  transport::EventLoop loop;
  int port = 0;
  {
    transport::EventLoop other;
    transport::TcpListener listener(other, [](const auto& stream) { stream->close(); });
    REQUIRE(listener.listen("127.0.0.1", 0, {}).ok());
    port = listener.port();
    other.close();
  }
  ConnectPresence presence(loop, {"127.0.0.1", port});
  std::optional<quarantine::presence> found;
  presence.check([&](quarantine::presence answer) { found = answer; });
  while (!found) loop.runOnce();
  CHECK(*found == quarantine::presence::gone);
  loop.close();
}

}  // namespace driftlug::apps
