#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "process_group.h"

namespace driftlug::tools {
namespace {

constexpr int kTimeoutMs = 10'000;
constexpr int kSuspendMs = 2'500;  // exceeds the relay's timers by more than a second
constexpr int kSettleMs = 300;     // time in which an unhandled signal would end the process

/// Listens at a controller's address without accepting connections.
class Listener {
 public:
  Listener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(::bind(socket_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::listen(socket_, SOMAXCONN) == 0);
    REQUIRE(::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~Listener() { ::close(socket_); }

  const std::string& address() const { return address_; }

  /// @return whether a connection arrived in time.
  bool waitForConnection() const {
    pollfd wait{socket_, POLLIN, 0};
    return ::poll(&wait, 1, kTimeoutMs) == 1;
  }

 private:
  int socket_;
  std::string address_;
};

struct Fixture {
  Fixture() {
    char name[] = "/tmp/driftlug-relay-XXXXXX";
    REQUIRE(::mkdtemp(name) != nullptr);
    folder = name;
  }
  ~Fixture() { std::filesystem::remove_all(folder); }

  std::string settings() const { return folder + "/relay.toml"; }

  void writeSettings(const std::string& controllers) const {
    const auto ports = findFreePorts(2);
    std::ofstream(settings()) << "name = \"relay-1\"\nzone = \"zone-1\"\ncontrollers = \"" << controllers
                              << "\"\nframe_port = " << ports[0] << "\nhttp_port = " << ports[1] << "\n";
  }

  std::string folder;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "SIGHUP makes a relay reread its controllers, and invalid settings do not stop it") {
  const Listener first;
  const Listener second;
  ProcessGroup processes(folder);
  writeSettings(first.address());
  REQUIRE(processes.start("relay", {DRIFTLUG_RELAY, "--config=" + settings()}));
  REQUIRE(first.waitForConnection());
  writeSettings(second.address());
  processes.signal("relay", SIGHUP);
  CHECK(second.waitForConnection());
  CHECK(processes.running("relay"));
  writeSettings("nobody");
  processes.signal("relay", SIGHUP);
  ::usleep(kSettleMs * 1000);
  CHECK(processes.running("relay"));
  processes.signal("relay", SIGTERM);
  CHECK(processes.waitFor("relay", kTimeoutMs) == 0);
}

TEST_CASE_METHOD(Fixture, "a relay handles SIGHUP as soon as it opens its first connection") {
  constexpr int kStarts = 10;  // two of five starts were terminated before the fix
  for (int i = 0; i < kStarts; ++i) {
    const Listener controller;
    ProcessGroup processes(folder);
    writeSettings(controller.address());
    REQUIRE(processes.start("relay", {DRIFTLUG_RELAY, "--config=" + settings()}));
    REQUIRE(controller.waitForConnection());
    processes.signal("relay", SIGHUP);
    ::usleep(kSettleMs * 1000);
    CHECK(processes.running("relay"));
    processes.signal("relay", SIGKILL);
  }
}

TEST_CASE_METHOD(Fixture, "a relay detects that it was suspended") {
  const Listener controller;
  ProcessGroup processes(folder);
  writeSettings(controller.address());
  REQUIRE(processes.start("relay", {DRIFTLUG_RELAY, "--config=" + settings()}));
  REQUIRE(controller.waitForConnection());
  processes.signal("relay", SIGSTOP);
  ::usleep(kSuspendMs * 1000);
  processes.signal("relay", SIGCONT);
  const std::string expected = "was away";
  for (int waited = 0; waited < kTimeoutMs && processes.output("relay").find(expected) == std::string::npos;
       waited += kSettleMs) {
    ::usleep(kSettleMs * 1000);
  }
  INFO(processes.output("relay"));  // the process may be stopped before its loop has run
  CHECK(processes.output("relay").find(expected) != std::string::npos);
}

}  // namespace driftlug::tools
