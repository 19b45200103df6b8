/// What relays tell the leading controller of versions of back ends.
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

/// Gathers the reports of nodes on rollouts, and tells versions of services that have no rollout row yet.
///
/// Reports that come within a tenth of a second leave as one message, so that a leader gets ten a second from each
/// relay and not some from each endpoint. A report that is lost is not sent again: the next one tells all.
///
/// Invariant: nothing is sent while no rollout runs and all services with endpoints have rows.
class VersionReportSender {
 public:
  using Send = std::function<bool(const wire::Message&)>;

  /// @param send to the leading controller; false when there is none
  VersionReportSender(base::Scheduler& scheduler, const TableReplica& replica,
                      const membership::EndpointDirectory& endpoints, Send send);

  /// A node reports.
  void onReports(const wire::VersionReports& reports);

  /// States of endpoints that are news.
  void onNewEndpointStates(const std::vector<wire::EndpointState>& states);

  /// Tells what has no row yet; called now and then.
  void reportServicesWithoutRollout();

 private:
  void flush();

  const TableReplica& replica_;
  const membership::EndpointDirectory& endpoints_;
  Send send_;
  std::map<std::string, wire::VersionReport> pending_;  // by endpoint
  std::set<std::string> servicesWithoutRollout_;        // services that may have no row
  base::Timer flushTimer_;
};

}  // namespace driftlug::relay
