#include "routing/routing_table.h"

#include <algorithm>

namespace driftlug::routing {
namespace {

/// Calls `visit` with each row of a kind.
template <typename Visit>
void visitRows(const table::Table& slice, table::RowKind::type kind, Visit visit) {
  const auto& rows = slice.rows();
  for (auto row = rows.lower_bound(table::makeKey(kind, "")); row != rows.end() && row->first.kind == kind; ++row) {
    visit(row->first.name, *row->second);
  }
}

}  // namespace

RoutingTable::RoutingTable(const table::Table& slice, int64_t revision)
    : revision_(revision), services_(buildServices(slice)), tenants_(buildTenants(slice)) {
  routes_.build(slice);
}

RoutingTable::RoutingTable(const RoutingTable& previousVersion, const table::Table& slice, int64_t revision,
                           const table::ChangedRows& rows)
    : revision_(revision),
      routes_(previousVersion.routes_),
      services_(previousVersion.services_),
      tenants_(previousVersion.tenants_) {
  std::set<std::string> hosts;
  bool servicesDiffer = false;
  bool tenantsDiffer = false;
  for (size_t i = 0; i < rows.changed.size(); ++i) {
    const auto& row = *rows.changed[i];
    const auto& previous = rows.previous[i];
    const auto kind = row.key.kind;
    servicesDiffer = servicesDiffer || (kind != table::RowKind::ROUTE && kind != table::RowKind::TENANT);
    tenantsDiffer = tenantsDiffer || kind == table::RowKind::TENANT;
    if (row.__isset.routeRow) hosts.insert(row.routeRow.host);
    if (previous && previous->__isset.routeRow) hosts.insert(previous->routeRow.host);
  }
  routes_.update(slice, hosts);
  if (servicesDiffer) services_ = buildServices(slice);
  if (tenantsDiffer) tenants_ = buildTenants(slice);
}

std::shared_ptr<const tenants::tenant_directory> RoutingTable::buildTenants(const table::Table& slice) {
  auto tenants = std::make_shared<tenants::tenant_directory>();
  visitRows(slice, table::RowKind::TENANT,
            [&](const std::string& name, const table::Row& row) { tenants->add(name, row.tenantRow); });
  return tenants;
}

std::shared_ptr<const RoutingTable::Services> RoutingTable::buildServices(const table::Table& slice) {
  auto services = std::make_shared<Services>();
  const auto visit = [&](table::RowKind::type kind, auto take) { visitRows(slice, kind, take); };
  visit(table::RowKind::SERVICE, [&](const std::string& name, const table::Row& row) {
    const auto& service = row.serviceRow;
    services->maxConnections[name] = service.maxConnections;
    if (service.__isset.coldPerS) services->coldPerS[name] = service.coldPerS;
    if (service.retryPolicy.empty()) return;
    const auto policy = slice.find(table::makeKey(table::RowKind::RETRY_POLICY, service.retryPolicy));
    if (!policy) return;
    services->retryRules[name] = {policy->retryPolicyRow.maxAttempts, policy->retryPolicyRow.budgetPercent};
  });
  visit(table::RowKind::ENDPOINT, [&](const std::string& name, const table::Row& row) {
    const auto& endpoint = row.endpointRow;
    services->endpoints[endpoint.serviceName].push_back(
        {name, endpoint.address, endpoint.port, endpoint.zone, endpoint.weight, 0, {}});
  });
  visit(table::RowKind::LIMIT, [&](const std::string& /*name*/, const table::Row& row) {
    services->limits[row.limitRow.serviceName] = {row.limitRow.maxConcurrent, row.limitRow.maxQueued};
  });
  visit(table::RowKind::INGRESS, [&](const std::string& /*name*/, const table::Row& row) {
    const auto& ingress = row.ingressRow;
    services->ingress = {ingress.maxHeadBytes, ingress.maxBodyBytes, ingress.headTimeoutMs, ingress.idleTimeoutMs};
  });
  visit(table::RowKind::ROLLOUT, [&](const std::string& name, const table::Row& row) {
    services->versions[name] = rollout::policyOf(row.rolloutRow);
  });
  visit(table::RowKind::EVACUATION,
        [&](const std::string& name, const table::Row& /*row*/) { services->evacuated.insert(name); });
  return services;
}

const std::vector<EndpointTarget>& RoutingTable::endpoints(const std::string& service) const {
  static const std::vector<EndpointTarget> none;
  const auto found = services_->endpoints.find(service);
  return found == services_->endpoints.end() ? none : found->second;
}

const ServiceLimit* RoutingTable::limit(const std::string& service) const {
  const auto found = services_->limits.find(service);
  return found == services_->limits.end() ? nullptr : &found->second;
}

std::optional<RetryRule> RoutingTable::retryRule(const std::string& service) const {
  const auto found = services_->retryRules.find(service);
  if (found == services_->retryRules.end()) return std::nullopt;
  return found->second;
}

const rollout::version_policy* RoutingTable::versions(const std::string& service) const {
  const auto found = services_->versions.find(service);
  return found == services_->versions.end() ? nullptr : &found->second;
}

double RoutingTable::coldPerS(const std::string& service) const {
  const auto found = services_->coldPerS.find(service);
  return found == services_->coldPerS.end() ? 0 : found->second;
}

int RoutingTable::maxConnections(const std::string& service) const {
  const auto found = services_->maxConnections.find(service);
  return found == services_->maxConnections.end() ? 0 : found->second;
}

}  // namespace driftlug::routing
