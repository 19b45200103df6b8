/// Time as the decision logic sees it: durations and points on a clock that only moves forward, in microseconds.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace driftlug::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @return a duration in whole milliseconds, as messages and headers carry it.
inline int32_t millisecondsOf(Duration duration) { return static_cast<int32_t>(duration.count() / 1000); }

/// @return a duration from what is counted in microseconds with fractions, as averages are.
inline Duration microsecondsOf(double count) { return Duration(static_cast<int64_t>(count)); }

/// The clock of all promises that rest on time. It counts the time for which the machine was suspended too: with a
/// clock that doesn't, a process that is back after some seconds believes leases, freshness and deadlines that have
/// passed.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

/// A process that wakes so long after it was to was away: longer than one waits for a processor once it is to wake;
/// peers hold a silent connection for lost by then.
constexpr Duration kStallThreshold = seconds(1);

/// A point on the process's (or the simulation's) clock.
using TimePoint = BootClock::time_point;

/// Source of such time; never compared between processes.
class TimeSource {
 public:
  virtual ~TimeSource() = default;

  /// @return the current point in time.
  virtual TimePoint now() const = 0;
};

/// A point in calendar time; differs between machines, and is used for windows of hours only.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Identifies a scheduled callback; 0 is never used.
using TimerId = uint64_t;

/// Runs callbacks later, on the caller's event loop.
class Scheduler : public TimeSource {
 public:
  /// Runs `callback` once after `delay`.
  /// @return an id for cancel().
  virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;

  /// Forgets a callback that has not run yet; unknown ids are ignored.
  virtual void cancel(TimerId id) = 0;

  /// @return calendar time; in a simulation it runs with the virtual clock.
  virtual WallTime wallTime() const = 0;

  /// After a stall, input that arrived meanwhile is still unread, so the silence of peers is measured up to this time.
  /// @return the time until which all input that had arrived was read.
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

  /// @return whether the callback is still to come.
  bool running() const { return id_ != 0; }

 private:
  Scheduler& scheduler_;            // outlives the timer
  std::function<void()> callback_;  // runs on the scheduler's loop
  TimerId id_ = 0;                  // 0 while stopped
};

}  // namespace driftlug::base
