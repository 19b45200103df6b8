/// The virtual clock: events in order of time, and of scheduling where the time is equal.
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

/// Invariant: time never moves back, and equal schedules run in an equal order.
class EventQueue : public base::TimeSource {
 public:
  base::TimePoint now() const override { return now_; }

  /// Runs `action` at a point in time, or now when that has passed.
  EventId at(base::TimePoint time, std::function<void()> action);

  /// Runs `action` after a delay.
  EventId after(base::Duration delay, std::function<void()> action) { return at(now_ + delay, std::move(action)); }

  /// Forgets an event that has not run yet.
  void cancel(EventId id) { actions_.erase(id); }

  /// Runs the next event.
  /// @return false when there is none up to `limit`; the clock then stands at `limit`
  bool runNext(base::TimePoint limit);

  /// @return events run so far.
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
