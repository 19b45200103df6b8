#include "quarantine_page.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_text.h"
#include "quarantine/fingerprint_bytes.h"

namespace driftlug::apps {
namespace {

using nlohmann::json;
using quarantine::request_status;

constexpr std::string_view kPage = "/quarantine";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

int64_t millisecondsIn(base::Duration duration) {
  return std::chrono::duration_cast<base::milliseconds>(duration).count();
}

json describe(const quarantine::quarantined_request& request) {
  return {{"request", quarantine::toText(request.request)},
          {"service", request.service},
          {"standing", request.treatedAs == request_status::held ? "held" : "suspect"},
          {"crashes", request.crashes},
          {"last_crash_ms", millisecondsIn(request.sinceLast)},
          {"probe_in_ms", millisecondsIn(request.untilProbe)}};
}

transport::HttpResponse list(const quarantine::request_quarantine& quarantine) {
  json requests = json::array();
  for (const auto& request : quarantine.history().quarantinedRequests()) requests.push_back(describe(request));
  return transport::jsonResponse(kOk, base::jsonText({{"requests", requests}}) + "\n");
}

transport::HttpResponse failure(int status, const char* message) {
  return transport::jsonResponse(status, base::jsonText({{"error", "row_not_found"}, {"message", message}}) + "\n");
}

}  // namespace

bool isQuarantinePage(const std::string& path) { return path.compare(0, kPage.size(), kPage) == 0; }

transport::HttpResponse answerQuarantinePage(const transport::HttpRequest& request,
                                             quarantine::request_quarantine* quarantine) {
  if (request.path == kPage && request.method == "GET") return list(*quarantine);
  if (request.method != "DELETE") return failure(kMethodNotAllowed, "GET the list, or DELETE a fingerprint");
  const auto text = std::string_view(request.path).substr(std::min(request.path.size(), kPage.size() + 1));
  const auto fingerprint = quarantine::fingerprintFromText(text);
  if (!fingerprint || !quarantine->release(*fingerprint)) return failure(kNotFound, "no such request is known");
  return transport::jsonResponse(kOk, "{\"result\":\"released\"}\n");
}

void addQuarantineMetrics(const quarantine::request_quarantine& quarantine, base::MetricsPage* page) {
  const auto quarantinedRequests = quarantine.history().quarantinedRequests();
  const auto held = std::count_if(quarantinedRequests.begin(), quarantinedRequests.end(),
                                  [](const auto& request) { return request.treatedAs == request_status::held; });
  const auto& counters = quarantine.counters();
  page->gauge("quarantine_held", "requests that are not run since they crash back ends", static_cast<double>(held));
  page->gauge("quarantine_suspects", "requests that run on probation",
              static_cast<double>(static_cast<std::ptrdiff_t>(quarantinedRequests.size()) - held));
  page->gauge("quarantine_marks", "remembered runs under crashes", static_cast<double>(quarantine.history().marks()));
  page->counter("backend_crashes_total", "crashes of the back end beside this node", counters.crashes);
  page->counter("quarantine_cleared_total", "suspects that ran well beside this node", counters.cleared);
  page->counter("quarantine_held_total", "requests that this node learned to be held", counters.held);
  page->counter("quarantine_released_total", "held requests that run again", counters.released);
}

}  // namespace driftlug::apps
