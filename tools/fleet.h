/// Runs a deployment as processes on loopback.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_api_client.h"
#include "deployment.h"
#include "process_group.h"
#include "sync_http.h"

namespace driftlug::tools {

/// A process of the fleet and its ports.
struct FleetMember {
  std::string name;
  std::string zone;
  int framePort = 0;
  int httpPort = 0;
  int entryPort = 0;
  int dialPort = 0;  ///< port at which peers reach the frame port: the frame port, or the fault proxy in front of it
};

/// A back end and its local node.
struct FleetEndpoint {
  FleetMember node;
  std::string service;
  int backendPort = 0;
  std::string backendName;
  int backendDialPort = 0;  ///< port at which its node reaches it: the back end, or the fault proxy in front of it
};

/// Options of a fleet.
struct FleetOptions {
  std::string binaries;  ///< folder of the executables
  std::string report;    ///< folder for logs, data and the report
  bool emulateLatency = true;
  bool faultProxy = false;  ///< whether a fault proxy fronts every frame port and back end
  bool backendProxy =
      true;  ///< with faultProxy: whether it fronts back ends too; it accepts connections even while a back end is down
  std::vector<std::string> controllerFlags;
  std::vector<std::string> relayFlags;
  std::vector<std::string> nodeFlags;
  std::vector<std::string> backendFlags;
  base::Duration apiTimeout = base::seconds(20);  ///< for a response from the leader
};

/// Traffic of a load generator.
struct LoadOptions {
  double rate = 500;  ///< calls per second
  int durationMs = 5000;
  int seed = 1;
  double filingShare = 0.1;  ///< share of calls that may not be repeated
  bool direct = false;       ///< lookups are sent directly to the back ends, as a baseline
  std::string samePath;      ///< path of all lookups, which have equal queries; empty for the deployment's paths
};

/// Result of comparing the callers' outcomes with the back ends' records.
struct RecordCheck {
  int64_t filings = 0;
  int64_t duplicates = 0;   ///< ran more than once
  int64_t lost = 0;         ///< reported as completed, but no back end ran it
  int64_t falseNotRun = 0;  ///< reported as not run, but a back end ran it
};

/// Starts, changes and stops the processes of one deployment.
class Fleet {
 public:
  Fleet(Deployment deployment, FleetOptions options);

  /// Starts all processes, loads the table and waits until every process is ready.
  absl::Status start();

  /// Stops all processes in order: entries, nodes, back ends, relays, controllers, fault proxy.
  /// @return names of processes that did not exit with code 0 in time
  std::vector<std::string> stop();

  /// Starts a load generator in the background.
  void startLoad(const std::string& name, const LoadOptions& options);

  /// Starts callers with persistent connections to the entry nodes in the background.
  void startPersistentCallers(const std::string& name, const LoadOptions& options);

  /// @return the requests without a complete response, from the JSON file that the persistent callers write on exit.
  nlohmann::json unansweredRequests(const std::string& name) const;

  /// Waits for a load generator to exit and returns its summary; `failed` is set if it has none.
  nlohmann::json finishLoad(const std::string& name, int timeoutMs);

  /// Submits edits to the controllers.
  apps::ApiAnswer edit(const nlohmann::json& edits);

  /// Sends a request to the current leader.
  apps::ApiAnswer request(const std::string& method, const std::string& path);

  /// Waits until every process has activated a revision.
  /// @return milliseconds since `since`, or -1 if the limit was exceeded
  double waitForConvergence(int64_t revision, base::TimePoint since, int limitMs);

  /// @return the number of runs per idempotency key, summed over all back ends.
  std::map<std::string, int64_t> runCounts();

  /// Compares the callers' outcomes with the back ends' records.
  RecordCheck checkRecords(const std::vector<std::string>& loads);

  /// @return the sum of a metric over some members; unreachable members count as 0.
  double sumMetric(const std::vector<FleetMember>& members, const std::string& metric);

  const Deployment& deployment() const { return deployment_; }
  ProcessGroup& processes() { return processes_; }
  apps::SyncHttp& http() { return http_; }
  const std::vector<FleetMember>& controllers() const { return controllers_; }
  const std::vector<FleetMember>& relays() const { return relays_; }
  const std::vector<FleetMember>& entries() const { return entries_; }
  const std::vector<FleetEndpoint>& endpoints() const { return endpoints_; }
  std::vector<FleetMember> allNodes() const;

  /// @return all nodes, controllers and relays.
  std::vector<FleetMember> allMembers() const;

  /// Injects a fault into the link to a process; `none` ends the current fault.
  /// @return whether the fault proxy accepted the request
  bool setLinkFault(const std::string& link, std::string_view fault, int delayMs, int bytesPerSecond);

  /// @return the name of the leader, or empty.
  std::string leader();

  /// @return whether a member's /readyz responds with 200.
  bool isReady(const FleetMember& member);

  /// @return whether an entry node accepts a caller's connection and responds on it.
  bool acceptsConnections(const FleetMember& member);

  /// Waits until a member's /readyz responds with 200.
  bool waitReady(const FleetMember& member, int timeoutMs);

 private:
  void plan();
  void planProxy();
  bool startProxy();
  bool startControllers();
  bool startRelays();
  bool startEndpoints();
  bool startEntries();
  /// Adds the flags for targets, paths and duration.
  void addTrafficFlags(const LoadOptions& options, std::vector<std::string>* command) const;
  std::vector<std::string> program(const std::string& name) const;
  std::string relayAddresses(int zone) const;
  nlohmann::json endpointEdits() const;
  absl::Status failed(const std::string& what) const;

  Deployment deployment_;
  FleetOptions options_;
  apps::SyncHttp http_;
  ProcessGroup processes_;
  std::unique_ptr<apps::ControlApiClient> api_;
  std::vector<FleetMember> controllers_;
  std::vector<FleetMember> relays_;
  std::vector<FleetMember> entries_;
  std::vector<FleetEndpoint> endpoints_;
  std::vector<std::string> links_;  ///< value of the fault proxy's --links
  int proxyPort_ = 0;               ///< control port of the fault proxy
};

}  // namespace driftlug::tools
