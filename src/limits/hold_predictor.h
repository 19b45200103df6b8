/// Predicts how long requests hold their slots.
#pragma once

#include <vector>

#include "base/time.h"

namespace driftlug::limits {

/// Kind of a request, as its predictor numbers them.
using HoldKind = int;

/// A request that holds a slot.
struct RunningHold {
  base::Duration rest{0};       ///< predicted time until it frees the slot
  bool nested = false;          ///< has Priority::kNested
  base::Duration deviation{0};  ///< mean absolute deviation of the rest from its prediction
};

/// Predictions of the requests of one SlotLimiter.
class HoldPredictor {
 public:
  virtual ~HoldPredictor() = default;

  /// @return whether predictions are available; otherwise the limiter uses the mean over all requests.
  virtual bool available() const = 0;

  /// @return predicted time for which a queued request of this kind will hold a slot.
  virtual base::Duration holdTime(HoldKind kind) const = 0;

  /// @return the requests that hold slots, in any order.
  virtual std::vector<RunningHold> running() const = 0;

  /// @return predicted mean time for which the running requests hold their slots, from their start.
  virtual base::Duration meanHoldTime() const = 0;
};

}  // namespace driftlug::limits
