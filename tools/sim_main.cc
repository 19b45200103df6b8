/// driftlug-sim: runs the production decision logic on a virtual clock, with faults drawn from a seed.
#include <absl/strings/numbers.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <thread>

#include "base/log.h"
#include "base/settings.h"
#include "daemon.h"
#include "deployment.h"
#include "sim_run.h"
#include "simulated_plan.h"

DEFINE_string(deployment, "examples/crash-report", "folder of the deployment");
DEFINE_string(seeds, "1-20", "seeds to run, as A-B");
DEFINE_string(duration, "120s", "virtual duration of each run, in whole seconds");
DEFINE_string(fault, "all", "fault classes, separated by commas; or all, or none");
DEFINE_string(disable, "", "safety mechanisms to disable, separated by commas");
DEFINE_bool(list_mechanisms, false, "list the mechanisms accepted by --disable");
DEFINE_bool(list_faults, false, "list the classes accepted by --fault");
DEFINE_bool(shrink, true, "minimize the list of faults of the first seed that fails");
DEFINE_bool(stop_at_first, false, "stop at the first seed that fails");
DEFINE_bool(node_disk_faults, false, "apply disk faults to nodes as well as to controllers");
DEFINE_bool(full_push, false, "baseline: send the full table with each update");
DEFINE_bool(verbose, false, "print the logs of all simulated processes");
DEFINE_int32(threads, 0, "seeds run concurrently; 0 for one per core");
DEFINE_int32(mean_fault_gap_ms, 6000, "mean time between faults");
DEFINE_int32(mean_edit_gap_ms, 1500, "mean time between edits");

namespace {

using namespace driftlug;

[[noreturn]] void exitWithBadSetting(const std::string& message) {
  apps::exitWithError(base::makeError(base::ErrorCode::kBadSetting, message));
}

std::vector<simulation::FaultClass> faultsFromSettings() {
  std::vector<simulation::FaultClass> classes;
  if (FLAGS_fault == "none") return classes;
  if (FLAGS_fault == "all") {
    for (const auto& info : simulation::allFaults()) classes.push_back(info.kind);
    return classes;
  }
  for (const auto& name : base::splitList(FLAGS_fault)) {
    const auto* info = simulation::findFault(name);
    if (info == nullptr) exitWithBadSetting("fault: '" + name + "' is not in --list-faults");
    classes.push_back(info->kind);
  }
  return classes;
}

simulation::RunOptions optionsFromSettings() {
  const auto deployment = tools::readDeployment(FLAGS_deployment);
  if (!deployment.ok()) apps::exitWithError(deployment.status());
  simulation::RunOptions options;
  options.plan = tools::planOf(*deployment);
  options.plan.fullPush = FLAGS_full_push;
  options.plan.nodeDiskFaults = FLAGS_node_disk_faults;
  options.faults = faultsFromSettings();
  options.meanFaultGap = base::milliseconds(FLAGS_mean_fault_gap_ms);
  options.meanEditGap = base::milliseconds(FLAGS_mean_edit_gap_ms);
  for (const auto& name : base::splitList(FLAGS_disable)) {
    const auto* info = simulation::findMechanism(name);
    if (info == nullptr) exitWithBadSetting("disable: '" + name + "' is not in --list-mechanisms");
    options.plan.disabled.insert(info->mechanism);
  }
  int seconds = 0;
  const auto number = FLAGS_duration.substr(0, FLAGS_duration.find('s'));
  if (!absl::SimpleAtoi(number, &seconds) || seconds < 30) exitWithBadSetting("duration: whole seconds, 30s at least");
  options.duration = base::seconds(seconds);
  return options;
}

void printShrunk(simulation::RunOptions options, uint64_t seed) {
  options.seed = seed;
  options.restrictFaults = false;
  const auto full = simulation::runSeed(options);
  const auto kept = simulation::shrinkFaults(options, full.faultsDrawn);
  std::printf("seed %llu still fails with %zu of %zu faults:\n", static_cast<unsigned long long>(seed), kept.size(),
              full.faultsDrawn);
  for (const auto position : kept) {
    const auto& fault = full.faults[position];
    const auto at = std::chrono::duration<double>(fault.at.time_since_epoch()).count();
    const auto lasts = std::chrono::duration<double>(fault.lasts).count();
    std::printf("  %s at %.6f s for %.6f s, target %zu\n", std::string(simulation::faultName(fault.kind)).c_str(), at,
                lasts, fault.target);
  }
}

int run() {
  const auto options = optionsFromSettings();
  tools::SeedRange range;
  if (!tools::parseSeeds(FLAGS_seeds, &range)) exitWithBadSetting("seeds: '" + FLAGS_seeds + "' is not A-B");
  const int cores = static_cast<int>(std::thread::hardware_concurrency());
  const int threads = FLAGS_threads > 0 ? FLAGS_threads : std::max(1, cores);
  const auto summary = tools::runSeeds(options, range, threads, FLAGS_stop_at_first);
  if (summary.failedSeeds > 0) {
    if (FLAGS_shrink) printShrunk(options, summary.firstFailed);
    std::printf("repeat with: driftlug-sim run --deployment %s --seeds %llu --duration %s --fault %s%s%s\n",
                FLAGS_deployment.c_str(), static_cast<unsigned long long>(summary.firstFailed), FLAGS_duration.c_str(),
                FLAGS_fault.c_str(), FLAGS_disable.empty() ? "" : " --disable ", FLAGS_disable.c_str());
  }
  std::printf("%s\n", tools::summaryLine(FLAGS_deployment, summary).c_str());
  return summary.violations > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  base::declareRange("threads", 0, 1024);
  base::declareRange("mean_fault_gap_ms", 100, 3'600'000);
  base::declareRange("mean_edit_gap_ms", 1, 3'600'000);
  const auto arguments =
      base::loadSettingsOrExit(argc, argv, "driftlug-sim run: deterministic simulation on a virtual clock", true);
  base::configureLogs(false, FLAGS_verbose ? "debug" : "off");
  if (FLAGS_list_mechanisms) {
    for (const auto& info : simulation::allMechanisms()) {
      std::printf("%-26s %s\n", std::string(info.name).c_str(), std::string(info.purpose).c_str());
    }
    return 0;
  }
  if (FLAGS_list_faults) {
    for (const auto& info : simulation::allFaults()) std::printf("%s\n", std::string(info.name).c_str());
    return 0;
  }
  if (arguments.size() != 1 || arguments[0] != "run") exitWithBadSetting("the command is 'run'");
  return run();
}
