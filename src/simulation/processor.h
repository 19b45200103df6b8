/// The processor of a simulated machine: work takes time, and events that arrive meanwhile are queued.
#pragma once

#include <deque>
#include <functional>

#include "simulation/event_queue.h"

namespace driftlug::simulation {

/// Shared by the processes of a machine, like an event loop that is shared by the parts of a process.
///
/// Invariants: actions run one at a time. When one has ended, the timers that came due meanwhile run before the queued
/// messages, as in transport::EventLoop, each in order.
class Processor {
 public:
  /// Returns the time that the work done since its previous call takes on this processor.
  using Meter = std::function<base::Duration()>;

  Processor(EventQueue& queue, Meter meter) : queue_(queue), meter_(std::move(meter)) {}

  /// Runs an action, now or once the processor is free.
  void run(bool isTimer, std::function<void()> action);

  /// Runs an action at the end of the one in progress, as data written to a socket leaves at the end of a loop
  /// iteration.
  void runAfterCurrentEvent(std::function<void()> action);

  /// @return the arrival time of the oldest queued message, or now if none is queued.
  base::TimePoint inputReadUntil() const { return messages_.empty() ? queue_.now() : messages_.front().arrivedAt; }

  /// @return the longest time that a single action took.
  base::Duration longestAction() const { return longestAction_; }

 private:
  struct Message {
    base::TimePoint arrivedAt;
    std::function<void()> action;
  };

  void runNow(const std::function<void()>& action);
  void scheduleWakeUp();
  std::function<void()> takeNext();

  EventQueue& queue_;
  Meter meter_;
  bool working_ = false;
  bool wakeUpScheduled_ = false;  // the callback of scheduleWakeUp() is pending
  base::TimePoint freeAt_{};
  base::Duration longestAction_{0};
  std::deque<std::function<void()>> timers_;    // came due while it was busy
  std::deque<Message> messages_;                // arrived while it was busy
  std::deque<std::function<void()>> deferred_;  // run at the end of the action in progress
};

}  // namespace driftlug::simulation
