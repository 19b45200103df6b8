/// A simulated process: its scheduler, and whether it runs, is frozen or is dead.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/network.h"
#include "simulation/event_queue.h"
#include "simulation/processor.h"

namespace driftlug::simulation {

/// Where a process runs.
struct Placement {
  std::string zone;
  std::string region;
};

/// One process across its restarts. Each start is a new incarnation; what an earlier one scheduled never runs.
///
/// Invariants: a frozen process runs nothing until it is thawed; then, as in transport::EventLoop, timers that came
/// due, the handler for having been away, and what waited in its sockets, each in order. A dead process runs nothing.
class Process : public base::Scheduler {
 public:
  Process(EventQueue& queue, std::string name, Placement placement, base::Address address)
      : queue_(queue), name_(std::move(name)), placement_(std::move(placement)), address_(std::move(address)) {}

  // base::Scheduler
  base::TimePoint now() const override { return queue_.now() - slept_; }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override;
  void cancel(base::TimerId id) override;
  base::WallTime wallTime() const override { return base::WallTime(queue_.now().time_since_epoch()); }
  base::TimePoint inputReadUntil() const override;

  /// Begins a new incarnation.
  void start();

  /// Ends the incarnation.
  void kill();

  /// Stops or resumes the execution of events.
  void setFrozen(bool frozen);

  /// Whether the process's own clock doesn't count the time for which it is frozen, as a steady clock on a suspended
  /// machine. For tests that show what such a clock costs.
  void letClockStand(bool stands) { clockStands_ = stands; }

  /// Has what the process does take time on a processor, which outlives it; without one, work takes none.
  void useProcessor(Processor* processor) { processor_ = processor; }

  /// Runs an action when what the process does now has ended.
  void afterwards(std::function<void()> action);

  /// Calls back when a process thaws that was frozen for longer than transport::EventLoop lets pass; forgotten with the
  /// incarnation.
  void onResumed(std::function<void()> handler) { onResumedHandler_ = std::move(handler); }

  /// Runs an action as part of the incarnation, now or when the process thaws; drops it once that one has ended.
  void run(uint64_t incarnation, std::function<void()> action);

  bool alive() const { return alive_; }
  bool frozen() const { return frozen_; }
  uint64_t incarnation() const { return incarnation_; }
  const std::string& name() const { return name_; }
  const Placement& placement() const { return placement_; }
  const base::Address& address() const { return address_; }

  /// Called after each event that the process ran.
  void onEvent(std::function<void()> hook) { eventHook_ = std::move(hook); }

 private:
  struct Timer {
    base::TimerId id = 0;  // of its first event
    base::TimePoint due;   // on the own clock
    uint64_t incarnation = 0;
    std::function<void()> callback;
  };

  void runTimer(const std::shared_ptr<Timer>& timer);
  void fire(const std::shared_ptr<Timer>& timer);
  void thaw();
  void runNow(const std::function<void()>& action);

  EventQueue& queue_;
  Processor* processor_ = nullptr;  // null where work takes no time
  std::string name_;
  Placement placement_;
  base::Address address_;
  bool alive_ = false;
  bool frozen_ = false;
  bool clockStands_ = false;
  uint64_t incarnation_ = 0;
  base::TimePoint frozenAt_{};
  std::optional<base::TimePoint> readUntil_;          // on the own clock, while it thaws
  base::Duration slept_{};                            // what the own clock didn't count
  std::deque<std::shared_ptr<Timer>> dueTimers_;      // came due while frozen; cancelled ones have no callback
  std::deque<std::shared_ptr<Timer>> busyTimers_;     // came due while the processor was at work; the same
  std::deque<std::function<void()>> waiting_;         // arrived while frozen
  std::unordered_map<base::TimerId, EventId> moved_;  // timers whose event is another than their first
  std::function<void()> onResumedHandler_;            // may be empty
  std::function<void()> eventHook_;                   // may be empty
};

}  // namespace driftlug::simulation
