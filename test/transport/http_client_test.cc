#include "transport/http_client.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>

#include "transport/http_server.h"

namespace driftlug::transport {
namespace {

/// A server and a client of one connection on one loop.
struct Fixture {
  Fixture()
      : server(
            loop, "server", {},
            [this](ExchangeId exchange, HttpRequest request) {
              requests.push_back(request);
              server.respond(exchange, answer(requests.back()));
            },
            [](ExchangeId) {}) {
    // Any free port will do; the range is tried in order.
    constexpr int kFirstPort = 39'000;
    constexpr int kLastPort = 39'200;
    for (port = kFirstPort; port < kLastPort; ++port) {
      if (server.listen("127.0.0.1", port).ok()) break;
    }
    pool.emplace(loop, "client", "127.0.0.1", port, 1);
  }

  ~Fixture() { loop.close(); }

  HttpResult send(const std::string& method, const std::string& path, const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    std::optional<HttpResult> result;
    pool->send(request, base::seconds(20), [&](HttpResult done) {
      result = std::move(done);
      loop.stop();
    });
    while (!result) loop.runOnce();
    return *result;
  }

  EventLoop loop;
  std::function<HttpResponse(const HttpRequest&)> answer;
  std::vector<HttpRequest> requests;
  HttpServer server;
  int port = 0;
  std::optional<HttpClientPool> pool;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a redirect is returned, not followed") {
  answer = [this](const HttpRequest&) {
    auto response = jsonResponse(307, "{}");
    response.headers.push_back(makeHeader("location", "http://127.0.0.1:" + std::to_string(port) + "/elsewhere"));
    return response;
  };
  const auto result = send("POST", "/filings", "a filing");
  CHECK(result.outcome == HttpOutcome::kCompleted);
  CHECK(result.response.status == 307);
  // A second request would be a second filing.
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].body == "a filing");
}

TEST_CASE_METHOD(Fixture, "requests with bodies arrive whole on one connection, one after the other") {
  answer = [](const HttpRequest& request) {
    auto response = jsonResponse(200, request.body);
    return response;
  };
  for (int i = 0; i < 20; ++i) {
    const auto body = std::string(static_cast<size_t>(1 + i * 977), static_cast<char>('a' + i));
    const auto result = send("POST", "/echo", body);
    CHECK(result.outcome == HttpOutcome::kCompleted);
    CHECK(result.response.body == body);
  }
  CHECK(requests.size() == 20);
}

TEST_CASE_METHOD(Fixture, "nothing is sent to a port where nobody listens") {
  HttpClientPool nobody(loop, "nobody", "127.0.0.1", 1, 1);
  std::optional<HttpResult> result;
  HttpRequest request;
  request.method = "GET";
  request.path = "/";
  nobody.send(request, base::seconds(20), [&](HttpResult done) { result = std::move(done); });
  while (!result) loop.runOnce();
  CHECK(result->outcome == HttpOutcome::kNotSent);
}

}  // namespace driftlug::transport
