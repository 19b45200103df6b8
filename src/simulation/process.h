/// A simulated process: its scheduler, and whether it runs, is frozen or is dead.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/network.h"
#include "simulation/event_queue.h"

namespace driftlug::simulation {

/// Where a process runs.
struct Placement {
  std::string zone;
  std::string region;
};

/// One process across its restarts. Each start is a new incarnation; what an earlier one scheduled never runs.
///
/// Invariants: a frozen process runs nothing until it is thawed, then everything that came due, in order; a dead
/// process runs nothing.
class Process : public base::Scheduler {
 public:
  Process(EventQueue& queue, std::string name, Placement placement, base::Address address)
      : queue_(queue), name_(std::move(name)), placement_(std::move(placement)), address_(std::move(address)) {}

  // base::Scheduler
  base::TimePoint now() const override { return queue_.now(); }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override;
  void cancel(base::TimerId id) override;
  base::WallTime wallTime() const override { return base::WallTime(queue_.now().time_since_epoch()); }

  /// Begins a new incarnation.
  void start();

  /// Ends the incarnation.
  void kill();

  /// Stops or resumes the execution of events.
  void setFrozen(bool frozen);

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
  struct Deferred {
    EventId id;  // 0 for what is not a timer
    std::function<void()> action;
  };

  void runOrDefer(uint64_t incarnation, EventId id, std::function<void()> action);

  EventQueue& queue_;
  std::string name_;
  Placement placement_;
  base::Address address_;
  bool alive_ = false;
  bool frozen_ = false;
  uint64_t incarnation_ = 0;
  std::deque<Deferred> deferred_;    // came due while frozen
  std::function<void()> eventHook_;  // may be empty
};

}  // namespace driftlug::simulation
