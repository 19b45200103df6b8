/// Slots of one back end, with a short queue in order of deadline and priority.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/time.h"
#include "limits/cold_start_limiter.h"

namespace driftlug::limits {

/// Which requests go first when slots are short; the lower the number, the more urgent. Numbers above those named
/// here come from routes of lower priority, see priorityFor().
enum class Priority : int {
  kNested = -1,  ///< made by a back end for a call that it is running, which fails with it
  kMustRun = 0,  ///< filings, orders: requests that may not be repeated
  kNormal = 1,
};

/// @return the rank of a request: by the priority of its route (0 is the most urgent), then by whether it may be
/// repeated.
inline Priority priorityFor(int routePriority, bool repeatable) {
  const auto within = static_cast<int>(repeatable ? Priority::kNormal : Priority::kMustRun);
  return static_cast<Priority>(2 * routePriority + within);
}

/// @return the rank of a request that is late already: behind all that are not, and in the same order among its kind.
inline Priority latePriority(Priority priority) {
  constexpr int kLateOffset = 1 << 20;
  return static_cast<Priority>(kLateOffset + static_cast<int>(priority));
}

/// Identifies one request within a limiter.
using TicketId = uint64_t;

/// Counters of a limiter.
struct SlotCounters {
  int64_t admitted = 0;
  int64_t queued = 0;
  int64_t refusedFull = 0;
  int64_t refusedLate = 0;
  int64_t displaced = 0;
};

/// Why a request was not started.
enum class SlotRefusal {
  kQueueFull,
  kWouldBeLate,  ///< its deadline would pass before a slot is free
  kClosed,       ///< no new work is taken
};

/// Bounds how many requests run at once; the others wait in a bounded queue or are refused while that is cheap.
///
/// Invariants: at most maxConcurrent requests run, except that a smaller limit never cuts running ones; a
/// kNormal request never starts before a waiting kMustRun request; while others wait, kNested requests hold at most
/// their share of the slots.
class SlotLimiter {
 public:
  using Start = std::function<void()>;
  using Refuse = std::function<void(SlotRefusal)>;

  SlotLimiter(const base::TimeSource& time, int maxConcurrent, int maxQueued);

  /// Changes the limits; running requests go on, waiting ones may start or be refused.
  void setLimits(int maxConcurrent, int maxQueued);

  /// Asks for a slot. Exactly one of the callbacks is called, now or later, unless the ticket is cancelled.
  /// @param latestStart when the request must have started to be of use; nothing starts later
  /// @param ready false for a request that can't start before setReady(): it keeps its place in the queue meanwhile, so
  /// that what is on its way for it is not refused when it is there, and others go first as long as it isn't.
  TicketId acquire(Priority priority, base::TimePoint latestStart, Start start, Refuse refuse, bool ready = true);

  /// A request that waits may start from now on; ignored for one that does not wait any more.
  void setReady(TicketId ticket);

  /// Refuses everything that waits; what runs goes on.
  void refuseWaiting();

  /// Bounds the slots that kNested requests may hold while others wait, as a share of all.
  void setNestedShare(double share) { nestedShare_ = share; }

  /// Starts no more than a pace allows.
  /// @param pace outlives this object; null for none
  void setColdStartLimiter(ColdStartLimiter* coldStartLimiter) { coldStartLimiter_ = coldStartLimiter; }

  /// @return when the pace lets the next of the waiting requests start, if it is the pace that it waits for.
  std::optional<base::TimePoint> nextRateLimitedStart() const;

  /// Starts what waits, as far as there is room and the pace allows.
  void startWaiting();

  /// A request that had started has ended.
  /// @param held how long it held its slot
  /// @param priority what it was acquired with
  void release(base::Duration held, Priority priority = Priority::kNormal);

  /// Gives up a request that waits.
  /// @return false when it had started or was unknown
  bool cancel(TicketId ticket);

  int running() const { return running_; }
  size_t waiting() const { return waiting_.size(); }

  /// @return an estimate of when a new request would get a slot, behind those that go before it.
  base::Duration expectedWait(Priority priority, base::TimePoint latestStart) const;

  /// @return the mean time between two slots becoming free while all are busy; 0 before the first request ended.
  base::Duration slotInterval() const;

  /// @return when the first of the waiting requests would start too late; nothing while none waits.
  std::optional<base::TimePoint> nextExpiry() const;

  /// Refuses the waiting requests that can't start in time any more.
  void refuseExpired();

  const SlotCounters& counters() const { return counters_; }

 private:
  struct QueueKey {
    Priority priority;
    base::TimePoint latestStart;
    TicketId ticket;
    auto operator<=>(const QueueKey&) const = default;
  };

  struct Request {
    Start start;
    Refuse refuse;
    bool ready = true;
  };

  using Waiting = std::map<QueueKey, Request>;

  bool mayStart() const;
  base::Duration rateLimitWait(std::ptrdiff_t ahead) const;
  Waiting::iterator nextToStart();
  void admit(Priority priority);
  bool displaceFor(Priority priority);

  const base::TimeSource& time_;
  int maxConcurrent_;
  int maxQueued_;
  int running_ = 0;
  ColdStartLimiter* coldStartLimiter_ = nullptr;  // may stay null
  int runningNested_ = 0;
  double nestedShare_ = 1;
  TicketId nextTicket_ = 1;
  Waiting waiting_;           // first to start first
  double averageHoldUs_ = 0;  // moving average of how long a slot is held
  SlotCounters counters_;
};

}  // namespace driftlug::limits
