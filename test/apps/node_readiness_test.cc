#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "daemon.h"
#include "descriptors/descriptor_shares.h"
#include "entry_server.h"
#include "transport/raw_client.h"

namespace driftlug::apps {
namespace {

using transport::RawClient;

constexpr size_t kMaxCallers = 4;

/// The caller listener and the administration listener of a node.
struct Fixture {
  Fixture()
      : frames(loop, "calls"),
        entry({}, loop, base::RandomSource(1), frames),
        server(loop, entry, {}, kMaxCallers),
        admin(loop, pages()) {
    REQUIRE(server.server().listen("127.0.0.1", 0).ok());
    admin.listenOrExit("127.0.0.1", 0);
  }
  ~Fixture() { loop.close(); }

  DaemonPages pages() {
    DaemonPages pages;
    pages.ready = [this] { return server.server().accepting(); };
    pages.metrics = [](base::MetricsPage*) {};
    return pages;
  }

  /// @return the status line of a readiness probe.
  std::string probe() {
    RawClient client(loop, admin.port());
    client.send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
    return client.receive().substr(0, std::string("HTTP/1.1 200").size());
  }

  /// Connects a caller that has sent a part of a request.
  void connectCaller() {
    callers.push_back(std::make_unique<RawClient>(loop, server.server().port()));
    callers.back()->send("GET / HTTP/1.1\r\nHost:");
  }

  transport::EventLoop loop;
  transport::FrameTransport frames;
  node::EntryCalls entry;
  EntryServer server;
  AdminServer admin;
  std::vector<std::unique_ptr<RawClient>> callers;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a node at its limit of caller connections is not ready") {
  for (size_t i = 0; i + 1 < kMaxCallers; ++i) connectCaller();
  CHECK(probe() == "HTTP/1.1 200");
  connectCaller();
  CHECK(probe() == "HTTP/1.1 503");
  callers.pop_back();
  CHECK(probe() == "HTTP/1.1 200");
}

TEST_CASE_METHOD(Fixture, "readiness probes are answered even if many connections are left open") {
  std::vector<std::unique_ptr<RawClient>> probes;
  for (size_t i = 0; i < 2 * descriptors::kPageConnections; ++i) {
    probes.push_back(std::make_unique<RawClient>(loop, admin.port()));
  }
  // Connections that sent nothing for a second may be closed in favor of new ones.
  const auto until = loop.now() + base::milliseconds(1500);
  while (loop.now() < until) transport::settle(loop);
  CHECK(probe() == "HTTP/1.1 200");
}

TEST_CASE_METHOD(Fixture, "a new table version does not change the limit of caller connections") {
  server.useTable(routing::RoutingTable(table::Table{}, 1));
  CHECK(server.server().options().maxConnections == kMaxCallers);
}

}  // namespace driftlug::apps
