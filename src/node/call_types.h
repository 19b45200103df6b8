/// Types of calls shared by the entry and endpoint sides of a node.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "memory/shared_body.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::node {

/// @param name in lower case
/// @return the value of the first header with this name, or an empty string.
inline std::string headerValue(const std::vector<wire::HttpHeader>& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (header.name == name) return header.value;
  }
  return "";
}

/// @return time left until a deadline, in milliseconds; negative once it has passed.
inline int64_t remainingMs(base::TimePoint deadline, base::TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

/// A request received from a caller.
struct InboundCall {
  std::string method;
  std::string host;
  std::string path;  ///< including the query
  std::vector<wire::HttpHeader> headers;
  memory::shared_body body;
  int deadlineMs = 0;      ///< time limit set by the caller; 0 for none
  std::string credential;  ///< API key of a tenant; empty if the caller sent none
};

/// The final answer to a caller.
struct CallAnswer {
  wire::CallOutcome::type outcome = wire::CallOutcome::NOT_RUN;
  base::ErrorCode error = base::ErrorCode::kNone;
  int httpStatus = 503;
  std::vector<wire::HttpHeader> headers;
  memory::shared_body body;
  int retryAfterMs = 0;  ///< suggested delay before a retry; 0 if unknown
};

using AnswerCallback = std::function<void(CallAnswer)>;

/// How a request to the back end ended.
enum class BackendOutcome {
  kCompleted,
  kNotSent,  ///< nothing reached the back end
  kUnknown,
};

/// Result of a request to the back end.
struct BackendAnswer {
  BackendOutcome outcome = BackendOutcome::kUnknown;
  bool timedOut = false;
  int httpStatus = 0;
  std::vector<wire::HttpHeader> headers;
  memory::shared_body body;
  bool overLimit = false;  ///< the back end sent more than is read of an answer
};

/// Client of the local back end.
class BackendClient {
 public:
  virtual ~BackendClient() = default;

  /// Sends a request. The callback runs later, never from within this call.
  /// @return an id for cancel()
  virtual uint64_t send(const wire::CallRequest& request, base::Duration timeout,
                        std::function<void(BackendAnswer)> done) = 0;

  /// Same as send() for a request whose body is not a part of `request`, and is not copied.
  virtual uint64_t sendWithBody(const wire::CallRequest& request, memory::shared_body body, base::Duration timeout,
                                std::function<void(BackendAnswer)> done) {
    auto whole = request;
    whole.body = body.view();
    return send(whole, timeout, std::move(done));
  }

  /// Cancels a request; its callback is not called.
  virtual void cancel(uint64_t id) = 0;

  /// Closes idle connections, which are stale after a restart of the back end.
  virtual void dropIdleConnections() {}
};

}  // namespace driftlug::node
