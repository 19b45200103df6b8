#include "relay/freshness_confirmer.h"

#include <algorithm>

namespace driftlug::relay {
namespace {

constexpr base::Duration kRetryInterval = base::milliseconds(200);

}  // namespace

FreshnessConfirmer::FreshnessConfirmer(base::Scheduler& scheduler, const ReleaseGroup* group, std::string ownId,
                                       SendRequests sendRequests)
    : scheduler_(scheduler),
      group_(group),
      ownId_(std::move(ownId)),
      sendRequests_(std::move(sendRequests)),
      retryTimer_(scheduler, [this] { startRound(); }) {}

void FreshnessConfirmer::confirm(Callback callback) {
  nextRound_.push_back(std::move(callback));
  if (inRound_.empty()) startRound();
}

void FreshnessConfirmer::startRound() {
  inRound_.insert(inRound_.end(), nextRound_.begin(), nextRound_.end());
  nextRound_.clear();
  if (inRound_.empty()) return;
  controllerAnswered_ = false;
  memberRevisions_.clear();
  retryTimer_.start(kRetryInterval);
  token_ = sendRequests_();
  evaluate();
}

void FreshnessConfirmer::restartRound() {
  if (!inRound_.empty()) startRound();
}

void FreshnessConfirmer::onControllerReply(int64_t token, int64_t revision) {
  if (token != token_) return;
  controllerAnswered_ = true;
  controllerRevision_ = revision;
  evaluate();
}

void FreshnessConfirmer::onMemberReply(int64_t token, const std::string& relayId, int64_t revision, bool recovered) {
  if (token != token_ || !recovered) return;
  memberRevisions_[relayId] = revision;
  evaluate();
}

void FreshnessConfirmer::onOwnRevision(int64_t revision, bool recovered) {
  ownRevision_ = revision;
  ownRecovered_ = recovered;
  evaluate();
}

void FreshnessConfirmer::evaluate() {
  if (inRound_.empty()) return;
  bool confirmed = controllerAnswered_ && ownRevision_ >= controllerRevision_;
  if (!confirmed && group_ != nullptr && ownRecovered_) {
    const bool enough = memberRevisions_.size() + 1 >= group_->readQuorum();
    confirmed = enough && std::all_of(memberRevisions_.begin(), memberRevisions_.end(),
                                      [this](const auto& answer) { return answer.second <= ownRevision_; });
  }
  if (!confirmed) return;
  retryTimer_.stop();
  std::vector<Callback> served;
  served.swap(inRound_);
  for (const auto& callback : served) callback();
  if (!nextRound_.empty() && inRound_.empty()) startRound();
}

}  // namespace driftlug::relay
