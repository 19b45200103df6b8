/// A blocking client socket for tests of a server on the same loop.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "transport/event_loop.h"

namespace driftlug::transport {

/// Runs a loop for 10 ms, so that pending events are handled.
inline void settle(EventLoop& loop) {
  bool over = false;
  loop.schedule(base::milliseconds(10), [&] { over = true; });
  while (!over) loop.runOnce();
}

/// One connection to 127.0.0.1.
class RawClient {
 public:
  /// Whether the server accepts the connection within the constructor or in the next run of the loop.
  enum class AcceptMode { kImmediate, kDeferred };

  RawClient(EventLoop& loop, int port, AcceptMode mode = AcceptMode::kImmediate)
      : loop_(loop), socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    if (AcceptMode::kImmediate == mode) settle(loop_);
  }
  ~RawClient() { close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /// Sends bytes and runs the loop, so that the server handles them.
  void send(const std::string& bytes) {
    REQUIRE(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    settle(loop_);
  }

  /// Sends bytes without running the loop, so that the server has not read them yet.
  void sendUnread(const std::string& bytes) {
    REQUIRE(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }

  /// Closes the sending direction only.
  void shutdownWrite() { ::shutdown(socket_, SHUT_WR); }

  /// Closes with a reset.
  void reset() {
    const linger discard{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    close();
  }

  /// @return all bytes received since the last call.
  std::string receive() {
    settle(loop_);
    std::string all;
    std::string buffer(65536, '\0');
    ssize_t count = 0;
    while ((count = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
      all.append(buffer, 0, static_cast<size_t>(count));
    }
    ended_ = ended_ || count == 0;
    return all;
  }

  /// @return whether the server has closed the connection without a reset.
  bool ended() {
    (void)receive();
    return ended_;
  }

  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }

 private:
  EventLoop& loop_;
  int socket_;
  bool ended_ = false;
};

}  // namespace driftlug::transport
