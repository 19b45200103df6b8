#include "node/endpoint_calls.h"

#include <algorithm>

#include "wire/frame.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

/// A back end that sheds load marks the answer so; it promises that the request did not run.
constexpr char kShedHeader[] = "x-shed";
constexpr base::Duration kShedRetryAfter = base::milliseconds(100);

bool hasHeader(const std::vector<wire::HttpHeader>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) { return header.name == name; });
}

}  // namespace

EndpointCalls::EndpointCalls(EndpointOptions options, base::Scheduler& scheduler, base::Network& network,
                             BackendClient& backend)
    : options_(std::move(options)),
      scheduler_(scheduler),
      network_(network),
      backend_(backend),
      limiter_(scheduler, options_.defaultSlots, options_.defaultQueue) {}

void EndpointCalls::useTable(const routing::RoutingTable& table) {
  const auto* limit = table.limit(options_.service);
  if (limit != nullptr) {
    limiter_.setLimits(limit->maxConcurrent, limit->maxQueued);
  } else {
    limiter_.setLimits(options_.defaultSlots, options_.defaultQueue);
  }
}

bool EndpointCalls::isRepeatable(const wire::CallRequest& request) { return request.idempotencyKey.empty(); }

void EndpointCalls::onRequest(base::ConnectionId connection, const wire::CallRequest& request) {
  const CallKey key{connection, request.callId};
  ++counters_.calls;
  if (calls_.count(key) > 0) return;
  auto& call = calls_[key];
  call.request = request;
  call.deadline = scheduler_.now() + base::milliseconds(request.remainingMs);
  if (options_.service.empty() || request.serviceName != options_.service) {
    return refuse(key, ErrorCode::kNoEndpoint, base::Duration(0));
  }
  if (draining_) return refuse(key, ErrorCode::kDraining, base::Duration(0));
  const auto priority = isRepeatable(request) ? limits::Priority::kNormal : limits::Priority::kMustRun;
  const auto ticket = limiter_.acquire(
      priority, call.deadline, [this, key] { run(key); },
      [this, key](limits::SlotRefusal) {
        const auto wait = std::max<base::Duration>(base::milliseconds(1), limiter_.expectedWait());
        refuse(key, ErrorCode::kOverloaded, wait);
      });
  if (const auto found = calls_.find(key); found != calls_.end()) found->second.ticket = ticket;
}

void EndpointCalls::run(const CallKey& key) {
  auto& call = calls_[key];
  call.running = true;
  call.startedAt = scheduler_.now();
  const auto timeout = call.deadline - call.startedAt;
  call.backendId = backend_.send(call.request, timeout,
                                 [this, key](BackendAnswer answer) { onBackendAnswer(key, std::move(answer)); });
}

void EndpointCalls::onBackendAnswer(const CallKey& key, BackendAnswer answer) {
  const auto found = calls_.find(key);
  if (found == calls_.end()) return;
  const auto held = scheduler_.now() - found->second.startedAt;
  if (answer.outcome == BackendOutcome::kNotSent) {
    refuse(key, ErrorCode::kBackendUnreachable, base::Duration(0));
  } else if (answer.outcome == BackendOutcome::kCompleted && hasHeader(answer.headers, kShedHeader)) {
    refuse(key, ErrorCode::kOverloaded, kShedRetryAfter);
  } else {
    wire::CallResponse response;
    const bool completed = answer.outcome == BackendOutcome::kCompleted;
    response.outcome = completed ? wire::CallOutcome::COMPLETED : wire::CallOutcome::UNKNOWN;
    response.httpStatus = answer.httpStatus;
    response.headers = std::move(answer.headers);
    response.body = std::move(answer.body);
    if (!completed) {
      const auto error = answer.timedOut ? ErrorCode::kDeadlineExceeded : ErrorCode::kBackendFailed;
      response.errorCode = static_cast<int>(error);
    }
    ++(completed ? counters_.completed : counters_.unknown);
    this->answer(key, std::move(response));
  }
  limiter_.release(held);
}

void EndpointCalls::refuse(const CallKey& key, ErrorCode error, base::Duration retryAfter) {
  ++counters_.refused;
  wire::CallResponse response;
  response.outcome = wire::CallOutcome::NOT_RUN;
  response.errorCode = static_cast<int>(error);
  response.retryAfterMs = static_cast<int32_t>(retryAfter.count() / 1000);
  answer(key, std::move(response));
}

void EndpointCalls::answer(const CallKey& key, wire::CallResponse response) {
  response.callId = key.callId;
  response.inFlight = limiter_.running() + static_cast<int>(limiter_.waiting());
  calls_.erase(key);
  network_.send(key.connection, wire::encodeFrame(response));
}

void EndpointCalls::onCancel(base::ConnectionId connection, int64_t callId) {
  const CallKey key{connection, callId};
  const auto found = calls_.find(key);
  if (found == calls_.end()) return;
  ++counters_.cancelled;
  if (!found->second.running) {
    limiter_.cancel(found->second.ticket);
    calls_.erase(found);
    return;
  }
  // A request that may not be repeated is let finish, so that its outcome stays known to the back end.
  if (!isRepeatable(found->second.request)) return;
  const auto held = scheduler_.now() - found->second.startedAt;
  backend_.cancel(found->second.backendId);
  calls_.erase(found);
  limiter_.release(held);
}

void EndpointCalls::onClose(base::ConnectionId connection) {
  std::vector<int64_t> callIds;
  for (auto call = calls_.lower_bound({connection, INT64_MIN}); call != calls_.end(); ++call) {
    if (call->first.connection != connection) break;
    callIds.push_back(call->first.callId);
  }
  for (const auto callId : callIds) onCancel(connection, callId);
}

}  // namespace driftlug::node
