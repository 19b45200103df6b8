/// Blocking HTTP requests for command-line tools.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/network.h"
#include "transport/http_client.h"

namespace driftlug::apps {

/// Sends one request at a time and waits for its result.
class SyncHttp {
 public:
  ~SyncHttp() { loop_.close(); }

  /// @return the result; timedOut when no answer came in time
  transport::HttpResult call(const base::Address& address, transport::HttpRequest request, base::Duration timeout);

  /// A GET request.
  transport::HttpResult get(const base::Address& address, const std::string& path, base::Duration timeout);

  /// Runs the event loop for a while.
  void wait(base::Duration duration);

  transport::EventLoop& loop() { return loop_; }

 private:
  transport::EventLoop loop_;
  std::map<base::Address, std::unique_ptr<transport::HttpClientPool>> pools_;
};

}  // namespace driftlug::apps
