#include "relay/version_reports.h"

namespace driftlug::relay {
namespace {

/// Time for which reports are batched.
constexpr base::Duration kBatchDelay = base::milliseconds(100);

}  // namespace

VersionReportSender::VersionReportSender(base::Scheduler& scheduler, const TableReplica& replica,
                                         const membership::EndpointDirectory& endpoints, Send send)
    : replica_(replica), endpoints_(endpoints), send_(std::move(send)), flushTimer_(scheduler, [this] { flush(); }) {}

void VersionReportSender::onReports(const wire::VersionReports& reports) {
  for (const auto& report : reports.reports) pending_[report.endpoint] = report;
  if (!pending_.empty() && !flushTimer_.running()) flushTimer_.start(kBatchDelay);
}

void VersionReportSender::flush() {
  wire::VersionReports message;
  for (auto& [endpoint, report] : pending_) message.reports.push_back(std::move(report));
  pending_.clear();
  (void)send_(message);
}

void VersionReportSender::onNewEndpointStates(const std::vector<wire::EndpointState>& states) {
  for (const auto& state : states) {
    const bool reportsVersion = !state.version.empty() && state.condition == wire::EndpointCondition::LIVE;
    const auto row = table::makeKey(table::RowKind::ROLLOUT, state.serviceName);
    if (reportsVersion && !replica_.table().find(row)) servicesWithoutRollout_.insert(state.serviceName);
  }
}

void VersionReportSender::reportServicesWithoutRollout() {
  std::erase_if(servicesWithoutRollout_, [this](const std::string& service) {
    return replica_.table().find(table::makeKey(table::RowKind::ROLLOUT, service)) != nullptr;
  });
  if (servicesWithoutRollout_.empty()) return;
  std::map<std::pair<std::string, std::string>, int> counts;
  for (const auto& service : servicesWithoutRollout_) {
    for (const auto& state : endpoints_.ofService(service)) {
      const bool reportsVersion = !state.version.empty() && state.condition == wire::EndpointCondition::LIVE;
      if (reportsVersion) ++counts[{service, state.version}];
    }
  }
  wire::SeenVersions message;
  for (const auto& [name, endpoints] : counts) {
    wire::SeenVersion seen;
    seen.serviceName = name.first;
    seen.version = name.second;
    seen.endpoints = endpoints;
    message.versions.push_back(seen);
  }
  if (!message.versions.empty()) (void)send_(message);
}

}  // namespace driftlug::relay
