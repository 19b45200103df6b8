/// driftlug-fleet: runs a deployment as processes on loopback and measures or soaks it.
#include <absl/strings/numbers.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>

#include "base/settings.h"
#include "daemon.h"
#include "fleet.h"
#include "percentiles.h"
#include "scenario.h"
#include "soak/soak_run.h"

DEFINE_string(deployment, "examples/crash-report", "folder of the deployment");
DEFINE_string(scenario, "", "TOML file with steps; empty for edits only");
DEFINE_int32(rounds, 0, "number of times the scenario runs; 0 for the number in its file");
DEFINE_string(report, "", "folder for logs and report.json");
DEFINE_int32(duration_ms, 6000, "duration of the load");
DEFINE_int32(edits, 20, "edits submitted under load");
DEFINE_double(rate, 0, "calls per second; 0 for the deployment's rate");
DEFINE_int32(seed, 1, "seed of the load");
DEFINE_bool(emulate_latency, true, "delay frames and calls by the latencies of the deployment");
DEFINE_int32(longest_fault_ms, 6000, "soak: maximum duration of a fault");
DEFINE_int32(fault_gap_ms, 700, "soak: mean time between the starts of two faults");
DEFINE_string(plan, "drawn", "soak: drawn (randomly, from the seed) or rolling (every node is stopped in turn, twice)");
DEFINE_int32(rolling_gap_ms, 900, "soak: time between two stops of the rolling plan");
DEFINE_int32(recover_ms, 15'000, "soak: time limit for full recovery after the last fault");
DEFINE_bool(stop_by_kill, false, "soak: planned stops send SIGKILL, to verify that the checks fail");
DEFINE_bool(crashes, false, "soak: callers keep sending a request that crashes the back ends of a service");
DEFINE_string(node_flags, "", "soak: additional node flags, as --name=value, separated by commas");
DEFINE_bool(full_push, false, "baseline: send the full table with each update");

namespace {

using namespace driftlug;
using nlohmann::json;

std::string folderOf(const std::string& program) {
  const auto slash = program.rfind('/');
  return slash == std::string::npos ? "." : program.substr(0, slash);
}

/// Results of the edits of one run.
struct EditMeasurements {
  std::vector<double> convergenceMs;
  int accepted = 0;
  int failed = 0;
};

/// @return an edit of one service's limit, which affects the nodes of that service and all entries.
json limitEdit(const tools::DeployedService& service, int step) {
  const json row = {
      {"service", service.name}, {"max_concurrent", service.slots}, {"max_queued", 4 * service.slots + step % 7}};
  return json::array({{{"kind", "limit"}, {"name", service.name}, {"expected_revision", -1}, {"row", row}}});
}

void makeEdits(tools::Fleet& fleet, int count, base::Duration pause, EditMeasurements* out) {
  constexpr int kLimitMs = 30'000;
  const auto& services = fleet.deployment().services;
  for (int i = 0; i < count; ++i) {
    const auto answer = fleet.edit(limitEdit(services[static_cast<size_t>(i) % services.size()], i + 1));
    const auto accepted = fleet.http().loop().now();
    if (answer.status != 200) {
      ++out->failed;
      continue;
    }
    ++out->accepted;
    const double took = fleet.waitForConvergence(answer.body.value("revision", int64_t{0}), accepted, kLimitMs);
    if (took >= 0) {
      out->convergenceMs.push_back(took);
    } else {
      ++out->failed;
    }
    fleet.http().wait(pause);
  }
}

/// @return the CPU seconds used so far by some members in total.
double cpuOf(tools::Fleet& fleet, const std::vector<tools::FleetMember>& members) {
  double seconds = 0;
  for (const auto& member : members) seconds += tools::usageOf(fleet.processes().pidOf(member.name)).cpuSeconds;
  return seconds;
}

double rssOf(tools::Fleet& fleet, const std::vector<tools::FleetMember>& members) {
  double megabytes = 0;
  for (const auto& member : members) megabytes += tools::usageOf(fleet.processes().pidOf(member.name)).rssMb;
  return members.empty() ? 0 : megabytes / static_cast<double>(members.size());
}

/// Measures the latency of equal calls sent directly to the back ends and through the mesh, alternately, with a service
/// time of zero.
int latency() {
  constexpr int kRounds = 3;
  const auto deployment = tools::readDeployment(FLAGS_deployment);
  if (!deployment.ok()) apps::exitWithError(deployment.status());
  tools::FleetOptions options;
  options.binaries = folderOf(gflags::GetArgv0());
  options.report = FLAGS_report;
  options.emulateLatency = false;
  options.backendFlags = {"--service-time-us=0", "--distribution=fixed", "--connection-cost-us=0"};
  tools::Fleet fleet(*deployment, options);
  if (const auto status = fleet.start(); !status.ok()) {
    std::fprintf(stderr, "%s\n", base::errorText(status).c_str());
    return 1;
  }
  std::vector<tools::FleetMember> endpointNodes;
  for (const auto& endpoint : fleet.endpoints()) endpointNodes.push_back(endpoint.node);
  json report = {{"deployment", deployment->name}, {"rounds", json::array()}};
  for (int round = 0; round < kRounds; ++round) {
    json measured;
    for (const char* kind : {"direct", "mesh", "filings"}) {
      tools::LoadOptions load;
      load.rate = FLAGS_rate > 0 ? FLAGS_rate : deployment->rate;
      load.durationMs = FLAGS_duration_ms;
      load.seed = FLAGS_seed + round;
      load.direct = std::string(kind) == "direct";
      load.filingShare = std::string(kind) == "filings" ? 1 : 0;
      const double entryCpu = cpuOf(fleet, fleet.entries());
      const double endpointCpu = cpuOf(fleet, endpointNodes);
      const auto name = std::string(kind) + "-" + std::to_string(round);
      fleet.startLoad(name, load);
      const auto result = fleet.finishLoad(name, FLAGS_duration_ms + 60'000);
      const auto calls = result.value("ok", 0.0);
      measured[kind] = {
          {"ok", calls},
          {"calls", result.value("calls", 0.0)},
          {"latency", result[load.filingShare > 0 ? "filings" : "lookups"]},
          {"entry_cpu_us_per_call", calls > 0 ? 1e6 * (cpuOf(fleet, fleet.entries()) - entryCpu) / calls : 0},
          {"endpoint_cpu_us_per_call", calls > 0 ? 1e6 * (cpuOf(fleet, endpointNodes) - endpointCpu) / calls : 0}};
    }
    report["rounds"].push_back(measured);
  }
  report["rss_mb"] = {{"entry", rssOf(fleet, fleet.entries())},
                      {"endpoint", rssOf(fleet, endpointNodes)},
                      {"relay", rssOf(fleet, fleet.relays())},
                      {"controller", rssOf(fleet, fleet.controllers())}};
  (void)fleet.stop();
  std::ofstream(FLAGS_report + "/latency.json") << report.dump(2) << "\n";
  std::printf("%s\n", report.dump().c_str());
  return 0;
}

int run() {
  const auto deployment = tools::readDeployment(FLAGS_deployment);
  if (!deployment.ok()) apps::exitWithError(deployment.status());
  tools::Scenario scenario;
  if (!FLAGS_scenario.empty()) {
    auto read = tools::readScenario(FLAGS_scenario);
    if (!read.ok()) apps::exitWithError(read.status());
    scenario = std::move(*read);
  }
  tools::FleetOptions options;
  options.binaries = folderOf(gflags::GetArgv0());
  options.report = FLAGS_report;
  options.emulateLatency = FLAGS_emulate_latency;
  if (FLAGS_full_push) {
    options.controllerFlags.push_back("--full-push");
    options.relayFlags.push_back("--full-push");
  }
  tools::Fleet fleet(*deployment, options);
  if (const auto status = fleet.start(); !status.ok()) {
    std::fprintf(stderr, "%s\n", base::errorText(status).c_str());
    return 1;
  }
  const double rate = FLAGS_rate > 0 ? FLAGS_rate : deployment->rate;
  const double bytesBefore = fleet.sumMetric(fleet.relays(), "control_bytes_sent_total") +
                             fleet.sumMetric(fleet.controllers(), "control_bytes_sent_total");
  const double updatesBefore = fleet.sumMetric(fleet.relays(), "relay_update_bytes_total") +
                               fleet.sumMetric(fleet.controllers(), "controller_update_bytes_total");
  tools::LoadOptions loadOptions;
  loadOptions.rate = rate;
  loadOptions.durationMs = FLAGS_duration_ms;
  loadOptions.seed = FLAGS_seed;
  fleet.startLoad("load", loadOptions);
  EditMeasurements edits;
  const base::Duration pause = base::milliseconds(FLAGS_duration_ms) / (2 * std::max(1, FLAGS_edits));
  if (scenario.steps.empty()) {
    makeEdits(fleet, FLAGS_edits, pause, &edits);
  } else {
    tools::runScenario(scenario, FLAGS_rounds, fleet, [&] { makeEdits(fleet, 1, base::Duration(0), &edits); });
  }
  const auto load = fleet.finishLoad("load", FLAGS_duration_ms + 60'000);
  const double controlBytes = fleet.sumMetric(fleet.relays(), "control_bytes_sent_total") +
                              fleet.sumMetric(fleet.controllers(), "control_bytes_sent_total") - bytesBefore;
  const double updateBytes = fleet.sumMetric(fleet.relays(), "relay_update_bytes_total") +
                             fleet.sumMetric(fleet.controllers(), "controller_update_bytes_total") - updatesBefore;
  const auto records = fleet.checkRecords({"load"});
  const auto stuck = fleet.stop();

  json report = {{"deployment", deployment->name}, {"scenario", scenario.name}, {"load", load}};
  report["calls_ok"] = load.value("ok", int64_t{0});
  report["calls_failed"] = load.value("calls", int64_t{0}) - load.value("ok", int64_t{0});
  report["lost"] = load.value("lost", int64_t{0}) + records.lost;
  report["duplicated"] = records.duplicates;
  report["false_not_run"] = records.falseNotRun;
  report["crossed"] = load.value("crossed", int64_t{0});
  report["truncated"] = load.value("truncated", int64_t{0});
  report["edits_accepted"] = edits.accepted;
  report["edits_failed"] = edits.failed;
  report["convergence_ms"] = tools::percentiles(edits.convergenceMs);
  report["control_bytes"] = static_cast<int64_t>(controlBytes);
  report["update_bytes"] = static_cast<int64_t>(updateBytes);
  report["not_stopped"] = stuck;
  std::ofstream(FLAGS_report + "/report.json") << report.dump(2) << "\n";
  const bool callsFailed = scenario.callsMayFail ? false : report["calls_failed"] != 0;
  const bool wrong = load.contains("failed") || report["lost"] != 0 || report["duplicated"] != 0 ||
                     report["false_not_run"] != 0 || report["crossed"] != 0 || report["truncated"] != 0 ||
                     edits.failed != 0 || !stuck.empty();
  std::printf("%s\n", report.dump().c_str());
  return callsFailed || wrong ? 1 : 0;
}

/// @return the path of the first service whose requests may be repeated.
std::string lookupPath(const tools::Deployment& deployment) {
  for (const auto& service : deployment.services) {
    if (!service.filings) return service.path;
  }
  return "";
}

/// Injects faults into running processes and their links, drawn from the seed, and checks the results.
int runSoak() {
  const auto deployment = tools::readDeployment(FLAGS_deployment);
  if (!deployment.ok()) apps::exitWithError(deployment.status());
  tools::FleetOptions options;
  options.binaries = folderOf(gflags::GetArgv0());
  options.report = FLAGS_report;
  options.emulateLatency = FLAGS_emulate_latency;
  options.faultProxy = true;
  const auto fatalPath = FLAGS_crashes ? lookupPath(*deployment) + "/fatal" : "";
  if (FLAGS_crashes) {
    options.backendProxy = false;
    options.backendFlags = {"--fatal-path=" + fatalPath};
  }
  options.nodeFlags = base::splitList(FLAGS_node_flags);
  options.apiTimeout = base::seconds(3);
  tools::Fleet fleet(*deployment, options);
  if (const auto status = fleet.start(); !status.ok()) {
    std::fprintf(stderr, "%s\n", base::errorText(status).c_str());
    return 1;
  }
  soak::soak_options soakOptions;
  soakOptions.seed = static_cast<uint64_t>(FLAGS_seed);
  soakOptions.rolling = FLAGS_plan == "rolling";
  soakOptions.rollingStopGapMs = FLAGS_rolling_gap_ms;
  soakOptions.recoveryLimitMs = FLAGS_recover_ms;
  soakOptions.stopByKill = FLAGS_stop_by_kill;
  soakOptions.planOptions.durationMs = FLAGS_duration_ms;
  soakOptions.planOptions.maxFaultMs = FLAGS_longest_fault_ms;
  soakOptions.planOptions.meanGapMs = FLAGS_fault_gap_ms;
  if (FLAGS_rate > 0) soakOptions.rate = FLAGS_rate;
  soakOptions.fatalPath = fatalPath;
  auto report = soak::soak_run(fleet, soakOptions).run();
  report["deployment"] = deployment->name;
  report["not_stopped"] = fleet.stop();
  std::ofstream(FLAGS_report + "/soak.json") << report.dump(2) << "\n";
  report.erase("plan");
  std::printf("%s\n", report.dump().c_str());
  return report["broken"].empty() && report["not_stopped"].empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  base::declareRange("duration_ms", 1, 3'600'000);
  base::declareRange("edits", 0, 100'000);
  base::declareRange("rolling_gap_ms", 1, 600'000);
  base::declareRange("recover_ms", 0, 600'000);
  gflags::SetArgv(argc, const_cast<const char**>(argv));
  auto arguments = base::loadSettingsOrExit(argc, argv, "driftlug-fleet run --deployment FOLDER --report FOLDER", true);
  apps::configureLogsFromSettings();
  const std::map<std::string, int (*)()> commands = {{"run", run}, {"latency", latency}, {"soak", runSoak}};
  const bool known = arguments.size() == 1 && commands.count(arguments[0]) > 0;
  if (!known || FLAGS_report.empty()) {
    std::fprintf(stderr, "bad_flag: the command is 'run', 'latency' or 'soak', with --report FOLDER\n");
    return 2;
  }
  return commands.at(arguments[0])();
}
