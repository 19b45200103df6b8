/// How recent a relay's table is known to be.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::relay {

/// A leader's word of its quorum counts once the table has reached the revision that the leader had when it gave it:
/// the table may come on another way than the word.
class CoveredFreshness {
 public:
  /// A leader gave its word.
  /// @param revision of the table now
  void onHeartbeat(const wire::ControllerHeartbeat& heartbeat, int64_t revision, base::TimePoint now);

  /// The table has reached a revision.
  void onRevision(int64_t revision);

  /// @return the newest word that the table covers.
  const wire::Freshness& value() const { return value_; }

  /// @return when that word was first heard; the epoch while none was.
  base::TimePoint heardAt() const { return heardAt_; }

  /// @return since when the table lacks a revision that a leader has; nullopt when it lacks none.
  std::optional<base::TimePoint> behindSince() const;

 private:
  struct Waiting {
    wire::ControllerHeartbeat heartbeat;
    base::TimePoint heardAt;
  };

  wire::Freshness value_;
  base::TimePoint heardAt_{};
  std::deque<Waiting> waiting_;  // for the table, oldest first; bounded, as the last one stands for those behind it
};

}  // namespace driftlug::relay
