/// The processor of a simulated machine: work takes time, and what comes meanwhile waits.
#pragma once

#include <deque>
#include <functional>

#include "simulation/event_queue.h"

namespace driftlug::simulation {

/// Shared by the processes of a machine, as by the parts of a process that share a loop.
///
/// Invariants: actions run one at a time; when one has ended, the timers that came due meanwhile go before messages, as
/// in transport::EventLoop, each in order.
class Processor {
 public:
  /// Tells the time that the work done since it was last asked would take on this processor.
  using Meter = std::function<base::Duration()>;

  Processor(EventQueue& queue, Meter meter) : queue_(queue), meter_(std::move(meter)) {}

  /// Runs an action, now or when the processor is free.
  void run(bool isTimer, std::function<void()> action);

  /// Runs an action at the end of the one in progress: what is written to a socket leaves at the end of a turn.
  void runAfterCurrentEvent(std::function<void()> action);

  /// @return when the oldest message that waits came, or now.
  base::TimePoint inputReadUntil() const { return messages_.empty() ? queue_.now() : messages_.front().arrivedAt; }

  /// @return longest time that a single action took.
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
  bool wakeUpScheduled_ = false;  // wake() is scheduled
  base::TimePoint freeAt_{};
  base::Duration longestAction_{0};
  std::deque<std::function<void()>> timers_;    // came due while it was at work
  std::deque<Message> messages_;                // came while it was at work
  std::deque<std::function<void()>> deferred_;  // of the action in progress
};

}  // namespace driftlug::simulation
