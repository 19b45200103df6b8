/// Page and metrics of a node about requests that crash back ends.
#pragma once

#include "base/metrics.h"
#include "quarantine/request_quarantine.h"
#include "transport/http.h"

namespace driftlug::apps {

/// @return whether the path belongs to the quarantine page.
bool isQuarantinePage(const std::string& path);

/// `GET /quarantine` lists suspects and held requests; `DELETE /quarantine/FINGERPRINT` releases one on all nodes.
/// @return the response; 404 for an unknown fingerprint, 405 for other methods
transport::HttpResponse answerQuarantinePage(const transport::HttpRequest& request,
                                             quarantine::request_quarantine* quarantine);

void addQuarantineMetrics(const quarantine::request_quarantine& quarantine, base::MetricsPage* page);

}  // namespace driftlug::apps
