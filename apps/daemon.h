/// What all daemons share: settings, the event loop, health pages and planned stops.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/log.h"
#include "base/metrics.h"
#include "base/network.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace driftlug::apps {

/// Answers a request that is none of the shared pages.
using PageHandler = std::function<void(const transport::HttpRequest&, std::function<void(transport::HttpResponse)>)>;

/// What a daemon reports of itself.
struct DaemonPages {
  std::function<bool()> ready;
  std::function<void(base::MetricsPage*)> metrics;
  PageHandler other;  ///< may be empty
};

/// The administration listener of a daemon: /healthz, /readyz and /metrics.
class AdminServer {
 public:
  AdminServer(transport::EventLoop& loop, DaemonPages pages);

  /// Listens, or prints a typed line and exits 2.
  void listenOrExit(const std::string& host, int port);

  /// Makes /readyz answer 503 from now on.
  void setStopping() { stopping_ = true; }

 private:
  void onRequest(transport::ExchangeId exchange, const transport::HttpRequest& request);

  DaemonPages pages_;
  bool stopping_ = false;
  transport::HttpServer server_;
};

/// Prints one typed line and exits 2.
[[noreturn]] void exitWithError(const absl::Status& status);

/// Parses `host:port`; exits 2 when it is malformed.
base::Address parseAddressOrExit(const std::string& setting, const std::string& text);

/// @return a seed that differs between processes and starts.
uint64_t processSeed();

/// Sets logs up from --log_json and --log_level.
void configureLogsFromSettings();

}  // namespace driftlug::apps
