/// State of the endpoint side for refused requests that return, and for nested calls of the local back end.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "overload/nested_admission.h"
#include "overload/reservation_book.h"

namespace driftlug::node {

/// Kept in memory only: after a restart of the node, returning requests are treated like any other.
struct EndpointReturns {
  EndpointReturns(base::Scheduler& scheduler, uint64_t firstReservation, std::function<void()> onTimer)
      : reservations(scheduler, firstReservation), nested(scheduler), timer(scheduler, std::move(onTimer)) {}

  overload::reservation_book reservations;
  overload::nested_admission nested;
  std::optional<base::TimePoint> refusedAt;  ///< last refusal for capacity of a request that could have been in time
  base::Timer timer;                         ///< runs while late requests are held
};

}  // namespace driftlug::node
