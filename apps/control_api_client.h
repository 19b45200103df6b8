/// A client of the operators' interface: finds the leader and sends edits again safely.
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

/// Requests to whichever controller leads.
class ControlApiClient {
 public:
  ControlApiClient(SyncHttp& http, std::vector<base::Address> controllers, base::Duration timeout);

  /// Sends a request until a leader answered or the time is over. Requests must be safe to repeat.
  ApiAnswer request(const std::string& method, const std::string& path, const std::string& body);

  /// Sends an edit under one request id until its outcome is known.
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

/// @return a request id that no other call makes.
std::string makeRequestId();

}  // namespace driftlug::apps
