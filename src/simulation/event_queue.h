/// The virtual clock: runs events in order of time; events at the same time run in the order of their scheduling.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace driftlug::simulation {

/// Identifies an event; never reused.
using EventId = uint64_t;

/// Invariants: time never moves backwards, and identical schedules run in an identical order.
class EventQueue : public base::TimeSource {
 public:
  base::TimePoint now() const override { return now_; }

  /// Schedules `action` at a point in time, or now if that has passed.
  EventId at(base::TimePoint time, std::function<void()> action);

  /// Schedules `action` after a delay.
  EventId after(base::Duration delay, std::function<void()> action) { return at(now_ + delay, std::move(action)); }

  /// Cancels an event that has not run yet.
  void cancel(EventId id) { actions_.erase(id); }

  /// Runs the next event.
  /// @return false if no event is due by `limit`; the clock is then advanced to `limit`
  bool runNext(base::TimePoint limit);

  /// @return the number of events run so far.
  uint64_t executed() const { return executed_; }

 private:
  struct Entry {
    base::TimePoint time;
    EventId id;
    bool operator>(const Entry& other) const { return std::tie(time, id) > std::tie(other.time, other.id); }
  };

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> order_;  // cancelled entries stay until their time
  std::unordered_map<EventId, std::function<void()>> actions_;
  base::TimePoint now_{};
  EventId nextId_ = 1;
  uint64_t executed_ = 0;
};

}  // namespace driftlug::simulation
