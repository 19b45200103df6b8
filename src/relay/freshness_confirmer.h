/// Confirms that a relay's table is recent enough for a node that restarted without a stored version.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/release_group.h"

namespace driftlug::relay {

/// Queries the leading controller and the members of a zone's release group in parallel; either confirmation suffices.
///
/// Invariant: a callback runs only on replies to requests that were sent after it was registered, and only once this
/// relay's table has reached the revision in those replies.
class FreshnessConfirmer {
 public:
  /// Sends the requests of a round.
  /// @return their token, never used before by this relay
  using SendRequests = std::function<int64_t()>;
  using Callback = std::function<void()>;

  FreshnessConfirmer(base::Scheduler& scheduler, const ReleaseGroup* group, std::string ownId,
                     SendRequests sendRequests);

  /// Runs the callback once the table is confirmed to be recent.
  void confirm(Callback callback);

  /// Starts a new round at once if callbacks are pending, as when a new leader can be queried.
  void restartRound();

  /// Handles the leading controller's reply.
  /// @param revision its committed revision after it received the request
  void onControllerReply(int64_t token, int64_t revision);

  /// Handles the reply of a group member.
  void onMemberReply(int64_t token, const std::string& relayId, int64_t revision, bool recovered);

  /// Sets the revision of this relay's own table.
  void onOwnRevision(int64_t revision, bool recovered);

  size_t waiting() const { return nextRound_.size() + inRound_.size(); }

 private:
  void startRound();
  void evaluate();

  base::Scheduler& scheduler_;
  const ReleaseGroup* group_;  // null if only the leading controller can confirm
  std::string ownId_;
  SendRequests sendRequests_;
  base::Timer retryTimer_;
  std::vector<Callback> nextRound_;  // registered after the current round started
  std::vector<Callback> inRound_;    // covered by the current round
  int64_t token_ = 0;
  bool controllerAnswered_ = false;
  int64_t controllerRevision_ = 0;
  std::map<std::string, int64_t> memberRevisions_;  // recovered members that answered this round
  int64_t ownRevision_ = 0;
  bool ownRecovered_ = false;
};

}  // namespace driftlug::relay
