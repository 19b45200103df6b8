#include "rollout_command.h"

#include <absl/strings/str_format.h>

#include <cstdio>

namespace driftlug::apps {
namespace {
using nlohmann::json;

constexpr base::Duration kWatchInterval = base::milliseconds(500);
constexpr double kMsPerSecond = 1000;
constexpr double kPermillePerPercent = 10;
constexpr char kPath[] = "/v1/rollouts";

std::string pathOf(const std::string& service) { return std::string(kPath) + "/" + service; }

double secondsOf(const json& rollout, const char* name) {
  return static_cast<double>(rollout.value(name, int64_t{0})) / kMsPerSecond;
}

}  // namespace

std::string rolloutLine(const json& rollout) {
  const auto state = rollout.value("state", "");
  auto line = absl::StrFormat("%-24s %s", rollout.value("name", ""), state);
  if ("standing" == state) {
    return line + " " + rollout.value("standing", "");
  }
  line += absl::StrFormat(" %s after %.1f of %.1f s", rollout.value("target", ""), secondsOf(rollout, "elapsed_ms"),
                          secondsOf(rollout, "finish_by_ms"));
  if ("running" == state) {
    line += absl::StrFormat(": %.1f%% of the requests, %d endpoints tried, evidence %.2f",
                            rollout.value("target_permille", 0) / kPermillePerPercent,
                            rollout.value("endpoints_tried", 0), rollout.value("evidence", 0.0));
    line += rollout.value("retiring", false) ? ", the previous version is draining" : "";
  }
  const auto reason = rollout.value("running" == state ? "against_it" : "reason", "");
  return reason.empty() ? line : line + " (" + reason + ")";
}

int RolloutCommand::run(const Arguments& arguments) {
  const auto subcommand = arguments.empty() ? std::string("status") : arguments[0];
  if ("status" == subcommand && 2 >= arguments.size()) {
    return show(2 == arguments.size() ? arguments[1] : "");
  }
  if ("start" == subcommand && 3 == arguments.size()) {
    return start(arguments[1], arguments[2]);
  }
  if ("abort" == subcommand && 2 == arguments.size()) {
    return printAnswer(client_.request("DELETE", pathOf(arguments[1]), ""), settings_.json);
  }
  if ("watch" == subcommand && 2 == arguments.size()) {
    return watch(arguments[1]);
  }
  return usageError(
      "rollout start SERVICE VERSION --finish_by_ms=N | status [SERVICE] | watch SERVICE | abort SERVICE");
}

int RolloutCommand::start(const std::string& service, const std::string& version) {
  if (0 >= settings_.finishByMs) {
    return usageError("--finish_by_ms is needed: the time limit of the rollout");
  }
  const json order = {{"version", version}, {"finish_by_ms", settings_.finishByMs}};
  const auto answer = client_.request("POST", pathOf(service), order.dump());
  const int code = printAnswer(answer, settings_.json);
  return kDone == code && settings_.wait ? watch(service) : code;
}

int RolloutCommand::show(const std::string& service) {
  const auto answer = client_.request("GET", service.empty() ? kPath : pathOf(service), "");
  if (settings_.json || kDone != exitCodeFor(answer)) {
    return printAnswer(answer, settings_.json);
  }
  const auto rollouts = service.empty() ? answer.body["rollouts"] : json::array({answer.body});
  for (const auto& rollout : rollouts) {
    std::printf("%s\n", rolloutLine(rollout).c_str());
  }
  return kDone;
}

int RolloutCommand::watch(const std::string& service) {
  std::string last;
  while (true) {
    const auto answer = client_.request("GET", pathOf(service), "");
    if (kDone != exitCodeFor(answer)) {
      return printAnswer(answer, settings_.json);
    }
    const auto line = settings_.json ? answer.body.dump() : rolloutLine(answer.body);
    if (line != last) {
      std::printf("%s\n", line.c_str());
      std::fflush(stdout);
    }
    last = line;
    if ("running" != answer.body.value("state", "")) {
      return "rolled_back" == answer.body.value("state", "") ? kFailed : kDone;
    }
    http_.wait(kWatchInterval);
  }
}

}  // namespace driftlug::apps
