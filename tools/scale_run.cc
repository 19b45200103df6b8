#include "scale_run.h"

#include <algorithm>
#include <csignal>
#include <filesystem>

#include "base/error.h"
#include "percentiles.h"
#include "table/row_json.h"

namespace driftlug::tools {
namespace {

using nlohmann::json;

constexpr char kHost[] = "127.0.0.1";
constexpr size_t kRowsPerEdit = 1000;
constexpr int kStartLimitMs = 120'000;
constexpr int kStormLimitMs = 60'000;
constexpr int kEditLimitMs = 30'000;
constexpr base::Duration kPoll = base::milliseconds(20);

/// @return a row's own fields, as an edit carries them.
json fieldsOf(const wire::Row& row) {
  auto fields = table::rowToJson(row, true);
  for (const char* key : {"kind", "name", "revision"}) fields.erase(key);
  return fields;
}

/// Totals of a role at one moment.
struct RoleSample {
  double cpuSeconds = 0;
  double rssMb = 0;
  double sent = 0;
  double received = 0;
};

class ScaleRun {
 public:
  ScaleRun(const ScaleOptions& options, const std::string& binaries, const std::string& folder)
      : options_(options),
        shape_(shapeFor(options.nodes)),
        binaries_(binaries),
        fleet_(deployment(), fleetOptions(folder)) {}

  absl::Status start();
  void measureIdle();
  void measureEdits();
  void measureStorms();
  void stop();
  ScaleResult result;

 private:
  Deployment deployment() const;
  FleetOptions fleetOptions(const std::string& folder) const;
  absl::Status loadRows();
  bool startHollow();
  bool waitConnected(int nodes, int limitMs);
  double connectedNodes();
  RoleSample sample(const std::vector<FleetMember>& members);
  RoleUsage between(const std::vector<FleetMember>& members, const RoleSample& before, double seconds);
  void storm(const std::string& name, const std::vector<FleetMember>& relays);

  ScaleOptions options_;
  ScaleShape shape_;
  std::string binaries_;
  Fleet fleet_;
  std::vector<FleetMember> hollow_;
};

Deployment ScaleRun::deployment() const {
  Deployment deployment;
  deployment.name = "scale";
  deployment.host = "scale.example";
  for (int zone = 0; zone < shape_.zones; ++zone) deployment.zones.push_back(zoneName(shape_, zone));
  deployment.controllers = shape_.controllers;
  deployment.relaysPerZone = shape_.relaysPerZone;
  deployment.entriesPerZone = 0;
  DeployedService service;
  service.name = "real";
  service.path = "/real";
  service.upstreams = 4;
  deployment.services.push_back(service);
  return deployment;
}

FleetOptions ScaleRun::fleetOptions(const std::string& folder) const {
  FleetOptions options;
  options.binaries = binaries_;
  options.report = folder;
  options.emulateLatency = false;
  return options;
}

absl::Status ScaleRun::loadRows() {
  json edits = json::array();
  const auto flush = [&]() -> absl::Status {
    if (edits.empty()) return absl::OkStatus();
    const auto answer = fleet_.edit(edits);
    edits = json::array();
    if (answer.status == 200) return absl::OkStatus();
    return base::makeError(base::ErrorCode::kInvalidEdit, answer.body.dump().substr(0, 500));
  };
  for (const auto& row : scaleRows(shape_, kHost)) {
    const auto fields = fieldsOf(row);
    edits.push_back(
        {{"kind", table::kindName(row.key.kind)}, {"name", row.key.name}, {"expected_revision", 0}, {"row", fields}});
    if (edits.size() < kRowsPerEdit) continue;
    if (auto status = flush(); !status.ok()) return status;
  }
  return flush();
}

bool ScaleRun::startHollow() {
  std::string relays;
  for (const auto& relay : fleet_.relays()) {
    relays += (relays.empty() ? "" : ",") + std::string(kHost) + ":" + std::to_string(relay.framePort);
  }
  const int processes = (options_.nodes + options_.nodesPerProcess - 1) / options_.nodesPerProcess;
  const auto ports = findFreePorts(static_cast<size_t>(processes));
  for (int i = 0; i < processes; ++i) {
    FleetMember member;
    member.name = "hollow-" + std::to_string(i + 1);
    member.httpPort = ports[static_cast<size_t>(i)];
    const int first = i * options_.nodesPerProcess;
    const int count = std::min(options_.nodesPerProcess, options_.nodes - first);
    const std::vector<std::string> command = {binaries_ + "/driftlug-hollow",
                                              "--first=" + std::to_string(first),
                                              "--count=" + std::to_string(count),
                                              "--nodes=" + std::to_string(options_.nodes),
                                              "--http-port=" + std::to_string(member.httpPort),
                                              "--log-level=warning",
                                              "--relays=" + relays};
    if (!fleet_.processes().start(member.name, command)) return false;
    hollow_.push_back(member);
  }
  return true;
}

double ScaleRun::connectedNodes() { return fleet_.sumMetric(fleet_.relays(), "relay_nodes"); }

bool ScaleRun::waitConnected(int nodes, int limitMs) {
  const auto until = fleet_.http().loop().now() + base::milliseconds(limitMs);
  while (fleet_.http().loop().now() < until) {
    if (fleet_.sumMetric(hollow_, "hollow_connected") >= nodes && connectedNodes() >= nodes) return true;
    fleet_.http().wait(kPoll);
  }
  return false;
}

absl::Status ScaleRun::start() {
  if (auto status = fleet_.start(); !status.ok()) return status;
  if (auto status = loadRows(); !status.ok()) return status;
  const auto began = fleet_.http().loop().now();
  if (!startHollow()) return base::makeError(base::ErrorCode::kConnectFailed, "hollow nodes did not start");
  for (const auto& member : hollow_) {
    if (fleet_.waitReady(member, kStartLimitMs)) continue;
    return base::makeError(base::ErrorCode::kConnectFailed, member.name + " did not become ready");
  }
  result.nodes = options_.nodes;
  result.startMs = std::chrono::duration<double, std::milli>(fleet_.http().loop().now() - began).count();
  return absl::OkStatus();
}

RoleSample ScaleRun::sample(const std::vector<FleetMember>& members) {
  RoleSample sample;
  for (const auto& member : members) {
    const auto usage = usageOf(fleet_.processes().pidOf(member.name));
    sample.cpuSeconds += usage.cpuSeconds;
    sample.rssMb += usage.rssMb;
  }
  sample.sent = fleet_.sumMetric(members, "frame_bytes_sent_total");
  sample.received = fleet_.sumMetric(members, "frame_bytes_received_total");
  return sample;
}

RoleUsage ScaleRun::between(const std::vector<FleetMember>& members, const RoleSample& before, double seconds) {
  const auto after = sample(members);
  RoleUsage usage;
  usage.processes = static_cast<int>(members.size());
  usage.cpuPercent = 100 * (after.cpuSeconds - before.cpuSeconds) / seconds;
  usage.rssMb = after.rssMb;
  usage.sentPerSecond = (after.sent - before.sent) / seconds;
  usage.receivedPerSecond = (after.received - before.received) / seconds;
  return usage;
}

void ScaleRun::measureIdle() {
  // The first seconds belong to the start.
  fleet_.http().wait(base::seconds(2));
  const auto controllers = sample(fleet_.controllers());
  const auto relays = sample(fleet_.relays());
  const auto nodes = sample(hollow_);
  const auto began = fleet_.http().loop().now();
  fleet_.http().wait(base::seconds(options_.idleSeconds));
  const double seconds = std::chrono::duration<double>(fleet_.http().loop().now() - began).count();
  result.controllersIdle = between(fleet_.controllers(), controllers, seconds);
  result.relaysIdle = between(fleet_.relays(), relays, seconds);
  result.nodesIdle = between(hollow_, nodes, seconds);
}

void ScaleRun::measureEdits() {
  const auto controllers = sample(fleet_.controllers());
  const auto relays = sample(fleet_.relays());
  const auto nodes = sample(hollow_);
  const auto& loop = fleet_.http().loop();
  const auto began = loop.now();
  const auto gap = base::Duration(static_cast<int64_t>(1e6 / options_.editsPerSecond));
  const int edits = static_cast<int>(options_.editSeconds * options_.editsPerSecond);
  for (int i = 0; i < edits; ++i) {
    const auto due = began + i * gap;
    if (loop.now() < due) fleet_.http().wait(due - loop.now());
    const int service = i * 37 % shape_.services;
    const auto fields = fieldsOf(limitRow(service, i + 1));
    const auto answer = fleet_.edit(
        json::array({{{"kind", "limit"}, {"name", serviceName(service)}, {"expected_revision", -1}, {"row", fields}}}));
    const auto accepted = loop.now();
    const auto took = answer.status == 200
                          ? fleet_.waitEverywhere(answer.body.value("revision", int64_t{0}), accepted, kEditLimitMs)
                          : -1;
    if (took < 0) {
      ++result.editsFailed;
    } else {
      result.convergenceMs.push_back(took);
    }
  }
  const double seconds = std::chrono::duration<double>(loop.now() - began).count();
  result.controllersEdits = between(fleet_.controllers(), controllers, seconds);
  result.relaysEdits = between(fleet_.relays(), relays, seconds);
  result.nodesEdits = between(hollow_, nodes, seconds);
}

void ScaleRun::storm(const std::string& name, const std::vector<FleetMember>& relays) {
  StormResult outcome;
  outcome.name = name;
  outcome.lostNodes = static_cast<int>(fleet_.sumMetric(relays, "relay_nodes"));
  const double bytesBefore = fleet_.sumMetric(hollow_, "frame_bytes_received_total");
  for (const auto& relay : relays) {
    fleet_.processes().signal(relay.name, SIGKILL);
    (void)fleet_.processes().waitFor(relay.name, kStormLimitMs);
  }
  const auto began = fleet_.http().loop().now();
  const bool all = relays.size() == fleet_.relays().size();
  if (all) {
    for (const auto& relay : relays) (void)fleet_.processes().startAgain(relay.name);
  }
  if (waitConnected(options_.nodes, kStormLimitMs)) {
    outcome.reattachedMs = std::chrono::duration<double, std::milli>(fleet_.http().loop().now() - began).count();
  }
  const double bytes = fleet_.sumMetric(hollow_, "frame_bytes_received_total") - bytesBefore;
  if (outcome.lostNodes > 0) outcome.bytesPerNode = bytes / outcome.lostNodes;
  if (!all) {
    for (const auto& relay : relays) {
      (void)fleet_.processes().startAgain(relay.name);
      (void)fleet_.waitReady(relay, kStormLimitMs);
    }
  }
  fleet_.http().wait(base::seconds(2));
  result.storms.push_back(outcome);
}

void ScaleRun::measureStorms() {
  const auto relays = fleet_.relays();
  storm("one relay", {relays[0]});
  storm("both relays of a zone", {relays[2], relays[3]});
  storm("all relays", relays);
}

void ScaleRun::stop() {
  for (const auto& member : hollow_) fleet_.processes().signal(member.name, SIGTERM);
  for (const auto& member : hollow_) (void)fleet_.processes().waitFor(member.name, kStormLimitMs);
  (void)fleet_.stop();
}

json usageJson(const RoleUsage& usage) {
  return {{"processes", usage.processes},
          {"cpu_percent", usage.cpuPercent},
          {"rss_mb", usage.rssMb},
          {"sent_bytes_per_s", usage.sentPerSecond},
          {"received_bytes_per_s", usage.receivedPerSecond}};
}

}  // namespace

absl::StatusOr<ScaleResult> runScale(const ScaleOptions& options, const std::string& binaries,
                                     const std::string& folder) {
  ScaleRun run(options, binaries, folder);
  const auto status = run.start();
  if (status.ok()) {
    std::fprintf(stderr, "%d nodes have started\n", options.nodes);
    run.measureIdle();
    std::fprintf(stderr, "idle is measured\n");
    run.measureEdits();
    std::fprintf(stderr, "edits are measured\n");
    if (options.storms) run.measureStorms();
  }
  run.stop();
  if (!status.ok()) return status;
  return run.result;
}

json scaleJson(const ScaleResult& result) {
  json storms = json::array();
  for (const auto& storm : result.storms) {
    storms.push_back({{"name", storm.name},
                      {"lost_nodes", storm.lostNodes},
                      {"reattached_ms", storm.reattachedMs},
                      {"bytes_per_node", storm.bytesPerNode}});
  }
  return {{"nodes", result.nodes},
          {"start_ms", result.startMs},
          {"convergence_ms", percentiles(result.convergenceMs)},
          {"edits_failed", result.editsFailed},
          {"idle",
           {{"controllers", usageJson(result.controllersIdle)},
            {"relays", usageJson(result.relaysIdle)},
            {"nodes", usageJson(result.nodesIdle)}}},
          {"edits",
           {{"controllers", usageJson(result.controllersEdits)},
            {"relays", usageJson(result.relaysEdits)},
            {"nodes", usageJson(result.nodesEdits)}}},
          {"storms", storms}};
}

}  // namespace driftlug::tools
