/// Server behaviour when file descriptors run out, and after clients have disconnected.
#include <catch2/catch.hpp>

#include <dirent.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/http_server.h"

namespace driftlug::transport {
namespace {

/// @return the numbers of the open descriptors of this process.
std::vector<int> openDescriptors() {
  std::vector<int> numbers;
  auto* folder = ::opendir("/proc/self/fd");
  REQUIRE(folder != nullptr);
  while (const auto* entry = ::readdir(folder)) {
    if (entry->d_name[0] != '.') numbers.push_back(std::atoi(entry->d_name));
  }
  const int own = ::dirfd(folder);
  ::closedir(folder);
  std::erase(numbers, own);
  return numbers;
}

/// Lowers the descriptor limit so that no descriptor is free; restores it on destruction.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
    const auto numbers = openDescriptors();
    auto lowered = before_;
    lowered.rlim_cur = 0;
    while (std::find(numbers.begin(), numbers.end(), static_cast<int>(lowered.rlim_cur)) != numbers.end()) {
      ++lowered.rlim_cur;
    }
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~DescriptorExhaustion() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

 private:
  rlimit before_{};
};

/// Connects a socket to 127.0.0.1.
int connectTo(int socket, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

/// A server whose requests are answered only by the test.
struct Fixture {
  Fixture()
      : server(
            loop, "server", {}, [this](ExchangeId exchange, const HttpRequest&) { exchanges.push_back(exchange); },
            [this](ExchangeId) { ++aborted; }) {
    REQUIRE(server.listen("127.0.0.1", 0).ok());
  }
  ~Fixture() { loop.close(); }

  /// Runs the loop for a duration.
  /// @return number of iterations
  int runFor(base::Duration duration) {
    bool over = false;
    loop.schedule(duration, [&] { over = true; });
    int iterations = 0;
    for (; !over; ++iterations) loop.runOnce();
    return iterations;
  }

  /// Connects a client and sends bytes; the server handles them when the loop runs.
  int connectAndSend(const std::string& bytes) const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connectTo(socket, server.port()) == 0);
    REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    return socket;
  }

  EventLoop loop;
  std::vector<ExchangeId> exchanges;
  int aborted = 0;
  HttpServer server;
};

const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE_METHOD(Fixture, "without free descriptors a listener waits, and accepts once one is free") {
  const int client = ::socket(AF_INET, SOCK_STREAM, 0);
  {
    DescriptorExhaustion none;
    REQUIRE(connectTo(client, server.port()) == 0);
    REQUIRE(::send(client, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0);
    // A busy loop would run tens of thousands of iterations in this time.
    CHECK(runFor(base::milliseconds(300)) < 50);
    CHECK(server.counters().connections == 0);
  }
  (void)runFor(base::milliseconds(300));
  CHECK(server.counters().connections == 1);
  CHECK(exchanges.size() == 1);
  ::close(client);
}

TEST_CASE_METHOD(Fixture, "clients that disconnect and reconnect leak no descriptors") {
  constexpr size_t kCallers = 200;
  constexpr int kRounds = 6;
  const auto before = openDescriptors().size();
  const auto bytes =
      GENERATE_COPY(as<std::string>(), kRequest,
                    "GET / HTTP/1.1\r\nHost:", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nhalf of it");
  size_t maxLeaked = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<int> callers;
    for (size_t i = 0; i < kCallers; ++i) callers.push_back(connectAndSend(bytes));
    (void)runFor(base::milliseconds(30));
    for (const int caller : callers) ::close(caller);  // its request is unanswered or incomplete
    (void)runFor(base::milliseconds(30));
    maxLeaked = std::max(maxLeaked, openDescriptors().size() - before);
  }
  CHECK(server.counters().connections == kCallers * kRounds);
  CHECK(maxLeaked == 0);
  CHECK(server.pending() == 0);
}

TEST_CASE_METHOD(Fixture, "clients that disconnect before they are accepted leak no descriptors") {
  constexpr int kCallers = 500;
  const auto before = openDescriptors().size();
  for (int i = 0; i < kCallers; ++i) ::close(connectAndSend(kRequest));
  (void)runFor(base::milliseconds(300));
  CHECK(server.counters().connections == kCallers);
  CHECK(openDescriptors().size() == before);
  CHECK(server.pending() == 0);
}

namespace {

/// A server with a small connection limit.
struct BoundedFixture : public Fixture {
  static constexpr size_t kMaxConnections = 8;
  static constexpr auto kIdle = base::milliseconds(50);

  BoundedFixture() {
    HttpServerOptions options;
    options.maxConnections = kMaxConnections;
    options.minIdleBeforeEviction = kIdle;
    server.setOptions(options);
  }
  ~BoundedFixture() {
    for (const int caller : callers) ::close(caller);
  }

  /// Connects clients that each send one request.
  void call(size_t count) {
    for (size_t i = 0; i < count; ++i) callers.push_back(connectAndSend(kRequest));
    (void)runFor(base::milliseconds(30));
  }

  void answerAll() {
    for (const auto exchange : exchanges) server.respond(exchange, {});
    (void)runFor(base::milliseconds(10));
  }

  /// @return whether the server has closed a connection without a reset; discards its responses.
  static bool closedWithoutReset(int caller) {
    char buffer[4096];
    ssize_t count = 0;
    while ((count = ::recv(caller, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
    }
    return count == 0;
  }

  std::vector<int> callers;
};

}  // namespace

TEST_CASE_METHOD(BoundedFixture, "at the connection limit the longest idle connections are evicted") {
  for (size_t i = 0; i < kMaxConnections - 1; ++i) {
    call(1);
    answerAll();
  }
  (void)runFor(2 * kIdle);
  CHECK(server.counters().idleConnectionsEvicted == 0);
  // Each of these two connections reaches the limit.
  call(2);
  CHECK(exchanges.size() == kMaxConnections + 1);
  CHECK(server.connections() < kMaxConnections);
  CHECK(server.accepting());
  CHECK(server.counters().idleConnectionsEvicted == 2);
  for (size_t i = 0; i < callers.size(); ++i) CHECK(closedWithoutReset(callers[i]) == (i < 2));
  CHECK(aborted == 0);
}

TEST_CASE_METHOD(BoundedFixture, "at the limit of connections in use, new connections wait until one ends") {
  call(kMaxConnections + 3);
  CHECK(exchanges.size() == kMaxConnections);
  CHECK(server.connections() == kMaxConnections);
  CHECK(!server.accepting());
  // The loop is not busy meanwhile.
  CHECK(runFor(base::milliseconds(300)) < 50);
  ::close(callers.front());
  callers.erase(callers.begin());
  (void)runFor(base::milliseconds(30));
  CHECK(exchanges.size() == kMaxConnections + 1);
  CHECK(!server.accepting());
  SECTION("or has been idle after its response") {
    answerAll();
    (void)runFor(base::milliseconds(300));
    CHECK(exchanges.size() == kMaxConnections + 3);
    CHECK(server.counters().idleConnectionsEvicted >= 2);
  }
  SECTION("or the limit is raised") {
    server.setOptions({});
    (void)runFor(base::milliseconds(30));
    CHECK(exchanges.size() == kMaxConnections + 3);
    CHECK(server.accepting());
  }
}

TEST_CASE_METHOD(BoundedFixture, "a connection with an unread request is not evicted") {
  call(kMaxConnections);
  answerAll();
  const auto answered = exchanges.size();
  // All but the last have sent another request, which is unread when setOptions() evicts idle connections.
  std::this_thread::sleep_for(2 * kIdle);
  for (size_t i = 0; i + 1 < kMaxConnections; ++i) {
    REQUIRE(::send(callers[i], kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0);
  }
  server.setOptions(server.options());
  CHECK(server.counters().idleConnectionsEvicted == 1);
  (void)runFor(base::milliseconds(30));
  CHECK(exchanges.size() == answered + kMaxConnections - 1);
  CHECK(aborted == 0);
}

TEST_CASE_METHOD(BoundedFixture, "without free descriptors idle connections are evicted") {
  call(4);
  answerAll();
  (void)runFor(2 * kIdle);
  const int late = ::socket(AF_INET, SOCK_STREAM, 0);
  callers.push_back(late);
  DescriptorExhaustion none;
  REQUIRE(connectTo(late, server.port()) == 0);
  REQUIRE(::send(late, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0);
  (void)runFor(base::milliseconds(10));
  CHECK(server.counters().idleConnectionsEvicted == 1);
  CHECK(!server.accepting());
  (void)runFor(base::milliseconds(100));
  CHECK(exchanges.size() == 5);
  CHECK(server.accepting());
}

}  // namespace driftlug::transport
