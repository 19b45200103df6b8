/// Second attempts beside a first one that has no answer yet.
#include "node/entry_calls.h"

namespace driftlug::node {

/// Calls that may run twice don't wait for a node that may have lost its power, its network or its processor: another
/// endpoint is asked beside it, and the first answer wins.
void EntryCalls::onLinkSilent(base::ConnectionId connection) {
  ++counters_.silentLinks;
  std::vector<CallId> waiting;
  for (const auto& [attemptId, attempt] : attempts_) {
    if (attempt.connection == connection) waiting.push_back(attempt.call);
  }
  for (const auto id : waiting) sendBeside(id, "silent");
}

void EntryCalls::sendBeside(CallId id, const char* because) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  if (call.inFlight.size() != 1 || !mayBeSentBeside(&call)) return;
  const auto* target = pickEndpoint(call);
  if (target == nullptr || !budgets_[call.service].spend()) return;
  ++counters_.hedges;
  decisions_.write(base::LinePriority::kRoutine, [&] {
    return fmt::format("second call={} route={} service={} first={} second={} elapsed_ms={} because={}",
                       requestIdOf(call), call.route, call.service, call.endpoint, target->name,
                       base::millisecondsOf(scheduler_.now() - call.begunAt), because);
  });
  send(id, &call, *target);
}

bool EntryCalls::mayBeSentBeside(Call* call) {
  const int begun = call->attempts + static_cast<int>(call->inFlight.size());
  // A request that may crash what runs it is at one back end at a time.
  return call->repeatable && begun < call->maxAttempts && judge(call) == quarantine::standing::clear;
}

bool EntryCalls::mayHedge(Call* call) { return options_.hedgeAfterShare > 0 && mayBeSentBeside(call); }

double EntryCalls::besideAfterShare() const {
  return options_.hedgeAfterShare > 0 ? options_.hedgeAfterShare : options_.lateAfterShare;
}

void EntryCalls::armHedge(CallId id, Call* call) {
  const auto share = besideAfterShare();
  if (share <= 0 || !mayBeSentBeside(call) || call->targetLatencyMs == 0 || call->hedgeTimer != 0) return;
  const base::Duration target = base::milliseconds(call->targetLatencyMs);
  const auto after = std::chrono::duration_cast<base::Duration>(target * share);
  call->hedgeTimer = scheduler_.schedule(after, [this, alive = std::weak_ptr<bool>(alive_), id] {
    if (!alive.expired()) onHedgeTimer(id);
  });
}

const routing::EndpointTarget* EntryCalls::idleEndpoint(const Call& call) {
  const auto* target = pickEndpoint(call);
  const bool idle = target != nullptr && picker_.busyShare(*target) < options_.hedgeIdleShare;
  return idle ? target : nullptr;
}

void EntryCalls::onHedgeTimer(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  call.hedgeTimer = 0;
  if (mayBeSentBeside(&call) && idleEndpoint(call) != nullptr) sendBeside(id, "late");
}

}  // namespace driftlug::node
