/// Reports of back-end versions from relays to the leading controller.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/endpoint_directory.h"
#include "relay/table_replica.h"
#include "wire/frame.h"

namespace driftlug::relay {

/// Batches the nodes' reports on rollouts, and reports the versions of services that have no rollout row yet.
///
/// Reports that arrive within 100 ms are sent as one message, so that the leader receives at most ten per second from
/// each relay instead of several from each endpoint. A lost report is not resent: the next one carries the full state.
///
/// Invariant: nothing is sent while no rollout runs and all services with endpoints have rollout rows.
class VersionReportSender {
 public:
  using Send = std::function<bool(const wire::Message&)>;

  /// @param send sends a message to the leading controller; returns false if there is none
  VersionReportSender(base::Scheduler& scheduler, const TableReplica& replica,
                      const membership::EndpointDirectory& endpoints, Send send);

  /// Handles reports of a node.
  void onReports(const wire::VersionReports& reports);

  /// Handles endpoint states that were new to the directory.
  void onNewEndpointStates(const std::vector<wire::EndpointState>& states);

  /// Reports the versions of services that have no rollout row yet; called periodically.
  void reportServicesWithoutRollout();

 private:
  void flush();

  const TableReplica& replica_;
  const membership::EndpointDirectory& endpoints_;
  Send send_;
  std::map<std::string, wire::VersionReport> pending_;  // by endpoint
  std::set<std::string> servicesWithoutRollout_;        // services that may have no rollout row
  base::Timer flushTimer_;
};

}  // namespace driftlug::relay
