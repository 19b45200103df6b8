#include "sim_scale.h"

#include <algorithm>

#include "percentiles.h"
#include "simulated_plan.h"
#include "simulation/operators.h"

namespace driftlug::tools {
namespace {

using nlohmann::json;

constexpr base::Duration kFormation = base::seconds(6);
/// Nodes that found no table while the cluster formed have gone to relays of other zones; they need time to return.
constexpr base::Duration kHomecoming = base::seconds(45);
constexpr base::Duration kCatchUpLimit = base::seconds(60);
constexpr size_t kRowsPerEdit = 2000;

double milliseconds(base::Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

/// One run of one size.
class SimScale {
 public:
  explicit SimScale(const SimScaleOptions& options)
      : options_(options), cluster_(planWithoutRows(options.shape), options.seed), operators_(cluster_, noEdits()) {}

  json run();

 private:
  static simulation::ClusterPlan planWithoutRows(const ScaleShape& shape);
  static simulation::OperatorOptions noEdits();
  void loadRows();
  void scheduleEdits(base::TimePoint from, base::Duration lasts);
  void scheduleRestarts(base::TimePoint from, base::Duration lasts);
  void editAt(base::TimePoint at, int step);
  json convergenceSince(base::TimePoint from, base::TimePoint until) const;
  json measureIdle();
  json measureEdits();
  json measureRegionCut();
  json roleBytes(double seconds);
  void resetBytes();
  void runFor(base::Duration duration) { cluster_.runUntil(cluster_.queue().now() + duration); }

  SimScaleOptions options_;
  simulation::Cluster cluster_;
  simulation::Operators operators_;
  int64_t controllerBytes_ = 0;
  int64_t relayBytes_ = 0;
  int64_t nodeBytes_ = 0;
  int edits_ = 0;
};

simulation::ClusterPlan SimScale::planWithoutRows(const ScaleShape& shape) {
  auto plan = scalePlan(shape);
  plan.table.clear();
  return plan;
}

simulation::OperatorOptions SimScale::noEdits() {
  simulation::OperatorOptions options;
  options.meanGap = base::Duration(0);
  options.lostAnswers = 0;
  return options;
}

void SimScale::loadRows() {
  wire::EditCommand edit;
  int part = 0;
  const auto flush = [&] {
    edit.requestId = "rows-" + std::to_string(++part);
    operators_.submit(edit);
    edit = wire::EditCommand();
    runFor(base::milliseconds(500));
  };
  for (auto& row : scaleRows(options_.shape, "10.0.0.1")) {
    wire::Mutation mutation;
    mutation.row = std::move(row);
    edit.mutations.push_back(std::move(mutation));
    if (edit.mutations.size() == kRowsPerEdit) flush();
  }
  if (!edit.mutations.empty()) flush();
}

void SimScale::editAt(base::TimePoint at, int step) {
  cluster_.queue().at(at, [this, step] {
    wire::EditCommand edit;
    edit.requestId = "limit-" + std::to_string(step);
    edit.baseRevision = cluster_.checker().table().revision();
    wire::Mutation mutation;
    mutation.row = limitRow(step * 37 % options_.shape.services, step + 1);
    mutation.expectedRevision = -1;
    edit.mutations.push_back(mutation);
    operators_.submit(edit);
  });
}

void SimScale::scheduleEdits(base::TimePoint from, base::Duration lasts) {
  const auto gap = base::Duration(static_cast<int64_t>(1e6 / options_.editsPerSecond));
  for (auto at = from; at < from + lasts; at += gap) editAt(at, edits_++);
}

void SimScale::scheduleRestarts(base::TimePoint from, base::Duration lasts) {
  if (options_.restartsPerSecond <= 0) return;
  auto random = cluster_.newRandom();
  const auto gap = base::Duration(static_cast<int64_t>(1e6 / options_.restartsPerSecond));
  for (auto at = from; at < from + lasts; at += gap) {
    auto* machine = cluster_.nodes()[random.below(cluster_.nodes().size())].get();
    cluster_.queue().at(at, [machine] { machine->crash(false); });
    cluster_.queue().at(at + base::seconds(1), [machine] { machine->start(); });
  }
}

void SimScale::resetBytes() {
  const auto sum = [](const auto& machines) {
    int64_t bytes = 0;
    for (const auto& machine : machines) {
      if (machine->sockets() != nullptr) bytes += machine->sockets()->sent().totalBytes();
    }
    return bytes;
  };
  controllerBytes_ = sum(cluster_.controllers());
  relayBytes_ = sum(cluster_.relays());
  nodeBytes_ = sum(cluster_.nodes());
}

json SimScale::roleBytes(double seconds) {
  const auto before = std::vector<int64_t>{controllerBytes_, relayBytes_, nodeBytes_};
  resetBytes();
  return {{"controllers_sent_per_s", static_cast<double>(controllerBytes_ - before[0]) / seconds},
          {"relays_sent_per_s", static_cast<double>(relayBytes_ - before[1]) / seconds},
          {"nodes_sent_per_s", static_cast<double>(nodeBytes_ - before[2]) / seconds}};
}

json SimScale::convergenceSince(base::TimePoint from, base::TimePoint until) const {
  std::vector<double> values;
  int pending = 0;
  auto& checker = const_cast<simulation::Cluster&>(cluster_).checker();
  for (const auto& [requestId, edit] : checker.committed()) {
    if (edit.committedAt < from || edit.committedAt >= until) continue;
    if (edit.inForce) {
      values.push_back(milliseconds(edit.inForceAt - edit.committedAt));
    } else {
      ++pending;
    }
  }
  auto out = percentiles(values);
  out["pending"] = pending;
  return out;
}

json SimScale::measureIdle() {
  constexpr base::Duration kIdle = base::seconds(10);
  resetBytes();
  runFor(kIdle);
  return roleBytes(std::chrono::duration<double>(kIdle).count());
}

json SimScale::measureEdits() {
  const auto from = cluster_.queue().now();
  const auto lasts = base::seconds(options_.editSeconds);
  resetBytes();
  scheduleEdits(from, lasts);
  scheduleRestarts(from, lasts);
  runFor(lasts);
  auto bytes = roleBytes(options_.editSeconds);
  runFor(base::seconds(5));
  return {{"bytes", bytes}, {"convergence_ms", convergenceSince(from, from + lasts)}};
}

json SimScale::measureRegionCut() {
  const auto region = cluster_.relays().back()->process().placement().region;
  const auto lasts = base::seconds(options_.regionCutSeconds);
  const auto began = cluster_.queue().now();
  cluster_.network().setRegionCut(region, true);
  scheduleEdits(began, lasts);
  runFor(lasts);
  const auto healed = cluster_.queue().now();
  cluster_.network().setRegionCut(region, false);
  runFor(kCatchUpLimit);
  double slowest = 0;
  int pending = 0;
  for (const auto& [requestId, edit] : cluster_.checker().committed()) {
    if (edit.committedAt < began) continue;
    if (!edit.inForce) ++pending;
    if (edit.inForce && edit.inForceAt > healed) slowest = std::max(slowest, milliseconds(edit.inForceAt - healed));
  }
  return {{"region", region}, {"cut_s", options_.regionCutSeconds}, {"caught_up_ms", slowest}, {"pending", pending}};
}

json SimScale::run() {
  cluster_.start();
  runFor(kFormation);
  loadRows();
  runFor(kHomecoming);
  json out = {{"nodes", options_.shape.nodes}, {"idle", measureIdle()}, {"edits", measureEdits()}};
  if (options_.regionCutSeconds > 0) out["region_cut"] = measureRegionCut();
  json violations = json::array();
  for (const auto& violation : cluster_.checker().violations()) violations.push_back(violation.sentence);
  out["violations"] = violations;
  json kinds;
  const auto& traffic = cluster_.network().traffic();
  for (size_t kind = 0; kind < simulation::kMessageKinds; ++kind) {
    if (traffic.bytes[kind] > 0) kinds[std::string(simulation::messageKindName(kind))] = traffic.bytes[kind];
  }
  out["bytes_by_kind"] = kinds;
  out["events"] = cluster_.queue().executed();
  return out;
}

}  // namespace

json runSimScale(const SimScaleOptions& options) { return SimScale(options).run(); }

}  // namespace driftlug::tools
