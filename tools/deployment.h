/// Reads the description of a deployment from an example folder.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace driftlug::tools {

/// A service and the resources of its upstreams.
struct DeployedService {
  std::string name;
  std::string path;
  int upstreams = 1;
  int slots = 20;
  int connections = 130;
  int serviceTimeUs = 5000;
  bool filings = false;  ///< requests are not idempotent and may not be repeated
};

/// Process counts, latencies and services of a deployment.
struct Deployment {
  std::string name;
  std::string host;
  std::vector<std::string> zones;
  int zoneDelayUs = 0;
  int clientDelayUs = 0;
  int controllers = 3;
  int relaysPerZone = 2;
  int entriesPerZone = 1;
  double rate = 500;     ///< default load, in calls per second
  double linkMbps = 0;   ///< capacity of a process's link behind a fault proxy, in Mbit/s; 0 for unlimited
  int bodyBytes = 1000;  ///< maximum body size of non-repeatable requests on persistent connections
  std::vector<DeployedService> services;
};

/// Reads `FOLDER/deployment.toml`.
/// @return the deployment, or kBadSetting naming the first error
absl::StatusOr<Deployment> readDeployment(const std::string& folder);

/// @return indexes of the relays in a zone's release group: the zone's own relays, then one from each of the next two
/// zones.
std::vector<int> releaseGroupOf(const Deployment& deployment, int zone);

/// @return the edits that create all rows of the deployment's table except the endpoints.
nlohmann::json tableEdits(const Deployment& deployment);

}  // namespace driftlug::tools
