/// Concurrency limit of one back end, with a bounded queue ordered by priority and deadline.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "limits/hold_predictor.h"
#include "limits/start_limiter.h"

namespace driftlug::limits {

/// Order in which requests get slots; lower values go first. Values above the named ones belong to routes of lower
/// priority, see priorityFor().
enum class Priority : int {
  kNested = -1,  ///< made by a back end while it runs a call, which fails if this request fails
  kMustRun = 0,  ///< requests that must not be retried, such as filings and orders
  kNormal = 1,
};

/// @return the priority of a request: ordered by the priority of its route (0 is the most urgent), then non-repeatable
/// requests before repeatable ones.
inline Priority priorityFor(int routePriority, bool repeatable) {
  const auto within = static_cast<int>(repeatable ? Priority::kNormal : Priority::kMustRun);
  return static_cast<Priority>(2 * routePriority + within);
}

/// @return the priority of a request that is already late: behind all requests that are not, keeping the order among
/// late ones.
inline Priority latePriority(Priority priority) {
  constexpr int kLateOffset = 1 << 20;
  return static_cast<Priority>(kLateOffset + static_cast<int>(priority));
}

/// Identifies one request within a limiter.
using TicketId = uint64_t;

/// Cumulative counters of a limiter.
struct SlotCounters {
  int64_t admitted = 0;
  int64_t queued = 0;
  int64_t refusedFull = 0;
  int64_t refusedLate = 0;
  int64_t displaced = 0;
};

/// Reason for which a request was refused.
enum class SlotRefusal {
  kQueueFull,
  kWouldBeLate,  ///< no slot is expected before its latest start time
  kClosed,       ///< no new work is accepted
};

/// Limits the number of concurrent requests. Further requests wait in a bounded queue or are refused early, before any
/// work is spent on them.
///
/// Invariants: at most maxConcurrent requests run, except that lowering the limit never aborts running ones; a kNormal
/// request never starts before a queued kMustRun request; while other requests wait, kNested requests hold at most
/// their share of the slots.
class SlotLimiter {
 public:
  using Start = std::function<void()>;
  using Refuse = std::function<void(SlotRefusal)>;

  SlotLimiter(const base::TimeSource& time, int maxConcurrent, int maxQueued);

  /// Changes the limits. Running requests are not affected; queued ones may start or be refused.
  void setLimits(int maxConcurrent, int maxQueued);

  /// Requests a slot. Exactly one of the callbacks is called, immediately or later, unless the ticket is cancelled.
  /// @param latestStart the request is refused if it has not started by then
  /// @param ready false for a request that can't start before setReady(). It keeps its place in the queue, so that it
  /// is not refused once its body has arrived; until then other requests are started ahead of it.
  /// @param kind for the predictor of holding times
  TicketId acquire(Priority priority, base::TimePoint latestStart, Start start, Refuse refuse, bool ready = true,
                   HoldKind kind = 0);

  /// As acquire(), for a request that was promised a slot: it is not refused before its latest start time, also if the
  /// queue is full, and is not displaced. The caller bounds the number of such requests.
  TicketId acquireReserved(Priority priority, base::TimePoint latestStart, Start start, Refuse refuse,
                           bool ready = true, HoldKind kind = 0);

  /// Sets the function that returns the number of slots that are promised up to a time to requests that are not queued
  /// yet and go ahead of a request of the given priority. They count in expectedWait().
  void usePromises(std::function<std::ptrdiff_t(Priority, base::TimePoint)> promised) {
    promised_ = std::move(promised);
  }

  /// Marks a queued request as ready to start; ignored if it is no longer queued.
  void setReady(TicketId ticket);

  /// Refuses all queued requests; running ones are not affected.
  void refuseWaiting();

  /// Sets the share of all slots that kNested requests may hold while others wait.
  void setNestedShare(double share) { nestedShare_ = share; }

  /// Sets the predictor of holding times, which replaces the mean over all requests while it is available.
  /// @param predictor must outlive this object; may be null
  void usePredictor(const HoldPredictor* predictor) { predictor_ = predictor; }

  /// Adds a limit of when requests may start; all limits apply.
  /// @param startLimiter must outlive this object
  void addStartLimiter(StartLimiter* startLimiter) { startLimiters_.push_back(startLimiter); }

  /// @return when the start limits admit the next queued request, if they are what it waits for.
  std::optional<base::TimePoint> nextRateLimitedStart() const;

  /// Starts queued requests while slots are free and the start limits admit them.
  void startWaiting();

  /// Refuses the queued requests that the start limits do not admit before their latest start time.
  void refuseRateLimited();

  /// Frees the slot of a request that has ended.
  /// @param held how long the request held its slot
  /// @param priority the priority that was passed to acquire()
  void release(base::Duration held, Priority priority = Priority::kNormal);

  /// Removes a request from the queue.
  /// @return false if the request had started or is unknown
  bool cancel(TicketId ticket);

  int running() const { return running_; }
  int maxConcurrent() const { return maxConcurrent_; }
  size_t waiting() const { return waiting_.size(); }

  /// @return the estimated time until a new request gets a slot, behind those that are ordered before it.
  base::Duration expectedWait(Priority priority, base::TimePoint latestStart) const;

  /// @return the mean time between two slots becoming free while all are busy; 0 before the first request has ended.
  base::Duration slotInterval() const;

  /// @return the earliest latest-start time of the queued requests; nullopt if the queue is empty.
  std::optional<base::TimePoint> nextExpiry() const;

  /// Refuses the queued requests whose latest start time has passed.
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
    HoldKind kind = 0;
    bool reserved = false;
  };

  using Waiting = std::map<QueueKey, Request>;

  bool mayStart() const;
  std::optional<base::TimePoint> blockedUntil() const;
  base::Duration startInterval() const;
  void refuseLate(const std::function<base::TimePoint(std::ptrdiff_t ahead)>& earliestStart);
  base::Duration rateLimitWait(std::ptrdiff_t ahead) const;
  base::Duration predictedSlotWait(const QueueKey& own) const;
  bool startAtOnce(Priority priority, const Start& start, bool ready);
  void enqueue(const QueueKey& key, Request request);
  Waiting::iterator nextToStart();
  void admit(Priority priority);
  bool displaceFor(Priority priority);
  Waiting::iterator lastDisplaceable();

  const base::TimeSource& time_;
  int maxConcurrent_;
  int maxQueued_;
  int running_ = 0;
  std::vector<StartLimiter*> startLimiters_;
  const HoldPredictor* predictor_ = nullptr;
  int runningNested_ = 0;
  double nestedShare_ = 1;
  std::function<std::ptrdiff_t(Priority, base::TimePoint)> promised_;  // may be empty
  TicketId nextTicket_ = 1;
  Waiting waiting_;           // in start order
  double averageHoldUs_ = 0;  // moving average, 0 before the first sample
  SlotCounters counters_;
};

}  // namespace driftlug::limits
