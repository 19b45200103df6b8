/// Ledger claims for requests that may not be repeated.
#include <xxhash.h>

#include <memory>
#include <string_view>
#include <utility>

#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

constexpr base::Duration kLedgerRetryAfter = base::milliseconds(500);

/// @return a hash of the request's content, to detect a key that is reused for another request.
int64_t contentHashOf(const wire::CallRequest& request, std::string_view body) {
  const auto head = request.serviceName + '\n' + request.method + '\n' + request.path + '\n';
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  XXH3_64bits_update(state.get(), head.data(), head.size());
  XXH3_64bits_update(state.get(), body.data(), body.size());
  return static_cast<int64_t>(XXH3_64bits_digest(state.get()));
}

}  // namespace

void EndpointCalls::claim(const CallKey& key) {
  auto& call = calls_[key];
  ++call.claimAttempts;
  const auto left = call.deadline - scheduler_.now();
  ledger_->claim(call.request.idempotencyKey, contentHashOf(call.request, call.content()), call.owner, left,
                 [this, alive = std::weak_ptr<bool>(alive_), key](const ledger::LedgerAnswer& answer) {
                   if (!alive.expired()) onClaim(key, answer);
                 });
}

void EndpointCalls::onClaim(const CallKey& key, const ledger::LedgerAnswer& answer) {
  constexpr int kMaxClaims = 4;
  constexpr base::Duration kClaimInterval = base::milliseconds(100);
  if (calls_.count(key) == 0) return;
  switch (answer.verdict) {
    case wire::LedgerVerdict::GRANTED:
      return sendToBackend(key);
    case wire::LedgerVerdict::COMPLETED:
      ++counters_.replayed;
      return answerStored(key, *answer.stored);
    case wire::LedgerVerdict::MISMATCH:
      return refuse(key, ErrorCode::kKeyReused, base::Duration(0));
    case wire::LedgerVerdict::CLAIMED:
      // Another attempt with the key is running, or its node crashed; its answer may be stored soon.
      if (calls_[key].claimAttempts >= kMaxClaims) return answerUnknown(key, ErrorCode::kOutcomeUnknown);
      scheduler_.schedule(kClaimInterval, [this, alive = std::weak_ptr<bool>(alive_), key] {
        if (!alive.expired() && calls_.count(key) > 0) claim(key);
      });
      return;
    case wire::LedgerVerdict::UNAVAILABLE:
      return releaseClaimAndRefuse(key, ErrorCode::kLedgerUnavailable, kLedgerRetryAfter);
  }
}

void EndpointCalls::answerStored(const CallKey& key, wire::StoredAnswer stored) {
  memory::shared_body body(std::move(stored.body));
  answerCompleted(key, std::move(stored), std::move(body));
}

/// Stores an answer for resends of its key, without notices: they would be taken for those of the endpoint that replays
/// the answer.
void EndpointCalls::storeAnswer(const Call& call, wire::StoredAnswer stored) {
  std::erase_if(stored.headers,
                [this](const auto& header) { return backpressure::isNotice(header, options_.notices); });
  ledger_->complete(call.request.idempotencyKey, call.owner, stored, kLedgerTimeout);
}

void EndpointCalls::releaseClaimAndRefuse(const CallKey& key, ErrorCode error, base::Duration retryAfter) {
  const auto& call = calls_[key];
  if (call.owner.empty()) return refuse(key, error, retryAfter);
  // Another endpoint may run the request only once the key is released. If the ledger does not confirm, the key stays
  // claimed and a resend is answered with an unknown outcome.
  ledger_->release(call.request.idempotencyKey, call.owner, kLedgerTimeout,
                   [this, alive = std::weak_ptr<bool>(alive_), key, error, retryAfter](const ledger::LedgerAnswer&) {
                     if (!alive.expired() && calls_.count(key) > 0) refuse(key, error, retryAfter);
                   });
}

}  // namespace driftlug::node
