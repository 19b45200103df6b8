/// Planned stop of the entry side: which calls can still end before the process does, and what becomes of the others.
#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "node/entry_calls.h"
#include "node/http_status.h"
#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using wire::CallOutcome;

/// Interval at which a stopping node looks for attempts that wait elsewhere and can no longer be answered in time.
constexpr base::Duration kWithdrawInterval = base::milliseconds(50);

/// Number of routes whose latencies are kept. Beyond it all are dropped and learned again, so that those of removed
/// routes do not stay.
constexpr size_t kMaxKnownRoutes = 4096;

}  // namespace

void EntryCalls::recordLatency(const std::string& route, base::Duration latency) {
  if (latency_.size() >= kMaxKnownRoutes && latency_.count(route) == 0) latency_.clear();
  latency_[route].record(latency);
}

void EntryCalls::prepareEnd(base::TimePoint answeredBy) {
  answeredBy_ = answeredBy;
  withdrawLate();
}

/// @return whether a call that is sent now is expected to be answered before this process ends.
bool EntryCalls::canEndInTime(const Call& call) const {
  if (!answeredBy_ || call.deadline <= *answeredBy_) return true;
  return scheduler_.now() + expectedLatency(call) <= *answeredBy_;
}

/// @return time that an attempt usually takes on the route of a call; the target latency before the first one was
/// served, as after a restart.
base::Duration EntryCalls::expectedLatency(const Call& call) const {
  const auto known = latency_.find(call.route);
  const base::Duration target = base::milliseconds(call.targetLatencyMs);
  const auto usual = known == latency_.end() ? target : known->second.bound().value_or(target);
  // Attempts in progress show that work takes longer than before, well before the first of them is served: they are
  // expected to be half done. A single one does not show it, since its link may have failed.
  const auto now = scheduler_.now();
  size_t inProgress = 0;
  std::vector<base::Duration> longer;
  for (const auto& [attemptId, attempt] : attempts_) {
    const auto other = calls_.find(attempt.call);
    if (other == calls_.end() || other->second.route != call.route) continue;
    ++inProgress;
    if (now - attempt.sentAt > usual) longer.push_back(now - attempt.sentAt);
  }
  if (longer.size() < 2 || 2 * longer.size() < inProgress) return usual;
  return 2 * *std::max_element(longer.begin(), longer.end());
}

CallAnswer EntryCalls::stoppingAnswer() const {
  return failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kDraining, kUnavailableStatus, kDefaultRetryAfterMs);
}

void EntryCalls::withdraw(int64_t attemptId, Attempt* attempt) {
  if (attempt->withdrawn || !links_.link(attempt->endpoint).supportsWithdrawals) return;
  attempt->withdrawn = true;
  wire::CallWithdraw message;
  message.callId = attemptId;
  network_.send(attempt->connection, wire::encodeFrame(message));
}

void EntryCalls::withdrawLate() {
  std::map<std::string_view, base::Duration> expected;  // by route
  for (auto& [attemptId, attempt] : attempts_) {
    const auto found = calls_.find(attempt.call);
    if (attempt.withdrawn || found == calls_.end() || found->second.deadline <= *answeredBy_) continue;
    const auto& call = found->second;
    const auto [latency, unknown] = expected.try_emplace(call.route);
    if (unknown) latency->second = expectedLatency(call);
    if (scheduler_.now() + latency->second > *answeredBy_) withdraw(attemptId, &attempt);
  }
  withdrawTimer_.start(kWithdrawInterval);
}

void EntryCalls::refuseWaiting() {
  stopping_ = true;
  std::vector<CallId> unsent;
  for (const auto& [id, call] : calls_) {
    const bool mayHaveArrived = std::any_of(call.inFlight.begin(), call.inFlight.end(), [this](int64_t attemptId) {
      const auto attempt = attempts_.find(attemptId);
      return attempt == attempts_.end() || isBodySent(attempt->second);
    });
    if (!mayHaveArrived) unsent.push_back(id);
  }
  for (const auto id : unsent) finish(id, stoppingAnswer());
  for (auto& [attemptId, attempt] : attempts_) withdraw(attemptId, &attempt);
}

void EntryCalls::answerPending() {
  std::vector<CallId> pending;
  for (const auto& [id, call] : calls_) pending.push_back(id);
  for (const auto id : pending) {
    finish(id, failureAnswer(CallOutcome::UNKNOWN, ErrorCode::kNodeStopped, kBadGatewayStatus, 0));
  }
}

}  // namespace driftlug::node
