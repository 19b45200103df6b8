#include "entry_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/json_text.h"

namespace driftlug::apps {
namespace {

constexpr int kMillisecondsPerSecond = 1000;
constexpr size_t kMaxEntryBodyBytes = 64U << 20;

}  // namespace

EntryServer::EntryServer(transport::EventLoop& loop, node::EntryCalls& entry, EntryHeaders headers,
                         size_t maxConnections, memory::body_budget* budget)
    : entry_(entry),
      headers_(std::move(headers)),
      maxConnections_(maxConnections),
      budget_(budget),
      server_(
          loop, "entry", defaultOptions(),
          [this](transport::ExchangeId exchange, transport::HttpRequest request) {
            onRequest(exchange, std::move(request));
          },
          [this](transport::ExchangeId exchange) { onAbort(exchange); }) {}

transport::HttpServerOptions EntryServer::defaultOptions() const {
  transport::HttpServerOptions options;
  options.maxBodyBytes = kMaxEntryBodyBytes;
  options.maxConnections = maxConnections_;
  options.budget = budget_;
  return options;
}

void EntryServer::useTable(const routing::RoutingTable& table) {
  const auto& limits = table.ingress();
  auto options = defaultOptions();
  if (limits.maxHeadBytes > 0) options.maxHeadBytes = static_cast<size_t>(limits.maxHeadBytes);
  if (limits.maxBodyBytes > 0) options.maxBodyBytes = static_cast<size_t>(limits.maxBodyBytes);
  if (limits.headTimeoutMs > 0) options.headTimeout = base::milliseconds(limits.headTimeoutMs);
  if (limits.idleTimeoutMs > 0) options.idleTimeout = base::milliseconds(limits.idleTimeoutMs);
  server_.setOptions(options);
}

void EntryServer::onRequest(transport::ExchangeId exchange, transport::HttpRequest request) {
  calls_[exchange] = entry_.begin(toInbound(std::move(request)), [this, exchange](node::CallAnswer answer) {
    calls_.erase(exchange);
    server_.respond(exchange, toHttp(std::move(answer)));
  });
}

void EntryServer::onAbort(transport::ExchangeId exchange) {
  const auto call = calls_.find(exchange);
  if (call == calls_.end()) return;
  entry_.abandon(call->second);
  calls_.erase(call);
}

node::InboundCall EntryServer::toInbound(transport::HttpRequest request) const {
  node::InboundCall call;
  call.method = std::move(request.method);
  call.host = std::string(request.header("host"));
  call.host = call.host.substr(0, call.host.find(':'));
  call.path = std::move(request.path);
  if (!request.query.empty()) call.path += "?" + request.query;
  (void)absl::SimpleAtoi(std::string(request.header(headers_.deadline)), &call.deadlineMs);
  if (!headers_.credential.empty()) call.credential = std::string(request.header(headers_.credential));
  std::erase_if(request.headers, [this](const auto& header) {
    const auto& reserved = headers_.reserved;
    return std::find(reserved.begin(), reserved.end(), header.name) != reserved.end() || header.name == headers_.caller;
  });
  call.headers = std::move(request.headers);
  if (!headers_.caller.empty()) {
    call.headers.push_back(transport::makeHeader(headers_.caller, headers_.callerService));
  }
  call.body = request.body.empty() ? std::move(request.sharedBody) : memory::shared_body(std::move(request.body));
  return call;
}

/// Failures get a JSON body with error and outcome, and Retry-After if the time is known.
transport::HttpResponse EntryServer::toHttp(node::CallAnswer answer) const {
  transport::HttpResponse response;
  response.status = answer.httpStatus;
  response.headers = std::move(answer.headers);
  if (answer.outcome == wire::CallOutcome::COMPLETED) {
    response.sharedBody = std::move(answer.body);
    return response;
  }
  const bool unknown = answer.outcome == wire::CallOutcome::UNKNOWN;
  const nlohmann::json body = {{"error", base::errorName(answer.error)}, {"outcome", unknown ? "unknown" : "not_run"}};
  response.headers.push_back(transport::makeHeader("content-type", "application/json"));
  if (answer.retryAfterMs > 0) {
    const int wholeSeconds = (answer.retryAfterMs + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    const auto exact = static_cast<double>(answer.retryAfterMs) / kMillisecondsPerSecond;
    const auto text = headers_.fractionalRetryAfter ? absl::StrFormat("%.3f", exact) : std::to_string(wholeSeconds);
    response.headers.push_back(transport::makeHeader("retry-after", text));
  }
  response.body = base::jsonText(body) + "\n";
  return response;
}

}  // namespace driftlug::apps
