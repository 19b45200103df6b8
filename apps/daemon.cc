#include "daemon.h"

#include <absl/strings/numbers.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "base/error.h"
#include "base/settings.h"
#include "descriptors/descriptor_shares.h"

DECLARE_bool(log_json);
DECLARE_string(log_level);

namespace driftlug::apps {

using transport::HttpResponse;

namespace {

transport::HttpServerOptions pageOptions() {
  transport::HttpServerOptions options;
  options.maxConnections = descriptors::kPageConnections;
  return options;
}

}  // namespace

PageServer::PageServer(transport::EventLoop& loop, const std::string& name, PageHandler handler)
    : handler_(std::move(handler)),
      server_(
          loop, name, pageOptions(),
          [this](transport::ExchangeId exchange, const transport::HttpRequest& request) {
            handler_(request,
                     [this, exchange](HttpResponse response) { server_.respond(exchange, std::move(response)); });
          },
          nullptr) {}

void PageServer::listenOrExit(const std::string& host, int port) {
  if (const auto status = server_.listen(host, port); !status.ok()) exitWithError(status);
}

AdminServer::AdminServer(transport::EventLoop& loop, DaemonPages pages)
    : pages_(std::move(pages)),
      server_(loop, "admin", [this](const auto& request, auto respond) { onRequest(request, respond); }) {}

void AdminServer::onRequest(const transport::HttpRequest& request, const std::function<void(HttpResponse)>& respond) {
  if (request.path == "/healthz") return respond(transport::jsonResponse(200, "{\"status\":\"ok\"}\n"));
  if (request.path == "/readyz") {
    const bool ready = !stopping_ && pages_.ready();
    const char* body = ready ? "{\"status\":\"ready\"}\n" : "{\"status\":\"not ready\"}\n";
    return respond(transport::jsonResponse(ready ? 200 : 503, body));
  }
  if (request.path == "/metrics") {
    base::MetricsPage page;
    pages_.metrics(&page);
    HttpResponse response;
    response.headers.push_back(transport::makeHeader("content-type", "text/plain; version=0.0.4"));
    response.body = page.text();
    return respond(response);
  }
  if (pages_.other) return pages_.other(request, respond);
  respond(transport::jsonResponse(404, "{\"error\":\"row_not_found\",\"message\":\"no such path\"}\n"));
}

void addLoopMetrics(const transport::EventLoop& loop, base::MetricsPage* page) {
  const auto& events = loop.longEvents();
  page->counter("loop_long_events_total", "events and timers that took 100 ms or longer", events.count);
  page->gauge("loop_longest_event_seconds", "longest event or timer since the start",
              std::chrono::duration<double>(events.longest).count());
}

void addFrameMetrics(const transport::FrameTransport& frames, base::MetricsPage* page) {
  page->counter("control_bytes_sent_total", "bytes of configuration traffic sent",
                frames.counters().sentFor(wire::Purpose::kControl));
  page->counter("log_bytes_sent_total", "bytes of the replicated log sent",
                frames.counters().sentFor(wire::Purpose::kLog));
  page->counter("ledger_bytes_sent_total", "bytes of ledger traffic sent",
                frames.counters().sentFor(wire::Purpose::kLedger));
  page->counter("frame_bytes_sent_total", "bytes of frames sent", frames.counters().bytesSent);
  page->counter("frame_bytes_received_total", "bytes of frames received", frames.counters().bytesReceived);
  page->counter("frame_bad_total", "connections closed for a bad frame", frames.counters().badFrames);
}

void exitWithError(const absl::Status& status) {
  const std::string name(base::errorName(base::errorCodeOf(status)));
  std::fprintf(stderr, "%s: %s\n", name.c_str(), base::errorText(status).c_str());
  std::exit(2);
}

absl::StatusOr<base::Address> parseAddress(const std::string& setting, const std::string& text) {
  base::Address address;
  const auto colon = text.rfind(':');
  if (colon != std::string::npos && absl::SimpleAtoi(text.substr(colon + 1), &address.port)) {
    address.host = text.substr(0, colon);
    if (address.port > 0 && address.port < 65536 && !address.host.empty()) return address;
  }
  return base::makeError(base::ErrorCode::kBadSetting, setting + ": '" + text + "' is not host:port");
}

absl::StatusOr<std::vector<base::Address>> parseAddresses(const std::string& setting, const std::string& text) {
  std::vector<base::Address> addresses;
  for (const auto& item : base::splitList(text)) {
    const auto address = parseAddress(setting, item);
    if (!address.ok()) return address.status();
    addresses.push_back(*address);
  }
  return addresses;
}

base::Address parseAddressOrExit(const std::string& setting, const std::string& text) {
  const auto address = parseAddress(setting, text);
  if (!address.ok()) exitWithError(address.status());
  return *address;
}

std::vector<base::Address> parseAddressesOrExit(const std::string& setting, const std::string& text) {
  auto addresses = parseAddresses(setting, text);
  if (!addresses.ok()) exitWithError(addresses.status());
  return *std::move(addresses);
}

base::Address listenAddressOrExit(const std::string& setting, const std::string& text, const std::string& host,
                                  int port) {
  return text.empty() ? base::Address{host, port} : parseAddressOrExit(setting, text);
}

std::vector<base::Address> hostsAtPort(const std::string& text, int port) {
  std::vector<base::Address> addresses;
  for (const auto& item : base::splitList(text)) addresses.push_back({item.substr(0, item.find(':')), port});
  return addresses;
}

uint64_t processSeed() {
  const auto now = base::BootClock::now().time_since_epoch().count();
  return static_cast<uint64_t>(now) ^ (static_cast<uint64_t>(getpid()) << 40);
}

void configureLogsFromSettings(base::LogTarget target) { base::configureLogs(FLAGS_log_json, FLAGS_log_level, target); }

}  // namespace driftlug::apps
