/// How recent a relay's table is known to be.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::relay {

/// The freshness in a leader's heartbeat counts once the table has reached the revision that the leader had when it
/// sent it, as rows and heartbeats may arrive over different connections.
class TableFreshness {
 public:
  /// A heartbeat arrived from the leader.
  /// @param revision of the table now
  void onHeartbeat(const wire::ControllerHeartbeat& heartbeat, int64_t revision, base::TimePoint now);

  /// The table has reached a revision.
  void onRevision(int64_t revision);

  /// @return the newest freshness that the table covers.
  const wire::Freshness& value() const { return value_; }

  /// @return when that freshness was first received; the epoch if none was.
  base::TimePoint receivedAt() const { return heardAt_; }

  /// @return since when the table lacks a revision that a leader has; nullopt when it lacks none.
  std::optional<base::TimePoint> laggingSince() const;

 private:
  struct PendingHeartbeat {
    wire::ControllerHeartbeat heartbeat;
    base::TimePoint receivedAt;
  };

  wire::Freshness value_;
  base::TimePoint heardAt_{};
  std::deque<PendingHeartbeat> pending_;  // not covered yet, oldest first; when full, the last stands for later ones
};

}  // namespace driftlug::relay
