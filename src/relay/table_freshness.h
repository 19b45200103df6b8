/// Tracks how recent a relay's table is known to be.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::relay {

/// The newest controller freshness that the table covers.
///
/// The freshness in a leader's heartbeat takes effect once the table has reached the revision that the leader had when
/// it sent the heartbeat, since rows and heartbeats may arrive over different connections.
class TableFreshness {
 public:
  /// Handles a heartbeat of a controller.
  /// @param revision current revision of the table
  void onHeartbeat(const wire::ControllerHeartbeat& heartbeat, int64_t revision, base::TimePoint now);

  /// Handles an advance of the table to a revision.
  void onRevision(int64_t revision);

  /// @return the newest freshness that the table covers.
  const wire::Freshness& value() const { return value_; }

  /// @return when that freshness was first received; the epoch if none was.
  base::TimePoint receivedAt() const { return receivedAt_; }

  /// @return when the oldest heartbeat was received whose revision the table has not reached; nullopt if there is none.
  std::optional<base::TimePoint> laggingSince() const;

 private:
  struct PendingHeartbeat {
    wire::ControllerHeartbeat heartbeat;
    base::TimePoint receivedAt;
  };

  wire::Freshness value_;
  base::TimePoint receivedAt_{};
  std::deque<PendingHeartbeat> waiting_;  // not covered yet, oldest first; when full, newer ones replace the last
};

}  // namespace driftlug::relay
