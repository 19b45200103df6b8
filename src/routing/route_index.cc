#include "routing/route_index.h"

#include <algorithm>
#include <functional>
#include <map>

namespace driftlug::routing {
namespace {

/// @return whether a path starts with a prefix that ends at a segment boundary.
bool prefixMatches(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix) return false;
  return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

Route makeRoute(const table::Row& row) {
  Route route;
  route.name = row.key.name;
  route.host = row.routeRow.host;
  route.pathPrefix = row.routeRow.pathPrefix;
  route.method = row.routeRow.method;
  route.shares.reserve(row.routeRow.shares.size());
  for (const auto& share : row.routeRow.shares) route.shares.push_back({share.serviceName, share.weight});
  route.repeatable = row.routeRow.repeatable;
  route.timeoutMs = row.routeRow.timeoutMs;
  route.maxAttempts = row.routeRow.maxAttempts;
  route.targetLatencyMs = row.routeRow.targetLatencyMs;
  route.priority = row.routeRow.priority;
  route.largeAnswers = row.routeRow.largeAnswers;
  route.keyless = row.routeRow.keyless;
  return route;
}

bool hasPrecedence(const Route& left, const Route& right) {
  if (left.pathPrefix.size() != right.pathPrefix.size()) return left.pathPrefix.size() > right.pathPrefix.size();
  if (left.method.empty() != right.method.empty()) return !left.method.empty();
  return left.name < right.name;
}

template <typename Bucket>
auto lowerBoundHost(Bucket& bucket, std::string_view host) {
  return std::lower_bound(bucket.begin(), bucket.end(), host,
                          [](const auto& item, std::string_view name) { return item.name < name; });
}

}  // namespace

size_t RouteIndex::bucketOf(std::string_view host) { return std::hash<std::string_view>()(host) % kBucketCount; }

std::shared_ptr<const RouteIndex::Routes> RouteIndex::buildRoutes(const table::Table& slice, std::string_view host) {
  const auto rows = slice.routesOf(host);
  if (rows.empty()) return nullptr;
  auto routes = std::make_shared<Routes>();
  for (const auto* row : rows) routes->push_back(makeRoute(*row));
  std::sort(routes->begin(), routes->end(), hasPrecedence);
  return routes;
}

void RouteIndex::build(const table::Table& slice) {
  std::set<std::string> hosts;
  for (const auto& [key, row] : slice.rows()) {
    if (key.kind == table::RowKind::ROUTE) hosts.insert(row->routeRow.host);
  }
  buckets_ = {};
  update(slice, hosts);
}

void RouteIndex::update(const table::Table& slice, const std::set<std::string>& hosts) {
  std::map<size_t, std::vector<std::string_view>> touched;
  for (const auto& host : hosts) touched[bucketOf(host)].push_back(host);
  for (const auto& [position, names] : touched) {
    auto bucket = buckets_[position] ? std::make_shared<Bucket>(*buckets_[position]) : std::make_shared<Bucket>();
    for (const auto name : names) {
      auto routes = buildRoutes(slice, name);
      const auto entry = lowerBoundHost(*bucket, name);
      const bool known = entry != bucket->end() && entry->name == name;
      if (known && routes) {
        entry->routes = std::move(routes);
      } else if (known) {
        bucket->erase(entry);
      } else if (routes) {
        bucket->insert(entry, {std::string(name), std::move(routes)});
      }
    }
    buckets_[position] = bucket->empty() ? nullptr : std::move(bucket);
  }
}

const Route* RouteIndex::match(std::string_view host, std::string_view path, std::string_view method) const {
  const auto& bucket = buckets_[bucketOf(host)];
  if (!bucket) return nullptr;
  const auto entry = lowerBoundHost(*bucket, host);
  if (entry == bucket->end() || entry->name != host) return nullptr;
  for (const auto& route : *entry->routes) {
    const bool methodMatches = route.method.empty() || route.method == method;
    if (methodMatches && prefixMatches(route.pathPrefix, path)) return &route;
  }
  return nullptr;
}

}  // namespace driftlug::routing
