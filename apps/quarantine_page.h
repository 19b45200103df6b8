/// A node's page and figures of requests that crash back ends.
#pragma once

#include "base/metrics.h"
#include "quarantine/request_quarantine.h"
#include "transport/http.h"

namespace driftlug::apps {

/// @return whether a path belongs to this page.
bool isQuarantinePage(const std::string& path);

/// `GET /quarantine` lists suspects and held requests; `DELETE /quarantine/FINGERPRINT` lets one run again, at all
/// nodes.
/// @return the answer; 404 for a fingerprint that nothing is known of, 405 for other methods
transport::HttpResponse answerQuarantinePage(const transport::HttpRequest& request,
                                             quarantine::request_quarantine* quarantine);

void addQuarantineMetrics(const quarantine::request_quarantine& quarantine, base::MetricsPage* page);

}  // namespace driftlug::apps
