/// Choice of endpoints, and what the choice by expected completion learns from the messages of a call.
#include <algorithm>

#include "node/entry_calls.h"
#include "node/http_status.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using routing::attempt_end;
using wire::CallOutcome;

constexpr size_t kLoggedCandidates = 4;

overload::call_kind kindOf(int priority, int targetLatencyMs, bool repeatable) {
  return {priority, targetLatencyMs, !repeatable};
}

attempt_end endOf(const wire::CallResponse& response) {
  const auto error = static_cast<ErrorCode>(response.errorCode);
  // Refusals that concern the request say nothing about the endpoint.
  const bool concernsRequest = error == ErrorCode::kKeyReused || error == ErrorCode::kRequestHeld ||
                               error == ErrorCode::kOnProbation || error == ErrorCode::kNoTimeLeft;
  if (response.outcome == CallOutcome::NOT_RUN && concernsRequest) return attempt_end::abandoned;
  const bool served = response.outcome == CallOutcome::COMPLETED && response.httpStatus < kFirstServerError;
  return served ? attempt_end::completed : attempt_end::refused;
}

std::optional<wire::EndpointLoad> loadOf(const auto& message) {
  return message.__isset.load ? std::optional(message.load) : std::nullopt;
}

std::string describe(const routing::candidate_cost& candidate) {
  return fmt::format("{}:{:.0f}({})", candidate.endpoint, candidate.cost,
                     candidate.reported
                         ? fmt::format("wait {:.0f} run {:.0f} net {:.1f} late {:.0f}%", candidate.waitMs,
                                       candidate.runMs, candidate.networkMs, 100 * candidate.lateShare)
                         : fmt::format("no load, took {:.0f}", candidate.runMs));
}

}  // namespace

const routing::EndpointTarget* EntryCalls::pickEndpoint(const Call& call) {
  const size_t bytes = call.bodyBytes;
  routing::choice_request request;
  request.zone = options_.zone;
  request.service = call.service;
  request.kind = kindOf(call.priority, call.targetLatencyMs, call.repeatable);
  request.leftToTarget = call.startedAt + base::milliseconds(call.targetLatencyMs - call.waitedMs) - scheduler_.now();
  request.rank = rankOf(call);
  request.bodyBytes = bytes > options_.inlineBodyBytes ? bytes : 0;
  return picker_.pick(candidatesFor(call), call.tried, request);
}

void EntryCalls::observeSent(int64_t attemptId, const Call& call) {
  if (!placement_.lastCosts().empty()) {
    placementLog_.write(base::LinePriority::kRoutine, [&] {
      auto costs = placement_.lastCosts();
      std::sort(costs.begin(), costs.end(), [](const auto& a, const auto& b) { return a.cost < b.cost; });
      std::string compared;
      for (size_t i = 0; i < std::min(costs.size(), kLoggedCandidates); ++i) compared += " " + describe(costs[i]);
      return fmt::format("placed call={} route={} service={} endpoint={} candidates={} cost_ms={}", requestIdOf(call),
                         call.route, call.service, call.endpoint, costs.size(), compared);
    });
  }
  placement_.onSent(attemptId, call.endpoint, call.service,
                    kindOf(call.priority, call.targetLatencyMs, call.repeatable));
}

void EntryCalls::observeAccepted(base::ConnectionId connection, const wire::CallAccepted& accepted) {
  const auto found = attempts_.find(accepted.callId);
  if (found == attempts_.end() || found->second.connection != connection) return;
  placement_.onAccepted(accepted.callId, loadOf(accepted));
}

void EntryCalls::observeResponse(const wire::CallResponse& response) {
  const auto bytes = std::max<int64_t>(static_cast<int64_t>(response.body.size()), response.bodyBytes);
  placement_.onEnded(response.callId, endOf(response), loadOf(response), static_cast<size_t>(bytes));
}

}  // namespace driftlug::node
