/// Tells the controllers how the back end beside this node does while a rollout of its service runs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "node/endpoint_calls.h"
#include "rollout/run_figures.h"
#include "rollout/version_policy.h"

namespace driftlug::node {

/// Counts answers by route and reports them, with what is at work, some times a second.
///
/// Invariant: without a rollout of the service under way nothing is counted and nothing is sent.
class VersionReporter {
 public:
  using Send = std::function<bool(const wire::Message&)>;

  /// @param send to the relay in use; false when there is none
  VersionReporter(std::string service, base::Scheduler& scheduler, base::RandomSource random, EndpointCalls& calls,
                  Send send);

  /// Takes the policy of the service from a new version of the table.
  void useTable(const routing::RoutingTable& table);

  /// The back end beside this node, as it told of itself.
  /// @param endpoint empty while none is known
  /// @param coldMs how much longer it is slow from its start
  void useBackend(const std::string& endpoint, const std::string& version, int slots, int coldMs);

  /// A run on the back end has ended.
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
  rollout::run_figures figures_;
  base::Timer timer_;  // runs while a rollout is under way
};

}  // namespace driftlug::node
