/// Steps that change a running fleet: edits, kills, restarts, pauses, drains.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

#include "fleet.h"

namespace driftlug::tools {

/// What a step does to its target.
enum class StepAction {
  kEdit,     ///< one edit, measured until it is in force everywhere
  kKill,     ///< SIGKILL, without a restart
  kRestart,  ///< SIGTERM, wait for the end, start again
  kRevive,   ///< start again after a kill
  kPause,    ///< SIGSTOP
  kResume,   ///< SIGCONT
  kDrain,    ///< the node takes no new work
};

struct ScenarioStep {
  int atMs = 0;  ///< since the load began
  StepAction action = StepAction::kEdit;
  std::string target;  ///< a process name, `leader`, `relays`, `controllers` or `nodes`
};

struct Scenario {
  std::string name;
  bool callsMayFail = false;  ///< whether typed failures are expected
  std::vector<ScenarioStep> steps;
  int rounds = 1;   ///< how often the steps run
  int roundMs = 0;  ///< time from the begin of a round to that of the next
};

/// Reads a scenario file.
/// @return the scenario, or kBadSetting naming the first mistake
absl::StatusOr<Scenario> readScenario(const std::string& path);

/// Runs all steps; `edit` makes one measured edit.
/// @param rounds how often the steps run; 0 for as often as the file says
void runScenario(const Scenario& scenario, int rounds, Fleet& fleet, const std::function<void()>& edit);

}  // namespace driftlug::tools
