/// Routes by host, in versions that share what does not differ.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "routing/weighted_split.h"
#include "table/table.h"

namespace driftlug::routing {

/// A route, ready for use.
struct Route {
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::string method;
  std::vector<WeightedChoice> shares;
  bool repeatable = false;
  int timeoutMs = 0;
  int maxAttempts = 0;      ///< 0 leaves it to the service's retry rule
  int targetLatencyMs = 0;  ///< 0 when none is stated
  int priority = 0;         ///< 0 is the most urgent
  bool keyless = false;     ///< callers need no key, though there are tenants
};

/// A copy costs some hundreds of pointers at any number of routes; a change, the hosts that it touches.
class RouteIndex {
 public:
  /// Takes all routes of a slice.
  void build(const table::Table& slice);

  /// Takes the routes of some hosts anew.
  void update(const table::Table& slice, const std::set<std::string>& hosts);

  /// @return the route with the longest prefix, an exact method before any method; null when none matches.
  const Route* match(std::string_view host, std::string_view path, std::string_view method) const;

 private:
  using Routes = std::vector<Route>;  // of one host, longest prefix first

  struct Host {
    std::string name;
    std::shared_ptr<const Routes> routes;
  };

  using Bucket = std::vector<Host>;  // by name

  static constexpr size_t kBucketCount = 256;

  static size_t bucketOf(std::string_view host);
  static std::shared_ptr<const Routes> buildRoutes(const table::Table& slice, std::string_view host);

  std::array<std::shared_ptr<const Bucket>, kBucketCount> buckets_;  // null where there is no host
};

}  // namespace driftlug::routing
