/// `driftlugctl rollout`: starts, shows, watches and aborts rollouts of a service to another version.
#pragma once

#include <string>

#include "ctl_output.h"
#include "sync_http.h"

namespace driftlug::apps {
/// Command-line options of `driftlugctl rollout`.
struct RolloutSettings {
  int finishByMs = 0;  ///< Time limit of a rollout, milliseconds.
  bool wait = false;   ///< Watch a started rollout until it ends.
  bool json = false;
};

class RolloutCommand {
 public:
  RolloutCommand(SyncHttp& http, ControlApiClient& client, const RolloutSettings& settings)
      : http_(http), client_(client), settings_(settings) {}

  /// @return The exit code: kFailed if a watched rollout was rolled back, kDone if it completed
  int run(const Arguments& arguments);

 private:
  int start(const std::string& service, const std::string& version);
  int watch(const std::string& service);
  int show(const std::string& service);

  SyncHttp& http_;
  ControlApiClient& client_;
  RolloutSettings settings_;
};

/// @return One line about a rollout: state, progress and the evidence against the new version
std::string rolloutLine(const nlohmann::json& rollout);

}  // namespace driftlug::apps
