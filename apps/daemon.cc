#include "daemon.h"

#include <absl/strings/numbers.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "base/error.h"

DECLARE_bool(log_json);
DECLARE_string(log_level);

namespace driftlug::apps {

using transport::HttpResponse;

AdminServer::AdminServer(transport::EventLoop& loop, DaemonPages pages)
    : pages_(std::move(pages)),
      server_(
          loop, "admin", {},
          [this](transport::ExchangeId exchange, const transport::HttpRequest& request) {
            onRequest(exchange, request);
          },
          nullptr) {}

void AdminServer::listenOrExit(const std::string& host, int port) {
  if (const auto status = server_.listen(host, port); !status.ok()) exitWithError(status);
}

void AdminServer::onRequest(transport::ExchangeId exchange, const transport::HttpRequest& request) {
  if (request.path == "/healthz") {
    return server_.respond(exchange, transport::jsonResponse(200, "{\"status\":\"ok\"}\n"));
  }
  if (request.path == "/readyz") {
    const bool ready = !stopping_ && pages_.ready();
    const char* body = ready ? "{\"status\":\"ready\"}\n" : "{\"status\":\"not ready\"}\n";
    return server_.respond(exchange, transport::jsonResponse(ready ? 200 : 503, body));
  }
  if (request.path == "/metrics") {
    base::MetricsPage page;
    pages_.metrics(&page);
    HttpResponse response;
    response.headers.push_back(transport::makeHeader("content-type", "text/plain; version=0.0.4"));
    response.body = page.text();
    return server_.respond(exchange, response);
  }
  if (pages_.other) {
    return pages_.other(request,
                        [this, exchange](HttpResponse response) { server_.respond(exchange, std::move(response)); });
  }
  server_.respond(exchange,
                  transport::jsonResponse(404, "{\"error\":\"row_not_found\",\"message\":\"no such path\"}\n"));
}

void exitWithError(const absl::Status& status) {
  const std::string name(base::errorName(base::errorCodeOf(status)));
  std::fprintf(stderr, "%s: %s\n", name.c_str(), base::errorText(status).c_str());
  std::exit(2);
}

base::Address parseAddressOrExit(const std::string& setting, const std::string& text) {
  base::Address address;
  const auto colon = text.rfind(':');
  if (colon != std::string::npos && absl::SimpleAtoi(text.substr(colon + 1), &address.port)) {
    address.host = text.substr(0, colon);
    if (address.port > 0 && address.port < 65536 && !address.host.empty()) return address;
  }
  exitWithError(base::makeError(base::ErrorCode::kBadSetting, setting + ": '" + text + "' is not host:port"));
}

uint64_t processSeed() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch().count();
  return static_cast<uint64_t>(now) ^ (static_cast<uint64_t>(getpid()) << 40);
}

void configureLogsFromSettings() { base::configureLogs(FLAGS_log_json, FLAGS_log_level); }

}  // namespace driftlug::apps
