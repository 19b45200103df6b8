/// Refusals for lack of capacity, and reservations for the requests that return after one.
#include <algorithm>
#include <utility>
#include <vector>

#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

/// Callers honour Retry-After up to this part of the time that they have left.
constexpr int kHonouredPart = 3;
/// Time without refusals after which an endpoint has capacity for late requests. While it is overloaded, callers' nodes
/// send two requests per slot that becomes free, so that one is refused every 10 to 30 ms; after several refusals in a
/// row they stay away for longer.
constexpr base::Duration kCalm = base::milliseconds(200);
/// Time that is left for the run of a late request when it starts, as a multiple of the average run. It is above
/// runTimeMargin since a run that its deadline cuts is lost, while the target of such a request is missed already.
constexpr double kLateRunMargin = 2;

}  // namespace

bool EndpointCalls::usesReservations() const { return options_.reservations || loadAware(); }

base::Duration EndpointCalls::expectedRun(const Call& call) const {
  return base::microsecondsOf(averageRunUs(call.request));
}

/// Applies the reservation that a returning request names. A request that can still be in time goes before new ones of
/// its priority. One that can't goes behind all that can, and before late ones without a reservation. Late requests,
/// with or without one, wait as long as an answer is of use: it is worth part of one in time until the deadline.
void EndpointCalls::useReservation(const CallKey& key) {
  auto& call = calls_.at(key);
  if (!usesReservations()) return;
  const auto id = call.request.reservationId;
  const bool holds = id != 0 && returns_->reservations.use(id);
  const bool late = !call.nested && isLate(call.request);
  if (holds) {
    call.reservation = id;
    const auto rank = limits::priorityFor(call.request.priority, false);
    call.priority = late ? limits::latePriority(rank) : rank;
  }
  if (id != 0) {
    decisions_.write(base::LinePriority::kRoutine, [&] {
      return fmt::format("reservation call={} id={} holds={} late={} held={}", requestIdOf(call.request), id, holds,
                         late, returns_->reservations.held());
    });
  }
  if (!late && !holds) return;
  const auto run = base::microsecondsOf((late ? kLateRunMargin : options_.runTimeMargin) * averageRunUs(call.request));
  call.latestStart = std::max(scheduler_.now() + base::milliseconds(1), call.deadline - run);
  call.held = late && refusesInTimeRequests();
  if (call.held && !returns_->timer.running()) returns_->timer.start(kCalm);
}

bool EndpointCalls::refusesInTimeRequests() const {
  return returns_->refusedAt && scheduler_.now() - *returns_->refusedAt < kCalm;
}

/// Lets held late requests start once no more requests are refused that could have been in time. A
/// slot that is free for a moment in an overload is of more use to the next of those than to a late one.
void EndpointCalls::startHeldReturns() {
  if (refusesInTimeRequests()) return returns_->timer.start(*returns_->refusedAt + kCalm - scheduler_.now());
  std::vector<limits::TicketId> tickets;
  for (auto& [key, call] : calls_) {
    if (std::exchange(call.held, false) && !call.awaitsBody) tickets.push_back(call.ticket);
  }
  for (const auto ticket : tickets) limiter_.setReady(ticket);
}

/// @return whether the answer can't be expected before the caller's deadline because other requests are ahead.
bool EndpointCalls::hasNoTimeLeft(const Call& call) const {
  if (!usesReservations() || call.reservation != 0) return false;
  const auto wait = limiter_.expectedWait(call.priority, call.latestStart);
  return wait.count() > 0 && scheduler_.now() + wait + expectedRun(call) > call.deadline;
}

void EndpointCalls::refuseForCapacity(const CallKey& key) {
  const auto& call = calls_.at(key);
  const auto wait =
      std::max<base::Duration>(base::milliseconds(1), limiter_.expectedWait(call.priority, call.latestStart));
  if (!usesReservations()) return refuse(key, ErrorCode::kOverloaded, std::max(wait, options_.overloadRetryAfter));
  const auto now = scheduler_.now();
  if (call.request.waitedMs == 0) returns_->refusedAt = now;
  wire::CallResponse response;
  response.fullForMs = base::millisecondsOf(callerBackoff(limiter_.slotInterval(), &CallerNode::lastRequestAt));
  if (now + wait + expectedRun(call) > call.deadline) {
    const auto left = std::max<base::Duration>(base::milliseconds(1), call.deadline - now);
    return refuseWith(key, ErrorCode::kNoTimeLeft, left, std::move(response));
  }
  if (const auto offered = offerReservation(call)) {
    const auto in = std::max<base::Duration>(base::milliseconds(1), offered->at - now);
    response.reservationId = offered->id;
    response.reservedInMs = base::millisecondsOf(in);
    return refuseWith(key, ErrorCode::kOverloaded, in, std::move(response));
  }
  refuseWith(key, ErrorCode::kOverloaded, std::max(wait, options_.overloadRetryAfter), std::move(response));
}

/// Callers come back once, and back ends do not come back at all: neither returning requests nor nested ones get a
/// reservation.
std::optional<overload::reservation> EndpointCalls::offerReservation(const Call& call) {
  const auto& request = call.request;
  if (call.nested || request.waitedMs > 0 || request.reservationId != 0) return std::nullopt;
  const auto now = scheduler_.now();
  // Requests that have returned and wait for a slot still count, so that the limiter's queue stays bounded.
  const auto returned = static_cast<size_t>(std::count_if(calls_.begin(), calls_.end(), [](const auto& item) {
    return item.second.reservation != 0 && !item.second.running;
  }));
  const auto slots = static_cast<size_t>(std::max(0, limiter_.maxConcurrent()));
  overload::reservation_demand demand;
  demand.limit = slots - std::min(slots, returned);
  demand.interval = limiter_.slotInterval();
  const auto run = base::microsecondsOf(options_.runTimeMargin * averageRunUs(request));
  const auto latest = std::min(now + (call.deadline - now) / kHonouredPart, call.deadline - run);
  const auto rank = limits::priorityFor(request.priority, false);
  const auto offerAt = [&](limits::Priority priority, base::TimePoint latestAt) {
    // Behind what is queued in its class, also if it will go before new requests: the queue was there first.
    demand.rank = static_cast<int>(priority);
    demand.freeAt = now + limiter_.expectedWait(static_cast<limits::Priority>(demand.rank + 1), base::TimePoint::max());
    demand.latestAt = latestAt;
    return returns_->reservations.offer(demand);
  };
  std::optional<overload::reservation> offered;
  if (request.targetLatencyMs > 0) {
    const auto inTime = call.arrivedAt + base::milliseconds(request.targetLatencyMs) - run;
    offered = offerAt(rank, std::min(latest, inTime));
  }
  if (!offered) offered = offerAt(limits::latePriority(rank), latest);
  if (!offered) return std::nullopt;
  decisions_.write(base::LinePriority::kRoutine, [&] {
    return fmt::format("reservation call={} id={} in_ms={} held={}", requestIdOf(request), offered->id,
                       base::millisecondsOf(offered->at - now), returns_->reservations.held());
  });
  return offered;
}

}  // namespace driftlug::node
