/// Code shared by all daemons: command-line settings, HTTP listeners, health and metrics pages.
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

/// Handles an HTTP request; calls the callback once with the response.
using PageHandler = std::function<void(const transport::HttpRequest&, std::function<void(transport::HttpResponse)>)>;

/// HTTP listener that passes every request to one handler.
class PageServer {
 public:
  PageServer(transport::EventLoop& loop, const std::string& name, PageHandler handler);

  /// Starts listening; on failure prints an error line and exits with status 2.
  void listenOrExit(const std::string& host, int port);

  /// @return the listening port.
  int port() const { return server_.port(); }

 private:
  PageHandler handler_;
  transport::HttpServer server_;
};

/// Callbacks behind the administration pages of a daemon.
struct DaemonPages {
  std::function<bool()> ready;
  std::function<void(base::MetricsPage*)> metrics;
  PageHandler other;  ///< handles all other paths; may be empty
};

/// Administration listener of a daemon: serves /healthz, /readyz and /metrics.
class AdminServer {
 public:
  AdminServer(transport::EventLoop& loop, DaemonPages pages);

  /// Starts listening; on failure prints an error line and exits with status 2.
  void listenOrExit(const std::string& host, int port) { server_.listenOrExit(host, port); }

  /// @return the listening port.
  int port() const { return server_.port(); }

  /// Makes /readyz answer 503 from now on.
  void setStopping() { stopping_ = true; }

 private:
  void onRequest(const transport::HttpRequest& request, const std::function<void(transport::HttpResponse)>& respond);

  DaemonPages pages_;
  bool stopping_ = false;
  PageServer server_;
};

/// Adds the number of events that blocked the event loop for 100 ms or longer, and the longest one.
void addLoopMetrics(const transport::EventLoop& loop, base::MetricsPage* page);

/// Adds the byte counters of a frame transport by purpose and its count of bad frames.
void addFrameMetrics(const transport::FrameTransport& frames, base::MetricsPage* page);

/// Prints the error name and text on one line and exits with status 2.
[[noreturn]] void exitWithError(const absl::Status& status);

/// Parses `host:port`.
/// @return the address, or kBadSetting
absl::StatusOr<base::Address> parseAddress(const std::string& setting, const std::string& text);

/// Parses a comma-separated list of `host:port`.
/// @return the addresses, or kBadSetting
absl::StatusOr<std::vector<base::Address>> parseAddresses(const std::string& setting, const std::string& text);

/// Same as parseAddress() and parseAddresses(), but exit with status 2 on malformed text.
base::Address parseAddressOrExit(const std::string& setting, const std::string& text);
std::vector<base::Address> parseAddressesOrExit(const std::string& setting, const std::string& text);

/// @return the address in a `host:port` setting, or `host` and `port` if the setting is empty; exits with status 2 if
/// it is malformed.
base::Address listenAddressOrExit(const std::string& setting, const std::string& text, const std::string& host,
                                  int port);

/// Parses a comma-separated list of `host` or `host:port` and combines each host with `port`; ports in the text are
/// ignored.
std::vector<base::Address> hostsAtPort(const std::string& text, int port);

/// @return a random seed that differs between processes and between starts of one process.
uint64_t processSeed();

/// Configures logging from --log_json and --log_level.
void configureLogsFromSettings(base::LogTarget target = base::LogTarget::kErrors);

}  // namespace driftlug::apps
