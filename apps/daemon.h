/// What all daemons share: settings, the event loop, health pages and planned stops.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "base/network.h"
#include "transport/event_loop.h"
#include "transport/frame_transport.h"
#include "transport/http_server.h"

namespace driftlug::apps {

/// Answers a request that is none of the shared pages.
using PageHandler = std::function<void(const transport::HttpRequest&, std::function<void(transport::HttpResponse)>)>;

/// A listener all of whose requests one handler answers.
class PageServer {
 public:
  PageServer(transport::EventLoop& loop, const std::string& name, PageHandler handler);

  /// Listens, or prints a typed line and exits 2.
  void listenOrExit(const std::string& host, int port);

  /// @return the port listened on.
  int port() const { return server_.port(); }

 private:
  PageHandler handler_;
  transport::HttpServer server_;
};

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
  void listenOrExit(const std::string& host, int port) { server_.listenOrExit(host, port); }

  /// @return the port listened on.
  int port() const { return server_.port(); }

  /// Makes /readyz answer 503 from now on.
  void setStopping() { stopping_ = true; }

 private:
  void onRequest(const transport::HttpRequest& request, const std::function<void(transport::HttpResponse)>& respond);

  DaemonPages pages_;
  bool stopping_ = false;
  PageServer server_;
};

/// Adds how often and for how long single events kept the loop from all others.
void addLoopMetrics(const transport::EventLoop& loop, base::MetricsPage* page);

/// Adds the bytes of a frame transport by purpose, and its damaged frames.
void addFrameMetrics(const transport::FrameTransport& frames, base::MetricsPage* page);

/// Prints one typed line and exits 2.
[[noreturn]] void exitWithError(const absl::Status& status);

/// @return an address that is written as host:port, or kBadSetting
absl::StatusOr<base::Address> parseAddress(const std::string& setting, const std::string& text);

/// @return addresses that are written as host:port, separated by commas, or kBadSetting
absl::StatusOr<std::vector<base::Address>> parseAddresses(const std::string& setting, const std::string& text);

/// Parses `host:port`; exits 2 when it is malformed.
base::Address parseAddressOrExit(const std::string& setting, const std::string& text);
std::vector<base::Address> parseAddressesOrExit(const std::string& setting, const std::string& text);

/// @return the address that a `host:port` setting names, or host and port where it is empty; exits 2 when malformed.
base::Address listenAddressOrExit(const std::string& setting, const std::string& text, const std::string& host,
                                  int port);

/// Parses hosts, each `host` or `host:port`, whose processes all listen on one port.
std::vector<base::Address> hostsAtPort(const std::string& text, int port);

/// @return a seed that differs between processes and starts.
uint64_t processSeed();

/// Sets logs up from --log_json and --log_level.
void configureLogsFromSettings(base::LogTarget target = base::LogTarget::kErrors);

}  // namespace driftlug::apps
