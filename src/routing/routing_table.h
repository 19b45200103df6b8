/// The table as a node runs it: one immutable version, compiled for lookups.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "routing/weighted_split.h"
#include "table/table.h"

namespace driftlug::routing {

/// Where to reach one endpoint.
struct EndpointTarget {
  std::string name;
  std::string address;
  int port = 0;
  std::string zone;
  int weight = 0;
};

/// Concurrency limits of a service at each endpoint.
struct ServiceLimit {
  int maxConcurrent = 0;
  int maxQueued = 0;
};

/// How often a request may be sent again.
struct RetryRule {
  int maxAttempts = 1;
  int budgetPercent = 0;
};

/// A route, ready for use.
struct Route {
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::string method;
  std::vector<WeightedChoice> shares;
  bool repeatable = false;
  int timeoutMs = 0;
};

/// One version of a node's slice. Never changed once built; requests keep the version they began with.
class RoutingTable {
 public:
  explicit RoutingTable(const table::Table& slice, int64_t revision);

  int64_t revision() const { return revision_; }

  /// @return the route with the longest prefix, an exact method before any method; null when none matches.
  const Route* match(std::string_view host, std::string_view path, std::string_view method) const;

  /// @return the endpoints of a service.
  const std::vector<EndpointTarget>& endpoints(const std::string& service) const;

  /// @return the limit of a service, or null.
  const ServiceLimit* limit(const std::string& service) const;

  /// @return the retry rule of a service; one attempt when it has none.
  RetryRule retryRule(const std::string& service) const;

  /// @return all endpoints of all services.
  std::vector<EndpointTarget> allEndpoints() const;

 private:
  int64_t revision_;
  std::map<std::string, std::vector<Route>, std::less<>> routesByHost_;  // longest prefix first
  std::map<std::string, std::vector<EndpointTarget>> endpointsByService_;
  std::map<std::string, ServiceLimit> limits_;
  std::map<std::string, RetryRule> retryRules_;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}  // namespace driftlug::routing
