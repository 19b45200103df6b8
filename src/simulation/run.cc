#include "simulation/run.h"

#include <algorithm>

namespace driftlug::simulation {
namespace {

/// Time after the start in which the cluster forms and accepts the initial rows.
constexpr base::Duration kFormationTime = base::seconds(8);
/// Time at the end of a run without faults, in which everything must converge; edits stop after its first quarter.
constexpr base::Duration kSettleTime = base::seconds(20);
constexpr base::Duration kProbeInterval = base::milliseconds(250);
/// Nodes that were affected by a fault within this time may lag behind what a controller reports.
constexpr base::Duration kExemptionWindow = base::seconds(12);

/// Periodically asks the leader whether the newest revision is in force on all nodes.
class ConvergenceProbe {
 public:
  ConvergenceProbe(Cluster& cluster, FaultInjector& faults) : cluster_(cluster), faults_(faults) {}

  void start() {
    cluster_.queue().after(kProbeInterval, [this] {
      start();
      checkConvergence();
    });
  }

  /// Asks immediately and then at short intervals, like an operator who waits for a change.
  void probeRepeatedly() {
    constexpr int kProbes = 8;
    for (int i = 0; i < kProbes; ++i) {
      cluster_.queue().after(i * base::microseconds(500), [this] { checkConvergence(); });
    }
  }

 private:
  void checkConvergence() {
    auto* leader = cluster_.leader();
    if (leader == nullptr) return;
    auto* controller = leader->controller();
    const auto revision = controller->state().table().revision();
    controller->confirmLeadership([this, controller, revision](bool confirmed) {
      if (!confirmed || !controller->convergence().inForceEverywhere(revision)) return;
      cluster_.checker().onConvergenceReported(revision, faults_.disturbedNodes(kExemptionWindow));
    });
  }

  Cluster& cluster_;
  FaultInjector& faults_;
};

std::vector<Fault> selectFaults(const RunOptions& options, std::vector<Fault> drawn) {
  if (!options.restrictFaults) return drawn;
  std::vector<Fault> selected;
  for (const auto position : options.onlyFaults) {
    if (position < drawn.size()) selected.push_back(drawn[position]);
  }
  return selected;
}

int64_t controlBytesOf(const Traffic& traffic) {
  int64_t bytes = 0;
  for (size_t kind = 0; kind < kMessageKinds; ++kind) {
    if (wire::purposeOf(kind) == wire::Purpose::kControl) bytes += traffic.bytes[kind];
  }
  return bytes;
}

void checkEnd(Cluster& cluster, const Operators& operators) {
  auto& checker = cluster.checker();
  std::map<std::string, const table::Table*> controllers;
  for (auto& machine : cluster.controllers()) {
    if (machine->controller() != nullptr) controllers[machine->name()] = &machine->controller()->state().table();
  }
  std::map<std::string, const node::SliceStore*> nodes;
  for (auto& machine : cluster.nodes()) {
    if (machine->control() != nullptr) nodes[machine->name()] = &machine->control()->slices();
  }
  checker.checkEnd(controllers, nodes);
  if (operators.unanswered() > 0) {
    checker.reportViolation(Guarantee::kAcceptedIsDurable, std::to_string(operators.unanswered()) +
                                                               " edits have no answer though all faults have healed");
  }
}

}  // namespace

RunResult runSeed(const RunOptions& options) {
  Cluster cluster(options.plan, options.seed);
  const base::TimePoint begin{};
  const auto end = begin + options.duration;
  const auto faultsEnd = end - kSettleTime;
  FaultOptions faultOptions;
  faultOptions.classes = options.faults;
  faultOptions.from = begin + kFormationTime;
  faultOptions.until = faultsEnd;
  faultOptions.meanGap = options.meanFaultGap;
  const auto drawn = drawFaults(faultOptions, cluster.newRandom(), cluster.plan());
  FaultInjector faults(cluster, selectFaults(options, drawn));
  OperatorOptions operatorOptions;
  operatorOptions.from = begin + kFormationTime;
  operatorOptions.until = faultsEnd + kSettleTime / 4;
  operatorOptions.meanGap = options.meanEditGap;
  Operators operators(cluster, operatorOptions);
  ConvergenceProbe probe(cluster, faults);

  operators.onAccepted([&probe] { probe.probeRepeatedly(); });
  cluster.checker().onCommit([&faults] { faults.onCommit(); });
  cluster.start();
  operators.start();
  faults.start();
  probe.start();
  cluster.runUntil(end);
  checkEnd(cluster, operators);

  RunResult result;
  result.seed = options.seed;
  result.traceHash = cluster.network().traceHash();
  result.events = cluster.queue().executed();
  result.violations = cluster.checker().violations();
  result.operators = operators.counters();
  result.operators.unanswered = static_cast<int64_t>(operators.unanswered());
  result.traffic = cluster.network().traffic();
  result.controlBytes = controlBytesOf(result.traffic);
  result.faultsDrawn = drawn.size();
  result.faults = drawn;
  for (const auto& [requestId, edit] : cluster.checker().committed()) {
    // The initial rows come into force while the cluster forms and don't count as convergence.
    if (!edit.inForce || edit.committedAt < begin + kFormationTime) continue;
    result.convergenceMs.push_back(
        std::chrono::duration<double, std::milli>(edit.inForceAt - edit.committedAt).count());
  }
  return result;
}

std::vector<size_t> shrinkFaults(const RunOptions& options, size_t faultsDrawn) {
  std::vector<size_t> kept;
  for (size_t i = 0; i < faultsDrawn; ++i) kept.push_back(i);
  RunOptions trial = options;
  trial.restrictFaults = true;
  // Removes chunks of faults, from halves down to single faults, as long as the run still fails.
  for (size_t chunk = std::max<size_t>(1, kept.size() / 2); chunk >= 1; chunk /= 2) {
    for (size_t start = 0; start < kept.size();) {
      trial.onlyFaults = kept;
      const auto last = std::min(kept.size(), start + chunk);
      trial.onlyFaults.erase(trial.onlyFaults.begin() + static_cast<std::ptrdiff_t>(start),
                             trial.onlyFaults.begin() + static_cast<std::ptrdiff_t>(last));
      if (!runSeed(trial).violations.empty()) {
        kept = trial.onlyFaults;
      } else {
        start += chunk;
      }
    }
  }
  return kept;
}

}  // namespace driftlug::simulation
