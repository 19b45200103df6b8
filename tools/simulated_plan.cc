#include "simulated_plan.h"

#include <algorithm>

#include "table/row_json.h"

namespace driftlug::tools {
namespace {

using simulation::ClusterPlan;
using simulation::Placement;
using table::RowKind;

constexpr char kRegion[] = "region";
constexpr int kStandardWeight = 100;

wire::Mutation created(wire::Row row) {
  wire::Mutation mutation;
  mutation.row = std::move(row);
  return mutation;
}

wire::Row endpointRow(const std::string& name, const std::string& service, int position, const std::string& zone) {
  wire::Row row;
  row.key = table::makeKey(RowKind::ENDPOINT, name);
  row.__isset.endpointRow = true;
  row.endpointRow.serviceName = service;
  row.endpointRow.address = "10.0.0.1";
  row.endpointRow.port = position + 1;
  row.endpointRow.zone = zone;
  row.endpointRow.weight = kStandardWeight;
  return row;
}

}  // namespace

ClusterPlan planOf(const Deployment& deployment) {
  ClusterPlan plan;
  plan.network.betweenZones = base::microseconds(deployment.zoneDelayUs);
  const auto zoneAt = [&](int position) {
    return Placement{deployment.zones[static_cast<size_t>(position) % deployment.zones.size()], kRegion};
  };
  for (int i = 0; i < deployment.controllers; ++i) {
    plan.controllers.push_back({"controller-" + std::to_string(i + 1), zoneAt(i)});
  }
  const int zones = static_cast<int>(deployment.zones.size());
  for (int i = 0; i < zones * deployment.relaysPerZone; ++i) {
    plan.relays.push_back({"relay-" + std::to_string(i + 1), zoneAt(i / deployment.relaysPerZone)});
  }
  for (int zone = 0; zone < zones; ++zone) {
    relay::ReleaseGroup group{deployment.zones[static_cast<size_t>(zone)], {}};
    for (const int member : releaseGroupOf(deployment, zone)) {
      group.members.push_back(plan.relays[static_cast<size_t>(member)].name);
    }
    plan.groups.push_back(group);
  }
  for (const auto& edit : tableEdits(deployment)) {
    const auto key = table::makeKey(table::kindFromName(edit["kind"].get<std::string>()), edit["name"]);
    auto row = table::rowFromJson(key, edit["row"]);
    if (row.ok()) plan.table.push_back(created(*row));
  }
  int position = 0;
  for (const auto& service : deployment.services) {
    for (int i = 0; i < service.upstreams; ++i) {
      simulation::PlannedNode node;
      node.name = service.name + "-" + std::to_string(i + 1);
      node.placement = zoneAt(i);
      node.services = {service.name};
      node.hasDisk = i % 2 == 0;
      plan.table.push_back(created(endpointRow(node.name, service.name, position++, node.placement.zone)));
      plan.nodes.push_back(node);
    }
  }
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < deployment.entriesPerZone; ++i) {
      simulation::PlannedNode node;
      node.name = "entry-" + std::to_string(zone + 1) + "-" + std::to_string(i + 1);
      node.placement = zoneAt(zone);
      node.hosts = {deployment.host};
      plan.nodes.push_back(node);
    }
  }
  return plan;
}

ClusterPlan scalePlan(const ScaleShape& shape) {
  ClusterPlan plan;
  plan.check = false;
  plan.network.hashFrames = false;
  plan.network.betweenZones = base::microseconds(1000);
  plan.network.betweenRegions = base::milliseconds(40);
  const auto zoneAt = [&](int position) {
    const int zone = position % shape.zones;
    return Placement{"zone-" + std::to_string(zone + 1), "region-" + std::to_string(zone % shape.regions + 1)};
  };
  for (int i = 0; i < shape.controllers; ++i) {
    plan.controllers.push_back({"controller-" + std::to_string(i + 1), zoneAt(i)});
  }
  for (int zone = 0; zone < shape.zones; ++zone) {
    for (int i = 0; i < 2; ++i) {
      plan.relays.push_back({"relay-" + std::to_string(zone * 2 + i + 1), zoneAt(zone)});
    }
  }
  for (int zone = 0; zone < shape.zones; ++zone) {
    relay::ReleaseGroup group{zoneAt(zone).zone, {}};
    group.members = {plan.relays[static_cast<size_t>(2 * zone)].name,
                     plan.relays[static_cast<size_t>(2 * zone + 1)].name};
    for (int next = 1; next <= std::min(2, shape.zones - 1); ++next) {
      const int other = (zone + next) % shape.zones;
      group.members.push_back(plan.relays[static_cast<size_t>(2 * other + next % 2)].name);
    }
    plan.groups.push_back(group);
  }
  wire::Row policy;
  policy.key = table::makeKey(RowKind::RETRY_POLICY, "standard");
  policy.__isset.retryPolicyRow = true;
  policy.retryPolicyRow.maxAttempts = 3;
  policy.retryPolicyRow.budgetPercent = 10;
  plan.table.push_back(created(policy));
  const auto serviceName = [](int service) { return "service-" + std::to_string(service + 1); };
  const auto hostOf = [&](int service) { return serviceName(service) + ".example"; };
  for (int service = 0; service < shape.services; ++service) {
    wire::Row secret;
    secret.key = table::makeKey(RowKind::SECRET, serviceName(service));
    secret.__isset.secretRow = true;
    secret.secretRow.value = std::string(32, 's');
    plan.table.push_back(created(secret));
    wire::Row row;
    row.key = table::makeKey(RowKind::SERVICE, serviceName(service));
    row.__isset.serviceRow = true;
    row.serviceRow.retryPolicy = "standard";
    row.serviceRow.secrets = {serviceName(service)};
    plan.table.push_back(created(row));
    wire::Row limit;
    limit.key = table::makeKey(RowKind::LIMIT, serviceName(service));
    limit.__isset.limitRow = true;
    limit.limitRow.serviceName = serviceName(service);
    limit.limitRow.maxConcurrent = 20;
    limit.limitRow.maxQueued = 80;
    plan.table.push_back(created(limit));
    wire::Row route;
    route.key = table::makeKey(RowKind::ROUTE, serviceName(service));
    route.__isset.routeRow = true;
    route.routeRow.host = hostOf(service);
    route.routeRow.pathPrefix = "/";
    wire::WeightedService share;
    share.serviceName = serviceName(service);
    share.weight = kStandardWeight;
    route.routeRow.shares = {share};
    route.routeRow.timeoutMs = 3000;
    plan.table.push_back(created(route));
  }
  for (int i = 0; i < shape.nodes; ++i) {
    const int service = i % shape.services;
    simulation::PlannedNode node;
    node.name = "node-" + std::to_string(i + 1);
    node.placement = zoneAt(i / shape.services + service);
    node.services = {serviceName(service)};
    // Nodes of one service call the same other services, so their slices are equal.
    for (int next = 1; next <= shape.dependenciesPerNode; ++next) {
      node.hosts.push_back(hostOf((service * 7 + next * 13) % shape.services));
    }
    std::sort(node.hosts.begin(), node.hosts.end());
    node.hosts.erase(std::unique(node.hosts.begin(), node.hosts.end()), node.hosts.end());
    plan.table.push_back(created(endpointRow(node.name, serviceName(service), i, node.placement.zone)));
    plan.nodes.push_back(node);
  }
  return plan;
}

}  // namespace driftlug::tools
