/// A deployment as an example folder describes it.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace driftlug::tools {

/// One service and its upstreams.
struct DeployedService {
  std::string name;
  std::string path;
  int upstreams = 1;
  int slots = 20;
  int connections = 130;
  int serviceTimeUs = 5000;
  bool filings = false;  ///< requests may not be repeated
};

/// Sizes and latencies of one deployment.
struct Deployment {
  std::string name;
  std::string host;
  std::vector<std::string> zones;
  int zoneDelayUs = 0;
  int clientDelayUs = 0;
  int controllers = 3;
  int relaysPerZone = 2;
  int entriesPerZone = 1;
  double rate = 500;    ///< calls a second of the standard load
  double linkMbps = 0;  ///< what the link of a process carries, in Mbit/s, where a fault proxy stands; 0 for any number
  int bodyBytes = 1000;  ///< of requests that may not be repeated, at most, on connections that are kept in use
  std::vector<DeployedService> services;
};

/// Reads `FOLDER/deployment.toml`.
/// @return the deployment, or kBadSetting naming the first mistake
absl::StatusOr<Deployment> readDeployment(const std::string& folder);

/// @return relays of a zone's release group as positions: the zone's own, then one of each of the next two zones.
std::vector<int> releaseGroupOf(const Deployment& deployment, int zone);

/// @return the edits that create the deployment's table, without endpoints.
nlohmann::json tableEdits(const Deployment& deployment);

}  // namespace driftlug::tools
