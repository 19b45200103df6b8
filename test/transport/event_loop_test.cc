#include "transport/event_loop.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace driftlug::transport {
namespace {

/// @return the clock ids of all timerfds of this process, from /proc.
std::string timerClockIds() {
  std::string clocks;
  for (const auto& file : std::filesystem::directory_iterator("/proc/self/fdinfo")) {
    std::ifstream stream(file.path());
    for (std::string line; std::getline(stream, line);) {
      if (line.rfind("clockid:", 0) == 0) clocks += line.substr(line.find_last_of(" \t") + 1) + ";";
    }
  }
  return clocks;
}

constexpr base::Duration kStopDuration = base::milliseconds(1500);

/// A child process that runs a loop and reports its events on a pipe, in order, one letter each.
class Child {
 public:
  /// Sets up the loop of the child; receives its input descriptor and a function that reports a letter.
  using SetUp = std::function<void(EventLoop&, int, const std::function<void(char)>&)>;

  explicit Child(const SetUp& setUp) {
    REQUIRE(::pipe(toChild_) == 0);
    REQUIRE(::pipe(fromChild_) == 0);
    process_ = ::fork();
    REQUIRE(process_ >= 0);
    if (process_ == 0) run(setUp);
  }

  ~Child() {
    int status = 0;
    CHECK(::waitpid(process_, &status, 0) == process_);
    for (const int end : {toChild_[0], toChild_[1], fromChild_[0], fromChild_[1]}) ::close(end);
  }

  /// @return the reported letters up to and including `last`.
  std::string readEventsUntil(char last) {
    std::string events;
    char letter = 0;
    while (events.find(last) == std::string::npos && ::read(fromChild_[0], &letter, 1) == 1) events += letter;
    return events;
  }

  void write() { REQUIRE(::write(toChild_[1], "x", 1) == 1); }

  /// Stops the child for a duration; input arrives meanwhile.
  void stopFor(base::Duration duration) {
    REQUIRE(::kill(process_, SIGSTOP) == 0);
    write();
    ::usleep(static_cast<useconds_t>(duration.count()));
    REQUIRE(::kill(process_, SIGCONT) == 0);
  }

 private:
  [[noreturn]] void run(const SetUp& setUp) {
    EventLoop loop;
    const auto report = [this](char letter) { (void)!::write(fromChild_[1], &letter, 1); };
    ::fcntl(toChild_[0], F_SETFL, O_NONBLOCK);
    setUp(loop, toChild_[0], report);
    report('.');
    loop.run();
    ::_exit(0);
  }

  int toChild_[2] = {-1, -1};
  int fromChild_[2] = {-1, -1};
  pid_t process_ = 0;
};

}  // namespace

TEST_CASE("the clock and the timers include the time for which the machine was suspended") {
  EventLoop loop;
  const auto before = base::BootClock::now();
  const auto now = loop.now();
  CHECK(now >= before);
  CHECK(now <= base::BootClock::now());
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  CHECK(std::abs(now.time_since_epoch() / base::seconds(1) - time.tv_sec) <= 1);
  CHECK(timerClockIds() == std::to_string(CLOCK_BOOTTIME) + ";");
  loop.close();
}

TEST_CASE("after a stop, expired timers run and the stall is reported before pending input is read") {
  Child child([](EventLoop& loop, int in, const auto& report) {
    loop.onStall([report](base::Duration late) { report(late > kStopDuration / 2 ? 'o' : '?'); });
    // Expires while the process is stopped.
    loop.schedule(base::milliseconds(600), [report] { report('t'); });
    loop.watchFile(in, [&loop, in, report] {
      char byte = 0;
      if (::read(in, &byte, 1) != 1) return;
      report('r');
      loop.stop();
    });
  });
  CHECK(child.readEventsUntil('.') == ".");
  ::usleep(100'000);  // now the child waits for an event
  child.stopFor(base::milliseconds(600) + kStopDuration);
  CHECK(child.readEventsUntil('r') == "tor");
}

TEST_CASE("a stall within an iteration is reported before more input is read") {
  Child child([](EventLoop& loop, int in, const auto& report) {
    loop.onStall([report](base::Duration late) { report(late > kStopDuration ? 'o' : '?'); });
    loop.watchFile(in, [&loop, in, report, reads = 0]() mutable {
      char byte = 0;
      if (::read(in, &byte, 1) != 1) return;
      report('r');
      if (++reads == 2) return loop.stop();
      ::usleep(300'000);  // the child is stopped during this sleep
    });
  });
  child.write();
  CHECK(child.readEventsUntil('r') == ".r");
  child.stopFor(kStopDuration + base::seconds(1));
  CHECK(child.readEventsUntil('r') == "or");
}

TEST_CASE("a long event and a wait without timers are not reported as stalls") {
  Child child([](EventLoop& loop, int in, const auto& report) {
    loop.onStall([report](base::Duration /*late*/) { report('o'); });
    loop.watchFile(in, [&loop, in, report, reads = 0]() mutable {
      char byte = 0;
      if (::read(in, &byte, 1) != 1) return;
      report('r');
      if (++reads == 2) return loop.stop();
      ::usleep(1'200'000);
    });
  });
  ::usleep(1'200'000);
  child.write();
  CHECK(child.readEventsUntil('r') == ".r");
  child.write();
  CHECK(child.readEventsUntil('r') == "r");
}

TEST_CASE("a long event is counted, a long wait is not") {
  EventLoop loop;
  loop.schedule(base::milliseconds(150), [&loop] {
    ::usleep(120'000);
    loop.schedule(base::milliseconds(1), [&loop] { loop.stop(); });
  });
  loop.run();
  CHECK(loop.longEvents().count == 1);
  CHECK(loop.longEvents().longest >= base::milliseconds(120));
}

TEST_CASE("after a long event the input counts as read up to its beginning") {
  EventLoop loop;
  int ends[2] = {-1, -1};
  REQUIRE(::pipe2(ends, O_NONBLOCK | O_CLOEXEC) == 0);
  constexpr base::Duration kLong = base::milliseconds(200);
  std::vector<base::Duration> unread;  // age of inputReadUntil() in timer callbacks
  loop.watchFile(ends[0], [&] {
    char byte = 0;
    if (::read(ends[0], &byte, 1) != 1) return;
    loop.schedule(kLong / 2, [&] {
      unread.push_back(loop.now() - loop.inputReadUntil());
      loop.schedule(kLong / 4, [&] {
        unread.push_back(loop.now() - loop.inputReadUntil());
        loop.stop();
      });
    });
    ::usleep(static_cast<useconds_t>(kLong.count()));
  });
  REQUIRE(::write(ends[1], "x", 1) == 1);
  loop.run();
  REQUIRE(unread.size() == 2);
  CHECK(unread[0] >= kLong);
  CHECK(unread[1] < kLong / 2);
}

}  // namespace driftlug::transport
