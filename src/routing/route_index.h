/// Index of routes by host. Copies share the buckets that are unchanged.
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

/// A route row in the form used for matching.
struct Route {
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::string method;
  std::vector<WeightedChoice> shares;
  bool repeatable = false;
  int timeoutMs = 0;
  int maxAttempts = 0;        ///< 0 uses the service's retry rule
  int targetLatencyMs = 0;    ///< 0 when the table states none
  int priority = 0;           ///< 0 is the highest priority
  bool largeAnswers = false;  ///< answers have large bodies
  bool keyless = false;       ///< callers need no tenant key, even when there are tenants
};

/// Routes in kBucketCount copy-on-write buckets: a copy costs one pointer per bucket whatever the number of routes, an
/// update only the buckets of the changed hosts.
class RouteIndex {
 public:
  /// Replaces the index by all routes of a slice.
  void build(const table::Table& slice);

  /// Rebuilds the routes of the given hosts from a slice.
  void update(const table::Table& slice, const std::set<std::string>& hosts);

  /// @return the matching route with the longest prefix, preferring an exact method to a wildcard; null when none
  /// matches.
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

  std::array<std::shared_ptr<const Bucket>, kBucketCount> buckets_;  // null for an empty bucket
};

}  // namespace driftlug::routing
