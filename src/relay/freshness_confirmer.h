/// Proof that a relay's table is recent enough for a node that restarted without memory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/release_group.h"

namespace driftlug::relay {

/// Asks the leading controller, and the members of a zone's release group, in parallel; either proof is enough.
///
/// Invariant: a waiter is served only by answers to questions that were asked after it came, and only once the
/// own table has reached the revision they named.
class FreshnessConfirmer {
 public:
  /// Sends the questions of a round.
  /// @return their token, never used before by this relay
  using SendRequests = std::function<int64_t()>;
  using Callback = std::function<void()>;

  FreshnessConfirmer(base::Scheduler& scheduler, const ReleaseGroup* group, std::string ownId, SendRequests ask);

  /// Calls back once the table is proven recent.
  void confirm(Callback callback);

  /// Somebody new can be asked: those who wait are not kept until the next round.
  void restartRound();

  /// The leading controller answered: its committed revision after the question.
  void onControllerReply(int64_t token, int64_t revision);

  /// A member of the group answered.
  void onMemberReply(int64_t token, const std::string& relayId, int64_t revision, bool recovered);

  /// The own table is at this revision.
  void onOwnRevision(int64_t revision, bool recovered);

  size_t waiting() const { return nextRound_.size() + inRound_.size(); }

 private:
  void startRound();
  void evaluate();

  base::Scheduler& scheduler_;
  const ReleaseGroup* group_;  // null for a confirmer that trusts controllers alone
  std::string ownId_;
  SendRequests sendRequests_;
  base::Timer retryTimer_;
  std::vector<Callback> nextRound_;  // came after the current round was asked
  std::vector<Callback> inRound_;    // covered by the current round
  int64_t token_ = 0;
  bool controllerAnswered_ = false;
  int64_t controllerRevision_ = 0;
  std::map<std::string, int64_t> memberRevisions_;  // recovered members that answered this round
  int64_t ownRevision_ = 0;
  bool ownRecovered_ = false;
};

}  // namespace driftlug::relay
