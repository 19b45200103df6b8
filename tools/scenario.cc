#include "scenario.h"

#include <toml++/toml.h>
#include <csignal>
#include <map>

#include "base/error.h"

namespace driftlug::tools {
namespace {

constexpr int kRestartTimeoutMs = 15'000;

const std::map<std::string, StepAction>& actionNames() {
  static const std::map<std::string, StepAction> names = {
      {"edit", StepAction::kEdit},     {"kill", StepAction::kKill},   {"restart", StepAction::kRestart},
      {"revive", StepAction::kRevive}, {"pause", StepAction::kPause}, {"resume", StepAction::kResume},
      {"drain", StepAction::kDrain}};
  return names;
}

std::vector<std::string> resolve(const std::string& target, Fleet& fleet) {
  std::vector<std::string> names;
  if (target == "leader") return {fleet.leader()};
  if (target == "relays") {
    for (const auto& member : fleet.relays()) names.push_back(member.name);
  } else if (target == "controllers") {
    for (const auto& member : fleet.controllers()) names.push_back(member.name);
  } else if (target == "nodes") {
    for (const auto& endpoint : fleet.endpoints()) names.push_back(endpoint.node.name);
  } else {
    names.push_back(target);
  }
  return names;
}

void drain(const std::string& name, Fleet& fleet) {
  for (const auto& endpoint : fleet.endpoints()) {
    if (endpoint.node.name != name) continue;
    transport::HttpRequest request;
    request.method = "POST";
    request.path = "/drain";
    fleet.http().call({"127.0.0.1", endpoint.node.httpPort}, request, base::seconds(5));
  }
}

void runStep(const ScenarioStep& step, Fleet& fleet, const std::function<void()>& edit) {
  if (step.action == StepAction::kEdit) return edit();
  const auto names = resolve(step.target, fleet);
  auto& processes = fleet.processes();
  for (const auto& name : names) {
    switch (step.action) {
      case StepAction::kKill:
        processes.signal(name, SIGKILL);
        processes.waitFor(name, kRestartTimeoutMs);
        break;
      case StepAction::kRestart:
        processes.signal(name, SIGTERM);
        processes.waitFor(name, kRestartTimeoutMs);
        processes.startAgain(name);
        break;
      case StepAction::kRevive:
        processes.startAgain(name);
        break;
      case StepAction::kPause:
        processes.signal(name, SIGSTOP);
        break;
      case StepAction::kResume:
        processes.signal(name, SIGCONT);
        break;
      default:
        drain(name, fleet);
        break;
    }
  }
}

}  // namespace

absl::StatusOr<Scenario> readScenario(const std::string& path) {
  toml::table document;
  try {
    document = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    return base::makeError(base::ErrorCode::kBadSetting, path + ": " + std::string(error.description()));
  }
  Scenario scenario;
  scenario.name = document["name"].value_or(std::string());
  scenario.callsMayFail = document["calls_may_fail"].value_or(false);
  scenario.rounds = document["rounds"].value_or(scenario.rounds);
  scenario.roundMs = document["round_ms"].value_or(scenario.roundMs);
  const auto* steps = document["steps"].as_array();
  if (steps == nullptr) return base::makeError(base::ErrorCode::kBadSetting, path + ": steps are needed");
  for (const auto& item : *steps) {
    const auto* table = item.as_table();
    const auto action = table == nullptr ? "" : (*table)["action"].value_or(std::string());
    const auto found = actionNames().find(action);
    if (found == actionNames().end()) {
      return base::makeError(base::ErrorCode::kBadSetting, path + ": unknown action '" + action + "'");
    }
    scenario.steps.push_back(
        {(*table)["at_ms"].value_or(0), found->second, (*table)["target"].value_or(std::string())});
  }
  return scenario;
}

void runScenario(const Scenario& scenario, int rounds, Fleet& fleet, const std::function<void()>& edit) {
  const auto begun = fleet.http().loop().now();
  const int times = rounds > 0 ? rounds : scenario.rounds;
  for (int round = 0; round < times; ++round) {
    for (const auto& step : scenario.steps) {
      const auto at = begun + base::milliseconds(round * scenario.roundMs + step.atMs);
      const auto now = fleet.http().loop().now();
      if (at > now) fleet.http().wait(std::chrono::duration_cast<base::Duration>(at - now));
      runStep(step, fleet, edit);
    }
  }
}

}  // namespace driftlug::tools
