#include "transport/event_loop.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

namespace driftlug::transport {
namespace {

/// @return the clocks of all timers that this process has, as the system tells.
std::string clocksOfTimers() {
  std::string clocks;
  for (const auto& file : std::filesystem::directory_iterator("/proc/self/fdinfo")) {
    std::ifstream stream(file.path());
    for (std::string line; std::getline(stream, line);) {
      if (line.rfind("clockid:", 0) == 0) clocks += line.substr(line.find_last_of(" \t") + 1) + ";";
    }
  }
  return clocks;
}

constexpr base::Duration kStopped = base::milliseconds(1500);

/// A process of its own that says on a pipe what happens to it, in order.
/// @param in what it reads
/// @param out where it writes a letter for each event: t for a timer, o for having overslept, r for something to read
[[noreturn]] void runChild(int in, int out) {
  EventLoop loop;
  const auto say = [out](char letter) { (void)!::write(out, &letter, 1); };
  loop.onOverslept([&](base::Duration late) {
    if (late > kStopped / 2) say('o');
  });
  // Due while the process is stopped.
  loop.schedule(base::milliseconds(600), [&] { say('t'); });
  ::fcntl(in, F_SETFL, O_NONBLOCK);
  loop.watchFile(in, [&] {
    char byte = 0;
    if (::read(in, &byte, 1) != 1) return;
    say('r');
    loop.stop();
  });
  say('.');
  loop.run();
  ::_exit(0);
}

}  // namespace

TEST_CASE("time and timers count what a suspended machine does not see") {
  EventLoop loop;
  const auto before = base::BootClock::now();
  const auto now = loop.now();
  CHECK(now >= before);
  CHECK(now <= base::BootClock::now());
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  CHECK(std::abs(now.time_since_epoch() / base::seconds(1) - time.tv_sec) <= 1);
  CHECK(clocksOfTimers() == std::to_string(CLOCK_BOOTTIME) + ";");
  loop.close();
}

TEST_CASE("a process that was stopped does what is due, and hears of it, before it reads what has waited") {
  int toChild[2] = {-1, -1};
  int fromChild[2] = {-1, -1};
  REQUIRE(::pipe(toChild) == 0);
  REQUIRE(::pipe(fromChild) == 0);
  const auto child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) runChild(toChild[0], fromChild[1]);
  char letter = 0;
  REQUIRE(::read(fromChild[0], &letter, 1) == 1);
  ::usleep(100'000);  // it waits for an event now
  REQUIRE(::kill(child, SIGSTOP) == 0);
  REQUIRE(::write(toChild[1], "x", 1) == 1);
  ::usleep(static_cast<useconds_t>((base::milliseconds(600) + kStopped).count()));
  REQUIRE(::kill(child, SIGCONT) == 0);
  std::string events;
  while (events.find('r') == std::string::npos && ::read(fromChild[0], &letter, 1) == 1) events += letter;
  CHECK(events == "tor");
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  for (const int end : {toChild[0], toChild[1], fromChild[0], fromChild[1]}) ::close(end);
}

}  // namespace driftlug::transport
