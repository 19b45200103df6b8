/// A simulated process: its scheduler and its state (running, frozen or dead).
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

/// Location of a process.
struct Placement {
  std::string zone;
  std::string region;
};

/// One process across its restarts. Each start begins a new incarnation; callbacks of earlier incarnations never run.
///
/// Invariants: a frozen process runs nothing until it is thawed. Then, as in transport::EventLoop, it runs the timers
/// that came due, the onResumed() handler and the events that its sockets hold, each in order. A dead process runs
/// nothing.
class Process : public base::Scheduler {
 public:
  Process(EventQueue& queue, std::string name, Placement placement, base::Address address)
      : queue_(queue), name_(std::move(name)), placement_(std::move(placement)), address_(std::move(address)) {}

  // base::Scheduler
  base::TimePoint now() const override { return queue_.now() - clockLag_; }
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

  /// Sets whether the process's clock stops while the process is frozen, like a steady clock on a suspended machine.
  /// For tests that show the effects of such a clock.
  void setClockStopsWhileFrozen(bool stops) { clockStopsWhileFrozen_ = stops; }

  /// Makes the work of the process take time on `processor`, which outlives it. Without a processor, work takes no
  /// time.
  void useProcessor(Processor* processor) { processor_ = processor; }

  /// Runs an action at the end of the event in progress.
  void runAfterCurrentEvent(std::function<void()> action);

  /// Sets a handler that is called when the process thaws after a freeze that exceeds the limit of
  /// transport::EventLoop. Reset at the end of the incarnation.
  void onResumed(std::function<void()> handler) { onResumedHandler_ = std::move(handler); }

  /// Runs an action of an incarnation, now or when the process thaws; drops it if the incarnation has ended.
  void run(uint64_t incarnation, std::function<void()> action);

  bool alive() const { return alive_; }
  bool frozen() const { return frozen_; }
  uint64_t incarnation() const { return incarnation_; }
  const std::string& name() const { return name_; }
  const Placement& placement() const { return placement_; }
  const base::Address& address() const { return address_; }

  /// Sets a hook that is called after each event of the process.
  void onEvent(std::function<void()> hook) { eventHook_ = std::move(hook); }

 private:
  struct Timer {
    base::TimerId id = 0;  // id of its first event
    base::TimePoint due;   // on the process's clock
    uint64_t incarnation = 0;
    std::function<void()> callback;
  };

  void runTimer(const std::shared_ptr<Timer>& timer);
  void fire(const std::shared_ptr<Timer>& timer);
  void thaw();
  void runNow(const std::function<void()>& action);

  EventQueue& queue_;
  Processor* processor_ = nullptr;  // null if work takes no time
  std::string name_;
  Placement placement_;
  base::Address address_;
  bool alive_ = false;
  bool frozen_ = false;
  bool clockStopsWhileFrozen_ = false;
  uint64_t incarnation_ = 0;
  base::TimePoint frozenAt_{};
  std::optional<base::TimePoint> readUntil_;           // on the process's clock; set while it thaws
  base::Duration clockLag_{};                          // frozen time that the process's clock didn't count
  std::deque<std::shared_ptr<Timer>> dueWhileFrozen_;  // came due while frozen; cancelled ones have no callback
  std::deque<std::shared_ptr<Timer>> dueWhileBusy_;    // came due while the processor was busy; the same
  std::deque<std::function<void()>> pendingActions_;   // arrived while frozen
  std::unordered_map<base::TimerId, EventId> rescheduledEvents_;  // current events of timers that were rescheduled
  std::function<void()> onResumedHandler_;                        // may be empty
  std::function<void()> eventHook_;                               // may be empty
};

}  // namespace driftlug::simulation
