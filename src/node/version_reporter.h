/// Reports how the local back end performs to the controllers while a rollout of its service is running.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "node/endpoint_calls.h"
#include "rollout/run_statistics.h"
#include "rollout/version_policy.h"

namespace driftlug::node {

/// Counts answers by route and reports them, with the number of active calls, several times a second.
///
/// Invariant: without a running rollout of the service, nothing is counted and nothing is sent.
class VersionReporter {
 public:
  using Send = std::function<bool(const wire::Message&)>;

  /// @param send sends to the current relay; returns false if not connected
  VersionReporter(std::string service, base::Scheduler& scheduler, base::RandomSource random, EndpointCalls& calls,
                  Send send);

  /// Reads the version policy of the service from a new version of the table.
  void useTable(const routing::RoutingTable& table);

  /// Sets the local back end from its last report.
  /// @param endpoint empty while none is known
  /// @param coldMs remaining time for which it is slow after its start
  void useBackend(const std::string& endpoint, const std::string& version, int slots, int coldMs);

  /// Counts a finished run on the back end.
  void onRun(const BackendRunResult& run);

 private:
  bool cold() const { return scheduler_.now() < coldUntil_; }
  void report();

  std::string service_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  EndpointCalls& calls_;
  Send send_;
  std::optional<rollout::version_policy> policy_;
  int64_t tableRevision_ = 0;
  std::string endpoint_;
  std::string version_;
  int slots_ = 0;
  base::TimePoint coldUntil_{};
  int64_t epoch_;
  int64_t sequence_ = 0;
  rollout::run_statistics statistics_;
  base::Timer timer_;  // active while a rollout is running
};

}  // namespace driftlug::node
