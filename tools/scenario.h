/// Scripted steps on a running fleet: edits, kills, restarts, pauses, drains.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

#include "fleet.h"

namespace driftlug::tools {

/// Action of a step on its target.
enum class StepAction {
  kEdit,     ///< submits an edit and measures its convergence
  kKill,     ///< SIGKILL, without a restart
  kRestart,  ///< SIGTERM, waits for the exit, starts it again
  kRevive,   ///< starts it again after a kill
  kPause,    ///< SIGSTOP
  kResume,   ///< SIGCONT
  kDrain,    ///< the node accepts no new calls
};

struct ScenarioStep {
  int atMs = 0;  ///< since the start of the round
  StepAction action = StepAction::kEdit;
  std::string target;  ///< a process name, `leader`, `relays`, `controllers` or `nodes`
};

struct Scenario {
  std::string name;
  bool callsMayFail = false;  ///< whether failed calls are expected
  std::vector<ScenarioStep> steps;
  int rounds = 1;   ///< number of times the steps run
  int roundMs = 0;  ///< time between the starts of two rounds
};

/// Reads a scenario file.
/// @return the scenario, or kBadSetting naming the first error
absl::StatusOr<Scenario> readScenario(const std::string& path);

/// Runs all steps; `edit` submits one edit and measures its convergence.
/// @param rounds number of times the steps run; 0 for the number in the scenario
void runScenario(const Scenario& scenario, int rounds, Fleet& fleet, const std::function<void()>& edit);

}  // namespace driftlug::tools
