/// A deployment running as processes on loopback.
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

/// One started process and where it answers.
struct FleetMember {
  std::string name;
  std::string zone;
  int framePort = 0;
  int httpPort = 0;
  int entryPort = 0;
  int dialPort = 0;  ///< where others reach its frame port: itself, or the fault proxy before it
};

/// One back end with the node beside it.
struct FleetEndpoint {
  FleetMember node;
  std::string service;
  int backendPort = 0;
  std::string backendName;
  int backendDialPort = 0;  ///< where its node reaches it
};

/// Options of a run.
struct FleetOptions {
  std::string binaries;  ///< folder of the programs
  std::string report;    ///< folder for logs, data and the report
  bool emulateLatency = true;
  bool faultProxy = false;   ///< whether a fault proxy stands before every frame port and back end
  bool backendProxy = true;  ///< with faultProxy: before back ends too; it takes connections to one that is away
  std::vector<std::string> controllerFlags;
  std::vector<std::string> relayFlags;
  std::vector<std::string> nodeFlags;
  std::vector<std::string> backendFlags;
  base::Duration apiTimeout = base::seconds(20);  ///< for an answer of a controller that leads
};

/// What a stand-in caller sends.
struct LoadOptions {
  double rate = 500;
  int durationMs = 5000;
  int seed = 1;
  double filingShare = 0.1;
  bool direct = false;   ///< lookups straight to the back ends, to compare with
  std::string samePath;  ///< all calls are lookups of this path with the same query; empty for the deployment's paths
};

/// What was counted in the back ends after a run.
struct RecordCheck {
  int64_t filings = 0;
  int64_t duplicates = 0;
  int64_t lost = 0;         ///< answered as done, but no back end ran it
  int64_t falseNotRun = 0;  ///< answered "not run", but a back end ran it
};

/// Starts, changes and stops the processes of one deployment.
class Fleet {
 public:
  Fleet(Deployment deployment, FleetOptions options);

  /// Starts everything and loads the table.
  absl::Status start();

  /// Stops everything in order: entries, nodes, back ends, relays, controllers.
  /// @return names of processes that did not end by themselves in time
  std::vector<std::string> stop();

  /// Starts the stand-in caller in the background.
  void startLoad(const std::string& name, const LoadOptions& options);

  /// Starts callers that keep connections to the entry nodes in use, in the background.
  void startPersistentCallers(const std::string& name, const LoadOptions& options);

  /// @return the requests that got no complete answer from such callers once they have ended, as they wrote them.
  nlohmann::json unansweredRequests(const std::string& name) const;

  /// Waits for a stand-in caller and returns its summary.
  nlohmann::json finishLoad(const std::string& name, int timeoutMs);

  /// Makes an edit.
  apps::ApiAnswer edit(const nlohmann::json& edits);

  /// Asks whichever controller leads.
  apps::ApiAnswer request(const std::string& method, const std::string& path);

  /// Waits until a revision is in force everywhere.
  /// @return milliseconds since `since`, or -1 when it took longer than the limit
  double waitForConvergence(int64_t revision, base::TimePoint since, int limitMs);

  /// @return how often back ends ran each request that may not be repeated, by its key.
  std::map<std::string, int64_t> runCounts();

  /// Compares the callers' outcomes with the back ends' records.
  RecordCheck checkRecords(const std::vector<std::string>& loads);

  /// @return the sum of a metric over members.
  double sumMetric(const std::vector<FleetMember>& members, const std::string& metric);

  /// @return the changed rows' encoded size and the interested nodes of one limit edit.
  const Deployment& deployment() const { return deployment_; }
  ProcessGroup& processes() { return processes_; }
  apps::SyncHttp& http() { return http_; }
  const std::vector<FleetMember>& controllers() const { return controllers_; }
  const std::vector<FleetMember>& relays() const { return relays_; }
  const std::vector<FleetMember>& entries() const { return entries_; }
  const std::vector<FleetEndpoint>& endpoints() const { return endpoints_; }
  std::vector<FleetMember> allNodes() const;

  /// @return nodes, controllers and relays.
  std::vector<FleetMember> allMembers() const;

  /// Puts a fault in force on the link to a process, or ends it with `none`.
  bool setLinkFault(const std::string& link, std::string_view fault, int delayMs, int bytesPerSecond);

  /// @return the name of the controller that leads, or empty.
  std::string leader();

  /// @return whether a member's /readyz is good.
  bool isReady(const FleetMember& member);

  /// @return whether a node takes a connection of a caller, and answers something on it.
  bool acceptsConnections(const FleetMember& member);

  /// Waits until a member's /readyz is good.
  bool waitReady(const FleetMember& member, int timeoutMs);

 private:
  void plan();
  void planProxy();
  bool startProxy();
  bool startControllers();
  bool startRelays();
  bool startEndpoints();
  bool startEntries();
  /// Adds where callers go and what they ask for.
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
  std::vector<std::string> links_;  ///< of the fault proxy, as its flag takes them
  int proxyPort_ = 0;               ///< of its control page
};

}  // namespace driftlug::tools
