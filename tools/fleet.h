/// A deployment running as processes on loopback.
#pragma once

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
  bool faultProxy = false;  ///< whether a fault proxy stands before every frame port and back end
  std::vector<std::string> controllerFlags;
  std::vector<std::string> relayFlags;
  std::vector<std::string> backendFlags;
};

/// What a stand-in caller sends.
struct LoadOptions {
  double rate = 500;
  int durationMs = 5000;
  int seed = 1;
  double filingShare = 0.1;
  bool direct = false;  ///< lookups straight to the back ends, to compare with
};

/// What was counted in the back ends after a run.
struct RecordCheck {
  int64_t filings = 0;
  int64_t doubled = 0;
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

  /// Waits for a stand-in caller and returns its summary.
  nlohmann::json finishLoad(const std::string& name, int timeoutMs);

  /// Makes an edit.
  apps::ApiAnswer edit(const nlohmann::json& edits);

  /// Asks whichever controller leads.
  apps::ApiAnswer request(const std::string& method, const std::string& path);

  /// Waits until a revision is in force everywhere.
  /// @return milliseconds since `since`, or -1 when it took longer than the limit
  double waitEverywhere(int64_t revision, base::TimePoint since, int limitMs);

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
  bool setLinkFault(const std::string& link, std::string_view fault, int delayMs);

  /// @return the name of the controller that leads, or empty.
  std::string leader();

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
