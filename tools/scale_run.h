/// `driftlug-fleet scale`: real controllers and relays, hollow nodes that share processes, a few real nodes beside.
#pragma once

#include <string>
#include <vector>

#include "fleet.h"
#include "scale_shape.h"

namespace driftlug::tools {

/// What to run at one size.
struct ScaleOptions {
  int nodes = 1000;
  int nodesPerProcess = 700;
  double editsPerSecond = 2.8;  ///< the letter's 24,000 a day, ten times over
  int editSeconds = 15;
  int idleSeconds = 10;
  bool storms = true;  ///< kill a relay, a zone's pair, and all relays
};

/// What the processes of one role used together while nothing changed, or while edits ran.
struct RoleUsage {
  int processes = 0;
  double cpuPercent = 0;  ///< of one core, sum over processes
  double rssMb = 0;       ///< sum over processes
  double sentPerSecond = 0;
  double receivedPerSecond = 0;
};

/// How long nodes took to be attached again after a loss.
struct StormResult {
  std::string name;
  int lostNodes = 0;
  double reattachedMs = -1;  ///< -1 when it took longer than the limit
  double bytesPerNode = 0;   ///< sent by relays to nodes while they returned
};

/// Figures of one size.
struct ScaleResult {
  int nodes = 0;
  double startMs = 0;  ///< from the start of the nodes until all have a version
  std::vector<double> convergenceMs;
  int editsFailed = 0;
  RoleUsage controllersIdle, relaysIdle, nodesIdle;
  RoleUsage controllersEdits, relaysEdits, nodesEdits;
  std::vector<StormResult> storms;
};

/// Runs one size in a folder.
absl::StatusOr<ScaleResult> runScale(const ScaleOptions& options, const std::string& binaries,
                                     const std::string& folder);

/// @return the figures as JSON.
nlohmann::json scaleJson(const ScaleResult& result);

}  // namespace driftlug::tools
