/// What the back end says about its own state in its responses, on the endpoint side.
#include <algorithm>

#include "node/endpoint_calls.h"
#include "node/http_status.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

std::string rateText(std::optional<double> ratePerS) { return ratePerS ? fmt::format("{:g}", *ratePerS) : "none"; }

}  // namespace

void EndpointCalls::handleNotice(const Call& call, const BackendAnswer& answer) {
  // Another incarnation has taken over the address; it says nothing about this one.
  if (answer.httpStatus == kMisdirectedStatus && options_.dynamicEndpoint) return;
  readLoad(answer.headers, call.startedAt, "call=" + requestIdOf(call.request));
  const auto notice = backpressure::readNotice(answer.headers, options_.notices);
  if (notice.leaving) {
    ++counters_.leavingNotices;
    if (onBackendLeaving_) onBackendLeaving_(call.request.endpoint);
  }
  if (notice.unreadableLimit) logUnreadableRate(call, notice);
  const auto before = advertisedRate_.ratePerS();
  if (!advertisedRate_.onResponse(notice, call.startedAt, scheduler_.now())) return;
  logRateChange(before, "call=" + requestIdOf(call.request));
  applyAdvertisedRate();
}

base::Duration EndpointCalls::healthCheckInterval(base::Duration regular) const {
  constexpr int kCallsPerCheck = 4;
  return std::max(regular, rateLimiter_.interval() * kCallsPerCheck);
}

void EndpointCalls::onHealthNotice(const backpressure::backend_notice& notice) {
  const auto before = advertisedRate_.ratePerS();
  if (!notice.ratePerS || !advertisedRate_.onHint(*notice.ratePerS, scheduler_.now())) return;
  logRateChange(before, "health_check");
  applyAdvertisedRate();
}

/// Learns the limit from callers after a restart of this node, before it has any response of the back end.
void EndpointCalls::useCallersNotice(const wire::CallRequest& request) {
  if (!request.__isset.knownRatePerS) return;
  const auto before = advertisedRate_.ratePerS();
  if (!advertisedRate_.onHint(request.knownRatePerS, scheduler_.now())) return;
  logRateChange(before, "caller");
  applyAdvertisedRate();
}

void EndpointCalls::applyAdvertisedRate() {
  rateLimiter_.setRate(advertisedRate_.ratePerS());
  if (rateLimiter_.isLimiting()) {
    refuseWaitingWithAlternative();
    limiter_.refuseRateLimited();
  }
  limiter_.startWaiting();
  armExpiry();
}

/// Calls that were queued before the limit began run elsewhere, since they would wait longer than their callers
/// expected.
void EndpointCalls::refuseWaitingWithAlternative() {
  std::vector<CallKey> waiting;
  for (const auto& [key, call] : calls_) {
    if (call.ticket != 0 && !call.running && call.request.hasAlternative) waiting.push_back(key);
  }
  for (const auto& key : waiting) {
    const auto found = calls_.find(key);
    if (found == calls_.end() || !limiter_.cancel(found->second.ticket)) continue;
    if (found->second.awaitsBody) dropBody(key, &found->second);
    refuseForRate(key);
  }
}

/// @return whether a call can't start within the advertised rate in time, or can run elsewhere without waiting for it.
bool EndpointCalls::exceedsAdvertisedRate(const Call& call) const {
  if (!rateLimiter_.isLimiting()) return false;
  if (!rateLimiter_.blockedUntil() && limiter_.waiting() == 0) return false;
  if (call.request.hasAlternative) return true;
  return scheduler_.now() + limiter_.expectedWait(call.priority, call.latestStart) >= call.latestStart;
}

void EndpointCalls::refuseForRate(const CallKey& key) {
  ++counters_.refusedForRate;
  const auto& call = calls_.at(key);
  // Others that wait for room get the next start, so the caller aims at the one behind it.
  const auto wait = limiter_.expectedWait(call.priority, call.latestStart) + rateLimiter_.interval();
  refuse(key, ErrorCode::kBackendRateLimited, wait);
}

void EndpointCalls::logUnreadableRate(const Call& call, const backpressure::backend_notice& notice) {
  ++counters_.unreadableRateLimits;
  decisions_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("unreadable rate limit endpoint={} call={} value={}", endpoint_, requestIdOf(call.request),
                       *notice.unreadableLimit);
  });
}

/// @param cause where the limit was learned
void EndpointCalls::logRateChange(std::optional<double> before, const std::string& cause) {
  ++counters_.rateLimitChanges;
  const auto now = advertisedRate_.ratePerS();
  const char* change = !now ? "ends" : !before ? "begins" : "changes";
  rateLog_.write(base::LinePriority::kRoutine, [&] {
    return fmt::format("rate limit {} endpoint={} per_s={} before={} by {} running={} waiting={}", change, endpoint_,
                       rateText(now), rateText(before), cause, limiter_.running(), limiter_.waiting());
  });
}

}  // namespace driftlug::node
