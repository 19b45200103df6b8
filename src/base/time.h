/// Clock, timer and scheduler interfaces with a monotonic clock in microseconds.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace driftlug::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return a duration in whole milliseconds, as used in messages and headers.
inline int32_t millisecondsOf(Duration duration) { return static_cast<int32_t>(duration.count() / 1000); }

/// @return a duration from a fractional number of microseconds, such as an average.
inline Duration microsecondsOf(double count) { return Duration(static_cast<int64_t>(count)); }

/// Clock for leases, freshness and deadlines (CLOCK_BOOTTIME). It includes the time for which the machine was
/// suspended: otherwise a process that resumes after some seconds would still trust expired leases, freshness and
/// deadlines.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

/// A wakeup this late counts as a stall. Longer than regular scheduling delays; peers treat a silent connection as lost
/// by then.
constexpr Duration kStallThreshold = seconds(1);

/// A point in time on the clock of the process or the simulation.
using TimePoint = BootClock::time_point;

/// Source of the current time. Values must not be compared between processes.
class TimeSource {
 public:
  virtual ~TimeSource() = default;

  /// @return the current point in time.
  virtual TimePoint now() const = 0;
};

/// A point in calendar time. It differs between machines and is used only for time windows of hours.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Identifies a scheduled callback; never 0.
using TimerId = uint64_t;

/// Runs callbacks later, on the caller's event loop.
class Scheduler : public TimeSource {
 public:
  /// Runs `callback` once after `delay`.
  /// @return an id for cancel().
  virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;

  /// Cancels a callback that has not run yet; unknown ids are ignored.
  virtual void cancel(TimerId id) = 0;

  /// @return calendar time; in a simulation it advances with the virtual clock.
  virtual WallTime wallTime() const = 0;

  /// After a stall, input that arrived meanwhile is still unread, so timeouts of peers are measured up to this time.
  /// @return the time up to which all arrived input was read.
  virtual TimePoint inputReadUntil() const { return now(); }
};

/// A single restartable timer that cancels itself on destruction.
class Timer {
 public:
  Timer(Scheduler& scheduler, std::function<void()> callback) : scheduler_(scheduler), callback_(std::move(callback)) {}
  ~Timer() { stop(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// (Re)starts the timer.
  void start(Duration delay) {
    stop();
    id_ = scheduler_.schedule(delay, [this] {
      id_ = 0;
      callback_();
    });
  }

  /// Stops the timer if it runs.
  void stop() {
    if (id_ != 0) scheduler_.cancel(id_);
    id_ = 0;
  }

  /// @return whether the callback is pending.
  bool running() const { return id_ != 0; }

 private:
  Scheduler& scheduler_;            // outlives the timer
  std::function<void()> callback_;  // runs on the scheduler's loop
  TimerId id_ = 0;                  // 0 while stopped
};

}  // namespace driftlug::base
