/// Calls as the node's entry and endpoint sides pass them on.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::node {

/// @return the value of the first header of a name, in lower case, or empty.
inline std::string headerValue(const std::vector<wire::HttpHeader>& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (header.name == name) return header.value;
  }
  return "";
}

/// A request from a caller, as entry takes it.
struct InboundCall {
  std::string method;
  std::string host;
  std::string path;  ///< with the query
  std::vector<wire::HttpHeader> headers;
  std::string body;
  int deadlineMs = 0;      ///< from the caller; 0 when it set none
  std::string credential;  ///< key of a tenant; empty when the caller sent none
};

/// The final answer to a caller.
struct CallAnswer {
  wire::CallOutcome::type outcome = wire::CallOutcome::NOT_RUN;
  base::ErrorCode error = base::ErrorCode::kNone;
  int httpStatus = 503;
  std::vector<wire::HttpHeader> headers;
  std::string body;
  int retryAfterMs = 0;  ///< when the caller may ask again; 0 when nothing is known
};

using AnswerCallback = std::function<void(CallAnswer)>;

/// How a request to the back end ended.
enum class BackendOutcome {
  kCompleted,
  kNotSent,  ///< nothing reached the back end
  kUnknown,
};

/// Answer of the back end.
struct BackendAnswer {
  BackendOutcome outcome = BackendOutcome::kUnknown;
  bool timedOut = false;
  int httpStatus = 0;
  std::vector<wire::HttpHeader> headers;
  std::string body;
};

/// Requests to the back end beside the node.
class BackendClient {
 public:
  virtual ~BackendClient() = default;

  /// Sends a request; the callback comes later, never from within this call.
  /// @return an id for cancel()
  virtual uint64_t send(const wire::CallRequest& request, base::Duration timeout,
                        std::function<void(BackendAnswer)> done) = 0;

  /// Gives up a request; no callback follows.
  virtual void cancel(uint64_t id) = 0;

  /// The back end has started again: idle connections lead nowhere.
  virtual void dropIdleConnections() {}
};

}  // namespace driftlug::node
