#include "sim_run.h"

#include <absl/strings/numbers.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "percentiles.h"

namespace driftlug::tools {
namespace {

void printResult(const simulation::RunResult& result) {
  std::printf("seed %llu trace %016llx events %llu edits %lld accepted %lld faults %zu violations %zu\n",
              static_cast<unsigned long long>(result.seed), static_cast<unsigned long long>(result.traceHash),
              static_cast<unsigned long long>(result.events), static_cast<long long>(result.operators.edits),
              static_cast<long long>(result.operators.accepted), result.faultsDrawn, result.violations.size());
  for (const auto& violation : result.violations) {
    const auto at = std::chrono::duration<double>(violation.at.time_since_epoch()).count();
    std::printf("  guarantee %d at %.6f s: %s\n", static_cast<int>(violation.guarantee), at, violation.message.c_str());
  }
}

void addTo(RunSummary* summary, const simulation::RunResult& result) {
  ++summary->seeds;
  summary->violations += result.violations.size();
  if (!result.violations.empty()) {
    if (summary->failedSeeds++ == 0) summary->firstFailed = result.seed;
  }
  summary->convergenceMs.insert(summary->convergenceMs.end(), result.convergenceMs.begin(), result.convergenceMs.end());
  summary->controlBytes += result.controlBytes;
  for (size_t kind = 0; kind < simulation::kMessageKinds; ++kind) {
    summary->traffic.bytes[kind] += result.traffic.bytes[kind];
    summary->traffic.frames[kind] += result.traffic.frames[kind];
  }
  summary->operators.edits += result.operators.edits;
  summary->operators.accepted += result.operators.accepted;
  summary->operators.conflicts += result.operators.conflicts;
  summary->operators.invalid += result.operators.invalid;
  summary->operators.resends += result.operators.resends;
}

}  // namespace

bool parseSeeds(const std::string& text, SeedRange* range) {
  const auto dash = text.find('-');
  if (!absl::SimpleAtoi(text.substr(0, dash), &range->first)) return false;
  range->last = range->first;
  if (dash != std::string::npos && !absl::SimpleAtoi(text.substr(dash + 1), &range->last)) return false;
  return range->last >= range->first;
}

RunSummary runSeeds(const simulation::RunOptions& options, SeedRange range, int threads, bool stopAtFirst) {
  RunSummary summary;
  std::mutex mutex;
  std::map<uint64_t, simulation::RunResult> finished;  // results not yet printed
  uint64_t nextToPrint = range.first;
  std::atomic<uint64_t> nextSeed{range.first};
  std::atomic<bool> stop{false};
  const auto work = [&] {
    while (!stop) {
      const uint64_t seed = nextSeed++;
      if (seed > range.last) return;
      auto own = options;
      own.seed = seed;
      auto result = simulation::runSeed(own);
      const std::lock_guard<std::mutex> lock(mutex);
      finished.emplace(seed, std::move(result));
      for (auto next = finished.find(nextToPrint); next != finished.end(); next = finished.find(nextToPrint)) {
        if (!stop) {
          printResult(next->second);
          addTo(&summary, next->second);
          if (stopAtFirst && !next->second.violations.empty()) stop = true;
        }
        finished.erase(next);
        ++nextToPrint;
      }
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();
  return summary;
}

std::string summaryLine(const std::string& deployment, RunSummary summary) {
  nlohmann::json byKind = nlohmann::json::object();
  for (size_t kind = 0; kind < simulation::kMessageKinds; ++kind) {
    if (summary.traffic.bytes[kind] == 0 || wire::purposeOf(kind) != wire::Purpose::kControl) continue;
    byKind[std::string(simulation::messageKindName(kind))] = summary.traffic.bytes[kind];
  }
  const nlohmann::json line = {{"deployment", deployment},
                               {"seeds", summary.seeds},
                               {"failed_seeds", summary.failedSeeds},
                               {"violations", summary.violations},
                               {"convergence_ms", percentiles(summary.convergenceMs)},
                               {"control_bytes", summary.controlBytes},
                               {"control_bytes_by_kind", byKind},
                               {"edits", summary.operators.edits},
                               {"accepted", summary.operators.accepted},
                               {"conflicts", summary.operators.conflicts},
                               {"invalid", summary.operators.invalid},
                               {"resends", summary.operators.resends}};
  return line.dump();
}

}  // namespace driftlug::tools
