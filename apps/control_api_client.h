/// Client of the controllers' HTTP API: follows redirects to the leader and retries edits idempotently.
#pragma once

#include <string>
#include <vector>

#include "base/error.h"
#include "nlohmann/json.hpp"
#include "sync_http.h"

namespace driftlug::apps {

/// Answer of a controller.
struct ApiAnswer {
  int status = 0;  ///< HTTP status; 0 when no controller answered in time
  nlohmann::json body;
  base::ErrorCode error = base::ErrorCode::kNone;
};

/// Sends requests to the leading controller.
class ControlApiClient {
 public:
  ControlApiClient(SyncHttp& http, std::vector<base::Address> controllers, base::Duration timeout);

  /// Retries a request until a leader answers or the timeout expires. Requests must be safe to repeat.
  ApiAnswer request(const std::string& method, const std::string& path, const std::string& body);

  /// Sends an edit, retrying with the same request id until its outcome is known.
  /// @return the answer; kOutcomeUnknown if none arrived in time, kNotAccepted if the edit was not sent
  ApiAnswer edit(nlohmann::json edit);

  /// @return the table's revision, or -1 when no leader answered.
  int64_t currentRevision();

 private:
  base::Address nextController();

  SyncHttp& http_;
  std::vector<base::Address> controllers_;
  base::Duration timeout_;
  size_t nextIndex_ = 0;
};

/// @return a random 128-bit request id in hexadecimal.
std::string makeRequestId();

}  // namespace driftlug::apps
