/// Routing table of a node: one immutable version of its slice, indexed for lookups.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/version_policy.h"
#include "routing/route_index.h"
#include "table/row_change.h"
#include "table/table.h"
#include "tenants/tenant_directory.h"

namespace driftlug::routing {

/// Weight of an endpoint that gets its full share of requests.
constexpr int kFullWeight = 100;

/// Address and capacity of one endpoint.
struct EndpointTarget {
  std::string name;
  std::string address;
  int port = 0;
  std::string zone;
  int weight = 0;
  int slots = 0;        ///< requests that the back end runs concurrently; 0 when unknown
  std::string version;  ///< of the back end's software; empty when unknown
};

/// Concurrency limits of a service at each endpoint.
struct ServiceLimit {
  int maxConcurrent = 0;
  int maxQueued = 0;
};

/// Limits on retries of a request.
struct RetryRule {
  int maxAttempts = 1;
  int budgetPercent = 0;
};

/// Limits on requests from callers; 0 where the table states none.
struct IngressLimits {
  int maxHeadBytes = 0;
  int64_t maxBodyBytes = 0;
  int headTimeoutMs = 0;
  int idleTimeoutMs = 0;
};

/// One immutable version of a node's slice. A request keeps using the version it started with.
class RoutingTable {
 public:
  explicit RoutingTable(const table::Table& slice, int64_t revision);

  /// Builds a version from the previous one, rebuilding only the parts and hosts that changed; the result equals a full
  /// build.
  /// @param previousVersion shares its parts in which no row has changed
  /// @param rows the rows that differ between the two versions
  RoutingTable(const RoutingTable& previousVersion, const table::Table& slice, int64_t revision,
               const table::ChangedRows& rows);

  int64_t revision() const { return revision_; }

  /// @return the matching route with the longest prefix, preferring an exact method to a wildcard; null when none
  /// matches.
  const Route* match(std::string_view host, std::string_view path, std::string_view method) const {
    return routes_.match(host, path, method);
  }

  /// @return the endpoints of a service.
  const std::vector<EndpointTarget>& endpoints(const std::string& service) const;

  /// @return the limit of a service, or null.
  const ServiceLimit* limit(const std::string& service) const;

  /// @return the retry rule of a service, if it has one.
  std::optional<RetryRule> retryRule(const std::string& service) const;

  const IngressLimits& ingress() const { return services_->ingress; }

  const tenants::tenant_directory& tenants() const { return *tenants_; }

  /// @return whether a zone is evacuated: its back ends get no requests.
  bool evacuated(const std::string& zone) const { return services_->evacuated.count(zone) > 0; }

  /// @return requests per second that a cold back end of a service can handle; 0 when the table states none.
  double coldPerS(const std::string& service) const;

  /// @return the maximum number of connections to a service's back end; 0 when the table states none.
  int maxConnections(const std::string& service) const;

  /// @return which versions of a service get requests; null when there is no rollout row and all versions do.
  const rollout::version_policy* versions(const std::string& service) const;

  /// @return the endpoints of all services that have any.
  const std::map<std::string, std::vector<EndpointTarget>>& endpointsByService() const { return services_->endpoints; }

 private:
  /// Rows other than routes and tenants.
  struct Services {
    std::map<std::string, std::vector<EndpointTarget>> endpoints;  // by service
    std::map<std::string, ServiceLimit> limits;                    // by service
    std::map<std::string, RetryRule> retryRules;                   // by service
    std::map<std::string, int> maxConnections;                     // by service
    std::map<std::string, rollout::version_policy> versions;       // by service
    std::map<std::string, double> coldPerS;                        // by service
    std::set<std::string> evacuated;                               // zones
    IngressLimits ingress;
  };

  static std::shared_ptr<const Services> buildServices(const table::Table& slice);
  static std::shared_ptr<const tenants::tenant_directory> buildTenants(const table::Table& slice);

  int64_t revision_;
  RouteIndex routes_;
  std::shared_ptr<const Services> services_;
  std::shared_ptr<const tenants::tenant_directory> tenants_;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}  // namespace driftlug::routing
