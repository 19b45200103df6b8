#include "limits/slot_limiter.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>
#include <vector>

namespace driftlug::limits {
namespace {

constexpr double kAverageWeight = 0.1;

/// Spreads predicted rests, in ascending order, as rests with their deviations are spread: the first of several slots
/// becomes free earlier than any single prediction says. Uses the quantiles of a logistic distribution.
void spreadRests(std::vector<RunningHold>* holds) {
  constexpr double kScalePerDeviation = 0.72;  // a logistic distribution of scale 1 has a mean deviation of 2 ln 2
  const auto count = static_cast<double>(holds->size());
  double position = 0.5;
  for (auto& hold : *holds) {
    const double share = position++ / count;
    const double shiftUs =
        kScalePerDeviation * static_cast<double>(hold.deviation.count()) * std::log(share / (1 - share));
    hold.rest = std::max(base::Duration(0), hold.rest + base::microsecondsOf(shiftUs));
  }
}

}  // namespace

SlotLimiter::SlotLimiter(const base::TimeSource& time, int maxConcurrent, int maxQueued)
    : time_(time), maxConcurrent_(maxConcurrent), maxQueued_(maxQueued) {}

void SlotLimiter::setLimits(int maxConcurrent, int maxQueued) {
  maxConcurrent_ = maxConcurrent;
  maxQueued_ = maxQueued;
  while (waiting_.size() > static_cast<size_t>(std::max(0, maxQueued_))) {
    const auto displaceable = lastDisplaceable();
    if (displaceable == waiting_.end()) break;
    auto last = waiting_.extract(displaceable);
    ++counters_.refusedFull;
    last.mapped().refuse(SlotRefusal::kQueueFull);
  }
  startWaiting();
}

std::optional<base::TimePoint> SlotLimiter::blockedUntil() const {
  std::optional<base::TimePoint> until;
  for (const auto* limiter : startLimiters_) {
    const auto blocked = limiter->blockedUntil();
    if (blocked && (!until || *blocked > *until)) until = blocked;
  }
  return until;
}

base::Duration SlotLimiter::startInterval() const {
  base::Duration interval{0};
  for (const auto* limiter : startLimiters_) interval = std::max(interval, limiter->interval());
  return interval;
}

bool SlotLimiter::mayStart() const { return running_ < maxConcurrent_ && !blockedUntil(); }

std::optional<base::TimePoint> SlotLimiter::nextRateLimitedStart() const {
  if (waiting_.empty() || running_ >= maxConcurrent_) return std::nullopt;
  return blockedUntil();
}

base::Duration SlotLimiter::rateLimitWait(std::ptrdiff_t ahead) const {
  const auto held = blockedUntil();
  return (held ? *held - time_.now() : base::Duration(0)) + startInterval() * ahead;
}

base::Duration SlotLimiter::expectedWait(Priority priority, base::TimePoint latestStart) const {
  const QueueKey own{priority, latestStart, nextTicket_};
  const auto before = std::distance(waiting_.begin(), waiting_.lower_bound(own));
  // A slot can be free while requests are queued only if some of the queued requests are not ready.
  const auto free = std::max(0, maxConcurrent_ - running_);
  const auto ahead = 1 + before - free;
  const auto rateWait = rateLimitWait(before);
  if (ahead <= 0) return rateWait;
  const auto holdTimes = [this](std::ptrdiff_t requests) {
    const auto share = static_cast<double>(requests) / std::max(1, maxConcurrent_);
    return base::Duration(static_cast<int64_t>(averageHoldUs_ * share));
  };
  const bool predicted = predictor_ != nullptr && predictor_->available();
  const auto wait = predicted ? predictedSlotWait(own) : holdTimes(ahead);
  const auto promised = promised_ ? promised_(priority, time_.now() + wait) : 0;
  return std::max<base::Duration>(rateWait, predicted ? wait + promised * slotInterval() : holdTimes(ahead + promised));
}

/// Plays the queue forward to the start of a request: slots become free as predicted, and each queued request before it
/// holds one for the predicted time of its kind. Requests that are not ready keep their place, as in acquire().
base::Duration SlotLimiter::predictedSlotWait(const QueueKey& own) const {
  struct End {
    base::Duration at{0};
    bool nested = false;
    bool operator>(const End& other) const { return at > other.at; }
  };
  auto holds = predictor_->running();
  // A request that has just freed its slot may still be listed: the one that would end first counts as ended.
  std::sort(holds.begin(), holds.end(), [](const auto& one, const auto& other) { return one.rest < other.rest; });
  const auto listed = static_cast<std::ptrdiff_t>(holds.size());
  if (listed > running_) holds.erase(holds.begin(), holds.begin() + (listed - running_));
  spreadRests(&holds);
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  int nested = 0;
  for (const auto& hold : holds) {
    ends.push({hold.rest, hold.nested});
    nested += hold.nested ? 1 : 0;
  }
  // Slots above a lowered limit are not used again.
  for (int surplus = running_ - maxConcurrent_; surplus > 0 && !ends.empty(); --surplus) {
    nested -= ends.top().nested ? 1 : 0;
    ends.pop();
  }
  while (static_cast<int>(ends.size()) < maxConcurrent_) ends.push({});
  const bool ownNested = own.priority == Priority::kNested;
  auto nextNested = waiting_.begin();
  auto nextOther = std::find_if(waiting_.begin(), waiting_.end(),
                                [](const auto& item) { return item.first.priority > Priority::kNested; });
  const auto firstOther = nextOther;
  const auto behind = waiting_.lower_bound(own);
  const auto lastNested = ownNested ? behind : firstOther;
  const auto lastOther = ownNested ? waiting_.end() : behind;
  while (!ends.empty()) {
    const auto end = ends.top();
    ends.pop();
    nested -= end.nested ? 1 : 0;
    const bool othersWait = nextOther != lastOther || !ownNested;
    const bool nestedMayStart = !othersWait || nested + 1 <= nestedShare_ * maxConcurrent_;
    const bool nestedWaits = nextNested != lastNested || ownNested;
    auto* next = nestedWaits && nestedMayStart ? &nextNested : &nextOther;
    if (*next == (next == &nextNested ? lastNested : lastOther)) return end.at;
    const bool startsNested = next == &nextNested;
    ends.push({end.at + predictor_->holdTime((*next)->second.kind), startsNested});
    nested += startsNested ? 1 : 0;
    ++*next;
  }
  return base::Duration(0);
}

base::Duration SlotLimiter::slotInterval() const {
  const bool predicted = predictor_ != nullptr && predictor_->available() && running_ > 0;
  const auto holdUs = predicted ? static_cast<double>(predictor_->meanHoldTime().count()) : averageHoldUs_;
  const auto held = base::Duration(static_cast<int64_t>(holdUs / std::max(1, maxConcurrent_)));
  return std::max(held, startInterval());
}

std::optional<base::TimePoint> SlotLimiter::nextExpiry() const {
  std::optional<base::TimePoint> next;
  for (const auto& [order, request] : waiting_) {
    if (!next || order.latestStart < *next) next = order.latestStart;
  }
  return next;
}

/// Refuses the queued requests whose latest start time is before the given one.
/// @param earliestStart of a request, by the number of those before it that are not refused
void SlotLimiter::refuseLate(const std::function<base::TimePoint(std::ptrdiff_t ahead)>& earliestStart) {
  std::vector<Request> refused;
  std::ptrdiff_t ahead = 0;
  for (auto item = waiting_.begin(); item != waiting_.end();) {
    if (item->first.latestStart > earliestStart(ahead)) {
      ++ahead;
      ++item;
      continue;
    }
    ++counters_.refusedLate;
    refused.push_back(std::move(item->second));
    item = waiting_.erase(item);
  }
  for (auto& request : refused) request.refuse(SlotRefusal::kWouldBeLate);
}

void SlotLimiter::refuseExpired() {
  refuseLate([now = time_.now()](std::ptrdiff_t) { return now; });
}

void SlotLimiter::refuseRateLimited() {
  refuseLate([this, now = time_.now()](std::ptrdiff_t ahead) { return now + rateLimitWait(ahead); });
}

/// @return the last queued request that was not promised a slot; end() if there is none.
SlotLimiter::Waiting::iterator SlotLimiter::lastDisplaceable() {
  const auto last =
      std::find_if(waiting_.rbegin(), waiting_.rend(), [](const auto& item) { return !item.second.reserved; });
  return last == waiting_.rend() ? waiting_.end() : std::prev(last.base());
}

bool SlotLimiter::displaceFor(Priority priority) {
  const auto last = lastDisplaceable();
  if (last == waiting_.end() || last->first.priority <= priority) return false;
  auto displaced = waiting_.extract(last);
  ++counters_.displaced;
  displaced.mapped().refuse(SlotRefusal::kQueueFull);
  return true;
}

bool SlotLimiter::startAtOnce(Priority priority, const Start& start, bool ready) {
  if (!ready || !mayStart() || !waiting_.empty()) return false;
  admit(priority);
  start();
  return true;
}

void SlotLimiter::enqueue(const QueueKey& key, Request request) {
  ++counters_.queued;
  waiting_[key] = std::move(request);
  startWaiting();
}

TicketId SlotLimiter::acquire(Priority priority, base::TimePoint latestStart, Start start, Refuse refuse, bool ready,
                              HoldKind kind) {
  const auto ticket = nextTicket_++;
  if (startAtOnce(priority, start, ready)) return ticket;
  if (priority != Priority::kMustRun && time_.now() + expectedWait(priority, latestStart) >= latestStart) {
    ++counters_.refusedLate;
    refuse(SlotRefusal::kWouldBeLate);
    return ticket;
  }
  const bool full = waiting_.size() >= static_cast<size_t>(std::max(0, maxQueued_));
  if (full && !displaceFor(priority)) {
    ++counters_.refusedFull;
    refuse(SlotRefusal::kQueueFull);
    return ticket;
  }
  enqueue({priority, latestStart, ticket}, {std::move(start), std::move(refuse), ready, kind});
  return ticket;
}

TicketId SlotLimiter::acquireReserved(Priority priority, base::TimePoint latestStart, Start start, Refuse refuse,
                                      bool ready, HoldKind kind) {
  const auto ticket = nextTicket_++;
  if (startAtOnce(priority, start, ready)) return ticket;
  enqueue({priority, latestStart, ticket}, {std::move(start), std::move(refuse), ready, kind, true});
  return ticket;
}

void SlotLimiter::admit(Priority priority) {
  ++running_;
  if (priority == Priority::kNested) ++runningNested_;
  ++counters_.admitted;
  for (auto* limiter : startLimiters_) limiter->onStart();
}

SlotLimiter::Waiting::iterator SlotLimiter::nextToStart() {
  const bool withinShare = runningNested_ + 1 <= nestedShare_ * maxConcurrent_;
  auto first = waiting_.end();
  for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
    if (!item->second.ready) continue;
    if (first == waiting_.end()) first = item;
    if (item->first.priority != Priority::kNested || withinShare) return item;
  }
  return first;
}

void SlotLimiter::setReady(TicketId ticket) {
  for (auto& [order, request] : waiting_) {
    if (order.ticket == ticket) request.ready = true;
  }
  startWaiting();
}

void SlotLimiter::startWaiting() {
  while (mayStart() && !waiting_.empty()) {
    const auto next = nextToStart();
    if (next == waiting_.end()) return;
    auto first = waiting_.extract(next);
    if (first.key().latestStart <= time_.now()) {
      ++counters_.refusedLate;
      first.mapped().refuse(SlotRefusal::kWouldBeLate);
      continue;
    }
    admit(first.key().priority);
    first.mapped().start();
  }
}

void SlotLimiter::release(base::Duration held, Priority priority) {
  --running_;
  if (priority == Priority::kNested) --runningNested_;
  const auto heldUs = static_cast<double>(held.count());
  averageHoldUs_ = averageHoldUs_ == 0 ? heldUs : averageHoldUs_ * (1 - kAverageWeight) + heldUs * kAverageWeight;
  startWaiting();
}

void SlotLimiter::refuseWaiting() {
  std::map<QueueKey, Request> refused;
  refused.swap(waiting_);
  for (auto& [order, request] : refused) request.refuse(SlotRefusal::kClosed);
}

bool SlotLimiter::cancel(TicketId ticket) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& item) { return item.first.ticket == ticket; });
  if (found == waiting_.end()) return false;
  waiting_.erase(found);
  return true;
}

}  // namespace driftlug::limits
