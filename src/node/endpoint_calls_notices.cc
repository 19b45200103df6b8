/// What the back end says about its own state in its responses, on the endpoint side.
#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

constexpr int kMisdirectedStatus = 421;

std::string rateText(std::optional<double> ratePerS) { return ratePerS ? fmt::format("{:g}", *ratePerS) : "none"; }

}  // namespace

void EndpointCalls::handleNotice(const Call& call, const BackendAnswer& answer) {
  // Another incarnation has taken over the address; it says nothing about this one.
  if (answer.httpStatus == kMisdirectedStatus && options_.dynamicEndpoint) return;
  const auto notice = backpressure::readNotice(answer.headers, options_.notices);
  if (notice.leaving) ++counters_.leavingNotices;
  if (notice.unreadableLimit) logUnreadableRate(call, notice);
  const auto before = advertisedRate_.ratePerS();
  if (!advertisedRate_.onResponse(notice, call.startedAt, scheduler_.now())) return;
  ++counters_.rateLimitChanges;
  logRateChange(before, requestIdOf(call.request));
}

void EndpointCalls::logUnreadableRate(const Call& call, const backpressure::backend_notice& notice) {
  ++counters_.unreadableRateLimits;
  decisions_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("unreadable rate limit endpoint={} call={} value={}", endpoint_, requestIdOf(call.request),
                       *notice.unreadableLimit);
  });
}

/// @param callId identifies the call whose response changed the limit
void EndpointCalls::logRateChange(std::optional<double> before, const std::string& callId) {
  const auto now = advertisedRate_.ratePerS();
  log_.info("rate limit {} endpoint={} per_s={} before={} call={} running={} waiting={}",
            !now      ? "ends"
            : !before ? "begins"
                      : "changes",
            endpoint_, rateText(now), rateText(before), callId, limiter_.running(), limiter_.waiting());
}

}  // namespace driftlug::node
