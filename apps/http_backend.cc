#include "http_backend.h"

#include "node/endpoint_name.h"

namespace driftlug::apps {
namespace {

node::BackendOutcome outcomeOf(transport::HttpOutcome outcome) {
  switch (outcome) {
    case transport::HttpOutcome::kCompleted:
      return node::BackendOutcome::kCompleted;
    case transport::HttpOutcome::kNotSent:
      return node::BackendOutcome::kNotSent;
    case transport::HttpOutcome::kUnknown:
      return node::BackendOutcome::kUnknown;
  }
  return node::BackendOutcome::kUnknown;
}

}  // namespace

HttpBackend::HttpBackend(transport::EventLoop& loop, const base::Address& address, size_t maxConnections,
                         BackendHeaders headers, memory::body_budget* budget)
    : headers_(std::move(headers)), pool_(loop, "backend", address, [&] {
        transport::HttpPoolOptions options;
        options.maxConnections = maxConnections;
        options.correlationHeader = headers_.correlation;
        options.budget = budget;
        return options;
      }()) {}

uint64_t HttpBackend::send(const wire::CallRequest& request, base::Duration timeout,
                           std::function<void(node::BackendAnswer)> done) {
  return sendWithBody(request, memory::shared_body(request.body), timeout, std::move(done));
}

uint64_t HttpBackend::sendWithBody(const wire::CallRequest& request, memory::shared_body body, base::Duration timeout,
                                   std::function<void(node::BackendAnswer)> done) {
  transport::HttpRequest out;
  out.method = request.method;
  const auto question = request.path.find('?');
  out.path = request.path.substr(0, question);
  if (question != std::string::npos) out.query = request.path.substr(question + 1);
  out.headers = request.headers;
  std::erase_if(out.headers, [this](const auto& header) {
    return header.name == headers_.deadline || header.name == headers_.incarnation || header.name == "idempotency-key";
  });
  out.headers.push_back(transport::makeHeader(headers_.deadline, std::to_string(timeout.count() / 1000)));
  if (!headers_.incarnation.empty() && !request.endpoint.empty()) {
    out.headers.push_back(
        transport::makeHeader(headers_.incarnation, std::string(node::backendNameOf(request.endpoint))));
  }
  if (!request.idempotencyKey.empty()) {
    out.headers.push_back(transport::makeHeader("idempotency-key", request.idempotencyKey));
  }
  out.sharedBody = std::move(body);
  return pool_.send(std::move(out), timeout, [done = std::move(done)](transport::HttpResult result) {
    node::BackendAnswer answer;
    answer.outcome = outcomeOf(result.outcome);
    answer.timedOut = result.timedOut;
    answer.httpStatus = result.response.status;
    answer.headers = std::move(result.response.headers);
    answer.overLimit = result.overLimit;
    answer.body = result.response.body.empty() ? std::move(result.response.sharedBody)
                                               : memory::shared_body(std::move(result.response.body));
    done(std::move(answer));
  });
}

void HttpBackend::cancel(uint64_t id) { pool_.cancel(id); }

}  // namespace driftlug::apps
