/// What servers do when descriptors run short, and what callers that give up leave behind.
#include <catch2/catch.hpp>

#include <dirent.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <string>
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

/// Lowers the limit of descriptors so that none is left; restores it at the end.
class NoDescriptorsLeft {
 public:
  NoDescriptorsLeft() {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
    const auto numbers = openDescriptors();
    auto lowered = before_;
    lowered.rlim_cur = 0;
    while (std::find(numbers.begin(), numbers.end(), static_cast<int>(lowered.rlim_cur)) != numbers.end()) {
      ++lowered.rlim_cur;
    }
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~NoDescriptorsLeft() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  NoDescriptorsLeft(const NoDescriptorsLeft&) = delete;
  NoDescriptorsLeft& operator=(const NoDescriptorsLeft&) = delete;

 private:
  rlimit before_{};
};

/// Connects to 127.0.0.1 without waiting.
int connectTo(int socket, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

/// A server that answers only when the test says so.
struct Fixture {
  Fixture()
      : server(
            loop, "server", {}, [this](ExchangeId exchange, const HttpRequest&) { exchanges.push_back(exchange); },
            [this](ExchangeId) { ++aborted; }) {
    REQUIRE(server.listen("127.0.0.1", 0).ok());
  }
  ~Fixture() { loop.close(); }

  /// Runs the loop for some time.
  /// @return its turns
  int runFor(base::Duration duration) {
    bool over = false;
    loop.schedule(duration, [&] { over = true; });
    int turns = 0;
    for (; !over; ++turns) loop.runOnce();
    return turns;
  }

  /// Connects a caller and sends what fits the system's buffers; the server deals with it when the loop runs.
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

TEST_CASE_METHOD(Fixture, "without descriptors a listener waits, and accepts once there are some") {
  const int client = ::socket(AF_INET, SOCK_STREAM, 0);
  {
    NoDescriptorsLeft none;
    REQUIRE(connectTo(client, server.port()) == 0);
    REQUIRE(::send(client, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0);
    // A loop that spins makes tens of thousands of turns in this time.
    CHECK(runFor(base::milliseconds(300)) < 50);
    CHECK(server.counters().connections == 0);
  }
  (void)runFor(base::milliseconds(300));
  CHECK(server.counters().connections == 1);
  CHECK(exchanges.size() == 1);
  ::close(client);
}

TEST_CASE_METHOD(Fixture, "callers that give up and connect again leave no descriptors behind") {
  constexpr size_t kCallers = 200;
  constexpr int kRounds = 6;
  const auto before = openDescriptors().size();
  const auto bytes =
      GENERATE_COPY(as<std::string>(), kRequest,
                    "GET / HTTP/1.1\r\nHost:", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nhalf of it");
  size_t most = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<int> callers;
    for (size_t i = 0; i < kCallers; ++i) callers.push_back(connectAndSend(bytes));
    (void)runFor(base::milliseconds(30));
    for (const int caller : callers) ::close(caller);  // with its request unanswered, or half sent
    (void)runFor(base::milliseconds(30));
    most = std::max(most, openDescriptors().size() - before);
  }
  CHECK(server.counters().connections == kCallers * kRounds);
  CHECK(most == 0);
  CHECK(server.pending() == 0);
}

TEST_CASE_METHOD(Fixture, "callers that gave up before they were accepted leave no descriptors behind") {
  constexpr int kCallers = 500;
  const auto before = openDescriptors().size();
  for (int i = 0; i < kCallers; ++i) ::close(connectAndSend(kRequest));
  (void)runFor(base::milliseconds(300));
  CHECK(server.counters().connections == kCallers);
  CHECK(openDescriptors().size() == before);
  CHECK(server.pending() == 0);
}

}  // namespace driftlug::transport
