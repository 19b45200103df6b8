#include "routing/routing_table.h"

#include <algorithm>

namespace driftlug::routing {
namespace {

/// @return whether a path lies under a prefix, at a segment border.
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
  for (const auto& share : row.routeRow.shares) route.shares.push_back({share.serviceName, share.weight});
  route.repeatable = row.routeRow.repeatable;
  route.timeoutMs = row.routeRow.timeoutMs;
  route.maxAttempts = row.routeRow.maxAttempts;
  route.targetLatencyMs = row.routeRow.targetLatencyMs;
  route.priority = row.routeRow.priority;
  route.keyless = row.routeRow.keyless;
  return route;
}

bool comesFirst(const Route& left, const Route& right) {
  if (left.pathPrefix.size() != right.pathPrefix.size()) return left.pathPrefix.size() > right.pathPrefix.size();
  if (left.method.empty() != right.method.empty()) return !left.method.empty();
  return left.name < right.name;
}

}  // namespace

RoutingTable::RoutingTable(const table::Table& slice, int64_t revision) : revision_(revision) {
  for (const auto& [key, row] : slice.rows()) {
    if (row->__isset.routeRow) routesByHost_[row->routeRow.host].push_back(makeRoute(*row));
    if (row->__isset.endpointRow) {
      const auto& endpoint = row->endpointRow;
      endpointsByService_[endpoint.serviceName].push_back(
          {key.name, endpoint.address, endpoint.port, endpoint.zone, endpoint.weight, 0, {}});
    }
    if (row->__isset.limitRow) {
      limits_[row->limitRow.serviceName] = {row->limitRow.maxConcurrent, row->limitRow.maxQueued};
    }
    if (row->__isset.ingressRow) {
      const auto& ingress = row->ingressRow;
      ingress_ = {ingress.maxHeadBytes, ingress.maxBodyBytes, ingress.headTimeoutMs, ingress.idleTimeoutMs};
    }
    if (row->__isset.tenantRow) tenants_.add(key.name, row->tenantRow);
    if (row->__isset.evacuationRow) evacuated_.insert(key.name);
    if (row->__isset.serviceRow && row->serviceRow.__isset.coldPerS) coldPerS_[key.name] = row->serviceRow.coldPerS;
    if (row->__isset.rolloutRow) versions_[key.name] = rollout::policyOf(row->rolloutRow);
    if (row->__isset.serviceRow) maxConnections_[key.name] = row->serviceRow.maxConnections;
    if (!row->__isset.serviceRow || row->serviceRow.retryPolicy.empty()) continue;
    const auto policy = slice.find(table::makeKey(table::RowKind::RETRY_POLICY, row->serviceRow.retryPolicy));
    if (policy) retryRules_[key.name] = {policy->retryPolicyRow.maxAttempts, policy->retryPolicyRow.budgetPercent};
  }
  for (auto& [host, routes] : routesByHost_) std::sort(routes.begin(), routes.end(), comesFirst);
}

const Route* RoutingTable::match(std::string_view host, std::string_view path, std::string_view method) const {
  const auto routes = routesByHost_.find(host);
  if (routes == routesByHost_.end()) return nullptr;
  for (const auto& route : routes->second) {
    const bool methodMatches = route.method.empty() || route.method == method;
    if (methodMatches && prefixMatches(route.pathPrefix, path)) return &route;
  }
  return nullptr;
}

const std::vector<EndpointTarget>& RoutingTable::endpoints(const std::string& service) const {
  static const std::vector<EndpointTarget> none;
  const auto found = endpointsByService_.find(service);
  return found == endpointsByService_.end() ? none : found->second;
}

const ServiceLimit* RoutingTable::limit(const std::string& service) const {
  const auto found = limits_.find(service);
  return found == limits_.end() ? nullptr : &found->second;
}

std::optional<RetryRule> RoutingTable::retryRule(const std::string& service) const {
  const auto found = retryRules_.find(service);
  if (found == retryRules_.end()) return std::nullopt;
  return found->second;
}

const rollout::version_policy* RoutingTable::versions(const std::string& service) const {
  const auto found = versions_.find(service);
  return found == versions_.end() ? nullptr : &found->second;
}

double RoutingTable::coldPerS(const std::string& service) const {
  const auto found = coldPerS_.find(service);
  return found == coldPerS_.end() ? 0 : found->second;
}

int RoutingTable::maxConnections(const std::string& service) const {
  const auto found = maxConnections_.find(service);
  return found == maxConnections_.end() ? 0 : found->second;
}

}  // namespace driftlug::routing
