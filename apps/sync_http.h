/// Blocking HTTP requests for command-line tools.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/network.h"
#include "transport/http_client.h"

namespace driftlug::apps {

/// Sends one request at a time and blocks until it has a result.
class SyncHttp {
 public:
  ~SyncHttp() { loop_.close(); }

  /// @return the result; timedOut if no response arrived in time
  transport::HttpResult call(const base::Address& address, transport::HttpRequest request, base::Duration timeout);

  /// Sends a GET request; see call().
  transport::HttpResult get(const base::Address& address, const std::string& path, base::Duration timeout);

  /// Runs the event loop for the given duration.
  void wait(base::Duration duration);

  transport::EventLoop& loop() { return loop_; }

 private:
  transport::EventLoop loop_;
  std::map<base::Address, std::unique_ptr<transport::HttpClientPool>> pools_;
};

}  // namespace driftlug::apps
