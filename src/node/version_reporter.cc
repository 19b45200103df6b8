#include "node/version_reporter.h"

namespace driftlug::node {
namespace {

/// Interval of reports; the detection of a bad version is delayed by up to this time. With 74 nodes, each sends four
/// reports of 100 bytes per second while a rollout of the service is running.
constexpr base::Duration kReportInterval = base::milliseconds(250);

}  // namespace

VersionReporter::VersionReporter(std::string service, base::Scheduler& scheduler, base::RandomSource random,
                                 EndpointCalls& calls, Send send)
    : service_(std::move(service)),
      scheduler_(scheduler),
      random_(random),
      calls_(calls),
      send_(std::move(send)),
      epoch_(static_cast<int64_t>(random_.bits() >> 1)),
      timer_(scheduler, [this] { report(); }) {}

void VersionReporter::useTable(const routing::RoutingTable& table) {
  const auto* policy = service_.empty() ? nullptr : table.versions(service_);
  policy_ = policy == nullptr ? std::nullopt : std::optional(*policy);
  tableRevision_ = table.revision();
  const bool running = policy_ && policy_->running;
  if (!running) {
    timer_.stop();
    return statistics_.clear();
  }
  // All nodes receive a rollout at the same time; a random delay spreads their reports.
  if (!timer_.running()) timer_.start(random_.duration(kReportInterval) + base::milliseconds(1));
}

void VersionReporter::useBackend(const std::string& endpoint, const std::string& version, int slots, int coldMs) {
  if (endpoint != endpoint_) {
    statistics_.clear();
    epoch_ = static_cast<int64_t>(random_.bits() >> 1);
  }
  endpoint_ = endpoint;
  version_ = version;
  slots_ = slots;
  coldUntil_ = scheduler_.now() + base::milliseconds(coldMs);
}

void VersionReporter::onRun(const BackendRunResult& run) {
  if (policy_ && policy_->running) statistics_.record(run.route, run.failed, run.runTime, {cold(), run.underLoad});
}

void VersionReporter::report() {
  timer_.start(kReportInterval);
  const bool inRollout = version_ == policy_->standing || version_ == policy_->target;
  if (endpoint_.empty() || !inRollout) return;
  wire::VersionReport report;
  report.serviceName = service_;
  report.endpoint = endpoint_;
  report.version = version_;
  report.life = epoch_;
  report.sequence = ++sequence_;
  report.revision = tableRevision_;
  report.active = static_cast<int32_t>(calls_.active());
  report.slots = slots_;
  report.coldMs = cold() ? base::millisecondsOf(coldUntil_ - scheduler_.now()) : 0;
  statistics_.fill(&report);
  wire::VersionReports message;
  message.reports.push_back(std::move(report));
  (void)send_(message);
}

}  // namespace driftlug::node
