/// Backpressure of nested calls: admits fewer requests to a back end whose nested calls find no capacity.
#include <algorithm>

#include "node/endpoint_calls.h"

namespace driftlug::node {

using base::ErrorCode;

void EndpointCalls::onNestedBegan() { returns_->nested.onNestedBegan(); }

void EndpointCalls::onNestedEnded(overload::nested_outcome outcome, base::Duration latency) {
  returns_->nested.onNestedEnded(outcome, latency);
}

double EndpointCalls::admittedShare() const { return usesReservations() ? returns_->nested.share() : 1; }

const overload::reservation_counters& EndpointCalls::reservations() const { return returns_->reservations.counters(); }

/// Refuses an outer request before it costs a slot. Nested calls are not refused here: the work of their outer requests
/// would be lost. Neither are requests with a reservation: their callers have been refused once.
bool EndpointCalls::refuseForNested(const CallKey& key) {
  const auto& call = calls_.at(key);
  if (!usesReservations() || call.nested || call.reservation != 0) return false;
  // Part of the requests of a kind make no nested call, and which ones is not known before they run. While slots are
  // free, refusing them helps nobody: with a service behind that has a quarter of the capacity, 0.35 of the requests
  // were served instead of 0.49.
  if (limiter_.running() < limiter_.maxConcurrent()) return false;
  if (returns_->nested.admitOuter()) return false;
  ++counters_.refusedForNested;
  const auto recovery = std::max(overload::nested_admission::kInterval, returns_->nested.recoveryTime());
  decisions_.write(base::LinePriority::kRoutine, [&] {
    return fmt::format("nested calls lack capacity endpoint={} share={:.2f} nested_in_flight={} max_in_flight={}",
                       endpoint_, returns_->nested.share(), returns_->nested.inFlight(),
                       returns_->nested.maxInFlight());
  });
  refuse(key, ErrorCode::kNestedOverloaded, recovery);
  return true;
}

}  // namespace driftlug::node
