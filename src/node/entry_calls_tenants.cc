/// Entry side of tenant authentication and quotas.
#include <algorithm>
#include <utility>

#include "node/entry_calls.h"
#include "node/http_status.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;
using wire::CallOutcome;

}  // namespace

/// Sets the call's tenant and priority by its API key, and removes the key from the call.
/// @return false if the route requires a key and no tenant has this one
bool EntryCalls::authenticate(Call* call, const routing::Route& route) {
  const auto key = std::exchange(call->inbound.credential, {});
  if (table_->tenants().empty() || route.keyless) return true;
  const auto* tenant = table_->tenants().find(key);
  if (tenant == nullptr) return false;
  call->tenant = tenant->name;
  if (tenant->priority) call->priority = *tenant->priority;
  if (options_.tenantHeader.empty()) return true;
  wire::HttpHeader header;
  header.name = options_.tenantHeader;
  header.value = tenant->name;
  call->inbound.headers.push_back(header);
  return true;
}

/// Calls wait for a permit as long as they have time to run afterwards: service times of routes are a tenth to a
/// seventh of their deadlines, so a fifth is left for the rest of the call.
void EntryCalls::requestPermit(CallId id, const std::string& tenant) {
  constexpr int kPermitSharePercent = 80;
  const auto left = calls_.at(id).deadline - scheduler_.now();
  quotas_->wait(static_cast<uint64_t>(id), tenant, 1, left * kPermitSharePercent / 100,
                [this, alive = std::weak_ptr<bool>(alive_), id](const quota::permit_outcome& outcome) {
                  if (!alive.expired()) onPermit(id, outcome);
                });
}

void EntryCalls::onPermit(CallId id, const quota::permit_outcome& outcome) {
  if (outcome.granted > 0) return attempt(id);
  if (outcome.denied > 0) {
    ++counters_.overQuota;
    // Each refused call has a time of its own, so no jitter is added.
    return finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kOverQuota, kTooManyRequestsStatus,
                                    std::max(1, base::millisecondsOf(outcome.retryAfter))));
  }
  finish(id, failureAnswer(CallOutcome::NOT_RUN, ErrorCode::kQuotaUnavailable, kUnavailableStatus,
                           base::millisecondsOf(withJitter(options_.overloadRetryAfter))));
}

}  // namespace driftlug::node
