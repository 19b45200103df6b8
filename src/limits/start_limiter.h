/// Interface of limits on the starts of requests.
#pragma once

#include <optional>

#include "base/time.h"

namespace driftlug::limits {

/// Limits when requests to a back end may start. Each limiter sees every start, also while it limits nothing.
class StartLimiter {
 public:
  virtual ~StartLimiter() = default;

  /// Records the start of a request.
  virtual void onStart() = 0;

  /// @return when the next request may start; nullopt if one may start now
  virtual std::optional<base::TimePoint> blockedUntil() const = 0;

  /// @return the mean time between two starts at the limit; 0 while the limit is not in effect.
  virtual base::Duration interval() const = 0;
};

}  // namespace driftlug::limits
