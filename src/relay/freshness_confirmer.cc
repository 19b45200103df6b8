#include "relay/freshness_confirmer.h"

#include <algorithm>

namespace driftlug::relay {
namespace {

constexpr base::Duration kRetryInterval = base::milliseconds(200);

}  // namespace

FreshnessConfirmer::FreshnessConfirmer(base::Scheduler& scheduler, const ReleaseGroup* group, std::string ownId,
                                       AskFunction ask)
    : scheduler_(scheduler),
      group_(group),
      ownId_(std::move(ownId)),
      ask_(std::move(ask)),
      retryTimer_(scheduler, [this] { startRound(); }) {}

void FreshnessConfirmer::confirm(Waiter waiter) {
  waiting_.push_back(std::move(waiter));
  if (asked_.empty()) startRound();
}

void FreshnessConfirmer::startRound() {
  asked_.insert(asked_.end(), waiting_.begin(), waiting_.end());
  waiting_.clear();
  if (asked_.empty()) return;
  controllerAnswered_ = false;
  memberRevisions_.clear();
  retryTimer_.start(kRetryInterval);
  token_ = ask_();
  evaluate();
}

void FreshnessConfirmer::askAgain() {
  if (!asked_.empty()) startRound();
}

void FreshnessConfirmer::onController(int64_t token, int64_t revision) {
  if (token != token_) return;
  controllerAnswered_ = true;
  controllerRevision_ = revision;
  evaluate();
}

void FreshnessConfirmer::onMember(int64_t token, const std::string& relayId, int64_t revision, bool recovered) {
  if (token != token_ || !recovered) return;
  memberRevisions_[relayId] = revision;
  evaluate();
}

void FreshnessConfirmer::onOwn(int64_t revision, bool recovered) {
  ownRevision_ = revision;
  ownRecovered_ = recovered;
  evaluate();
}

void FreshnessConfirmer::evaluate() {
  if (asked_.empty()) return;
  bool proven = controllerAnswered_ && ownRevision_ >= controllerRevision_;
  if (!proven && group_ != nullptr && ownRecovered_) {
    const bool enough = memberRevisions_.size() + 1 >= group_->readQuorum();
    proven = enough && std::all_of(memberRevisions_.begin(), memberRevisions_.end(),
                                   [this](const auto& answer) { return answer.second <= ownRevision_; });
  }
  if (!proven) return;
  retryTimer_.stop();
  std::vector<Waiter> served;
  served.swap(asked_);
  for (const auto& waiter : served) waiter();
  if (!waiting_.empty() && asked_.empty()) startRound();
}

}  // namespace driftlug::relay
