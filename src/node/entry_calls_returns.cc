/// Entry side of reservations for refused requests, and of the outcomes of nested calls.
#include <algorithm>

#include "node/entry_calls.h"
#include "node/http_status.h"
#include "overload/reservation_book.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using overload::nested_outcome;
using wire::CallOutcome;

bool isLackOfCapacity(ErrorCode error) {
  return error == ErrorCode::kOverloaded || error == ErrorCode::kNoTimeLeft || error == ErrorCode::kNoEndpoint;
}

}  // namespace

void EntryReturns::keep(const Key& key, KeptReservation reservation, base::TimePoint now) {
  if (kept_.size() >= kMaxKept) {
    std::erase_if(kept_, [&](const auto& item) { return item.second.at + overload::reservation_book::kHold < now; });
  }
  if (kept_.size() < kMaxKept) kept_[key] = std::move(reservation);
}

std::optional<KeptReservation> EntryReturns::take(const Key& key, base::TimePoint now) {
  const auto found = kept_.find(key);
  // One that returns too early leaves the reservation for its next try.
  if (found == kept_.end() || now + overload::reservation_book::kEarly < found->second.at) return std::nullopt;
  const auto taken = std::move(found->second);
  kept_.erase(found);
  if (taken.at + overload::reservation_book::kHold < now) return std::nullopt;
  return taken;
}

void EntryCalls::beginReturn(Call* call) {
  if (!returns_.empty()) call->reservation = returns_.take({fingerprintOfCall(call), call->tenant}, scheduler_.now());
  call->nested = onNestedBegan_ && returns_.nestedRoutes.count(call->route) > 0;
  if (call->nested) onNestedBegan_();
}

/// @return the endpoint that has a reservation for a call; null if there is none or it can't be used.
const routing::EndpointTarget* EntryCalls::reservedEndpoint(const Call& call) {
  if (!call.reservation || call.tried.count(call.reservation->endpoint) > 0) return nullptr;
  const auto& endpoints = candidatesFor(call);
  const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const auto& endpoint) {
    return endpoint.name == call.reservation->endpoint && picker_.isHealthy(endpoint.name);
  });
  return found == endpoints.end() ? nullptr : &*found;
}

/// Remembers the earliest of the reservations that endpoints offered for a call; the others expire.
void EntryCalls::onRefusedByNode(const Attempt& attempt, const wire::CallResponse& response) {
  const auto found = calls_.find(attempt.call);
  if (found == calls_.end()) return;
  const auto error = static_cast<ErrorCode>(response.errorCode);
  if (error == ErrorCode::kOverloaded || error == ErrorCode::kNoTimeLeft) found->second.refusedForCapacity = true;
  if (response.reservationId == 0) return;
  const auto at = scheduler_.now() + base::milliseconds(std::max(0, response.reservedInMs));
  auto& offered = found->second.offered;
  if (!offered || at < offered->at) offered = KeptReservation{attempt.endpoint, response.reservationId, at};
}

void EntryCalls::onAccepted(base::ConnectionId connection, const wire::CallAccepted& accepted) {
  const auto attempt = attempts_.find(accepted.callId);
  if (attempt == attempts_.end() || attempt->second.connection != connection) return;
  const auto call = calls_.find(attempt->second.call);
  if (call == calls_.end()) return;
  if (accepted.nested) {
    returns_.nestedRoutes.insert(call->second.route);
  } else {
    returns_.nestedRoutes.erase(call->second.route);
  }
}

/// Keeps the reservation of a call that is refused, and reports the outcome of a nested call.
void EntryCalls::endReturn(Call* call, CallAnswer* answer) {
  const auto now = scheduler_.now();
  const bool notRun = call->done && !call->mayHaveRun && answer->outcome == CallOutcome::NOT_RUN;
  const bool served = call->done && answer->outcome == CallOutcome::COMPLETED && answer->httpStatus < kFirstServerError;
  if (call->nested && onNestedEnded_) {
    // The last refusal may be that of an endpoint that is away, after those that are there had no room.
    const bool refused =
        notRun && (call->refusedForCapacity || (answer->error == ErrorCode::kNoEndpoint &&
                                                picker_.refusedFor(candidatesFor(*call), rankOf(*call)).has_value()));
    const auto outcome = refused  ? nested_outcome::refused_for_capacity
                         : served ? nested_outcome::served
                                  : nested_outcome::other;
    onNestedEnded_(outcome, now - call->startedAt);
  }
  if (!notRun || !call->offered || !isLackOfCapacity(answer->error) || call->offered->at < now) return;
  // Without jitter: the endpoint has spread the times of its reservations.
  answer->error = ErrorCode::kOverloaded;
  answer->retryAfterMs = std::max(1, static_cast<int>(base::millisecondsOf(call->offered->at - now)));
  returns_.keep({fingerprintOfCall(call), call->tenant}, *call->offered, now);
}

}  // namespace driftlug::node
