/// Hedged attempts of calls whose first attempt has no answer yet.
#include <algorithm>

#include "node/entry_calls.h"

namespace driftlug::node {

/// Hedges the repeatable calls in flight on a silent link, since its node may have lost its power, its network or its
/// processor. The first answer wins.
void EntryCalls::onLinkSilent(base::ConnectionId connection) {
  ++counters_.silentLinks;
  std::vector<CallId> waiting;
  for (const auto& [attemptId, attempt] : attempts_) {
    if (attempt.connection == connection) waiting.push_back(attempt.call);
  }
  for (const auto id : waiting) sendHedge(id, "silent");
}

void EntryCalls::sendHedge(CallId id, const char* reason) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  if (call.inFlight.size() != 1 || !mayHedge(&call)) return;
  const auto* target = pickEndpoint(call);
  if (target == nullptr || !retryBudgets_[call.service].spend()) return;
  ++counters_.hedges;
  decisionLog_.write(base::LinePriority::kRoutine, [&] {
    return fmt::format("second call={} route={} service={} first={} second={} elapsed_ms={} because={}",
                       requestIdOf(call), call.route, call.service, call.endpoint, target->name,
                       base::millisecondsOf(scheduler_.now() - call.startedAt), reason);
  });
  send(id, &call, *target);
}

bool EntryCalls::mayHedge(Call* call) {
  const int startedAttempts = call->attempts + static_cast<int>(call->inFlight.size());
  // A request that may crash back ends runs on one back end at a time.
  return call->repeatable && !call->bodyReleased && startedAttempts < call->maxAttempts &&
         quarantineStatus(call) == quarantine::request_status::clear && canEndInTime(*call);
}

bool EntryCalls::hedgingEnabledFor(Call* call) { return options_.hedgeAfterShare > 0 && mayHedge(call); }

double EntryCalls::effectiveHedgeAfterShare() const {
  return options_.hedgeAfterShare > 0 ? options_.hedgeAfterShare : options_.fallbackHedgeAfterShare;
}

void EntryCalls::startHedgeTimer(CallId id, Call* call) {
  const auto share = effectiveHedgeAfterShare();
  if (share <= 0 || !mayHedge(call) || call->targetLatencyMs == 0 || call->hedgeTimer != 0) return;
  const base::Duration target = base::milliseconds(call->targetLatencyMs);
  const auto after = std::chrono::duration_cast<base::Duration>(target * share);
  call->hedgeTimer = scheduler_.schedule(after, [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (!alive.expired()) onHedgeTimer(id);
  });
}

const routing::EndpointTarget* EntryCalls::pickIdleEndpoint(const Call& call) {
  const auto* target = pickEndpoint(call);
  const bool idle =
      target != nullptr && !notices_.rateOf(target->name) && picker_.utilization(*target) < options_.hedgeIdleShare;
  return idle ? target : nullptr;
}

void EntryCalls::onHedgeTimer(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  call.hedgeTimer = 0;
  // An answer that is arriving already would arrive later if another one shared the links.
  const bool arriving = std::any_of(call.inFlight.begin(), call.inFlight.end(),
                                    [this](int64_t attemptId) { return answers_.gathers(attemptId); });
  if (!arriving && mayHedge(&call) && pickIdleEndpoint(call) != nullptr) sendHedge(id, "late");
}

}  // namespace driftlug::node
