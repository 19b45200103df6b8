#include "transport/tcp_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <optional>

#include "base/error.h"

namespace driftlug::transport {
namespace {

/// Counts received bytes and records how the stream ended.
struct Recorder : public StreamHandler {
  void onConnected() override { connected = true; }
  void onBytes(std::string_view bytes) override { received += bytes.size(); }
  void onClosed(bool orderly) override { closed = orderly; }

  bool connected = false;
  size_t received = 0;
  std::optional<bool> closed;  // set when the stream has ended; whether it was closed without a reset
};

/// A listener with one connected blocking client socket that has a small receive window.
struct Fixture {
  Fixture()
      : listener(loop, [this](std::shared_ptr<TcpStream> stream) {
          accepted = std::move(stream);
          accepted->setHandler(&recorder);
        }) {
    REQUIRE(listener.listen("127.0.0.1", 0, {}).ok());
    client = ::socket(AF_INET, SOCK_STREAM, 0);
    const int window = 4096;
    ::setsockopt(client, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(listener.port()));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    while (!accepted) loop.runOnce();
  }

  ~Fixture() {
    if (client >= 0) ::close(client);
    loop.close();
  }

  /// Runs the loop for 20 ms, so that pending events are handled.
  void settle() {
    bool over = false;
    loop.schedule(base::milliseconds(20), [&] { over = true; });
    while (!over) loop.runOnce();
  }

  EventLoop loop;
  Recorder recorder;
  std::shared_ptr<TcpStream> accepted;
  TcpListener listener;
  int client = -1;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a refused connection is distinguished from a lost one") {
  Recorder outgoing;
  const auto up = TcpStream::connect(loop, {"127.0.0.1", listener.port()}, &outgoing, {});
  while (!outgoing.connected) loop.runOnce();
  up->shutdownWrite();
  accepted->close();
  while (!outgoing.closed) loop.runOnce();
  CHECK_FALSE(up->refused());

  // A port that was just released, so that nothing listens on it.
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(::bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  socklen_t size = sizeof(address);
  REQUIRE(::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  ::close(probe);
  Recorder refused;
  const auto none = TcpStream::connect(loop, {"127.0.0.1", ntohs(address.sin_port)}, &refused, {});
  while (!refused.closed) loop.runOnce();
  CHECK_FALSE(refused.connected);
  CHECK(none->refused());
}

TEST_CASE_METHOD(Fixture, "bytes beyond the receive window are sent as the peer reads") {
  constexpr size_t kBytes = 24U << 20;
  accepted->write(std::string(kBytes, 'x'));
  size_t got = 0;
  std::string buffer(10'000, '\0');
  while (got < kBytes) {
    settle();
    // Reads all available bytes, so that the window opens only from time to time.
    ssize_t count = 0;
    size_t before = got;
    while ((count = ::recv(client, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) got += static_cast<size_t>(count);
    REQUIRE(got > before);
  }
  CHECK(got == kBytes);
}

TEST_CASE_METHOD(Fixture, "an orderly close is distinguished from a reset") {
  SECTION("orderly close") {
    ::close(client);
    client = -1;
    while (!recorder.closed) loop.runOnce();
    CHECK(*recorder.closed);
  }
  SECTION("reset") {
    const linger discard{1, 0};
    ::setsockopt(client, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    ::close(client);
    client = -1;
    while (!recorder.closed) loop.runOnce();
    CHECK(!*recorder.closed);
  }
}

TEST_CASE_METHOD(Fixture, "an address that is in use is a typed error") {
  TcpListener second(loop, [](std::shared_ptr<TcpStream>) {});
  const auto status = second.listen("127.0.0.1", listener.port(), {});
  CHECK(base::errorCodeOf(status) == base::ErrorCode::kConnectFailed);
}

TEST_CASE_METHOD(Fixture, "an address that is not an IP address is a typed error") {
  TcpListener second(loop, [](std::shared_ptr<TcpStream>) {});
  CHECK(base::errorCodeOf(second.listen("nowhere", 0, {})) == base::ErrorCode::kConnectFailed);
}

// Guards against bodies that overtake the bytes around them, and against ones that are held after they were sent.
TEST_CASE_METHOD(Fixture, "bodies and other bytes arrive in the order in which they were written") {
  memory::body_budget budget;
  std::string expected;
  for (int i = 0; i < 12; ++i) {
    const std::string head = "head " + std::to_string(i);
    const std::string body(static_cast<size_t>(20'000 + 7'919 * i), static_cast<char>('a' + i));
    expected += head + body;
    accepted->write(head);
    accepted->writeBody(memory::shared_body(
        body, std::move(*budget.reserve(memory::body_use::caller_response, static_cast<int64_t>(body.size())))));
    if (i % 4 == 3) settle();
  }
  accepted->write("end");
  expected += "end";
  std::string received;
  std::string buffer(3000, '\0');
  while (received.size() < expected.size()) {
    settle();
    ssize_t count = 0;
    while ((count = ::recv(client, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
      received.append(buffer, 0, static_cast<size_t>(count));
    }
    REQUIRE(count != 0);
  }
  CHECK((received == expected));
  CHECK(accepted->queuedBytes() == 0);
  CHECK(accepted->sentBytes() == static_cast<int64_t>(expected.size()));
  CHECK(budget.heldBytes() == 0);
}

// Guards against bytes that are delivered behind a pause, and are then read in the wrong order.
TEST_CASE_METHOD(Fixture, "a paused stream delivers nothing more until it is resumed") {
  struct Pausing : public Recorder {
    void onBytes(std::string_view bytes) override {
      Recorder::onBytes(bytes);
      stream->setReading(false);
    }
    TcpStream* stream = nullptr;
  } pausing;
  pausing.stream = accepted.get();
  accepted->setHandler(&pausing);
  const std::string bytes(300'000, 'x');
  size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = ::send(client, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT);
    if (count <= 0) break;
    sent += static_cast<size_t>(count);
  }
  REQUIRE(sent > 70'000);
  settle();
  const auto first = pausing.received;
  CHECK(first <= 65'536);
  settle();
  CHECK(pausing.received == first);
  accepted->setReading(true);
  settle();
  CHECK(pausing.received > first);
}

}  // namespace driftlug::transport
