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

wire::Mutation creationOf(wire::Row row) {
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
    if (row.ok()) plan.table.push_back(creationOf(*row));
  }
  int position = 0;
  for (const auto& service : deployment.services) {
    for (int i = 0; i < service.upstreams; ++i) {
      simulation::PlannedNode node;
      node.name = service.name + "-" + std::to_string(i + 1);
      node.placement = zoneAt(i);
      node.services = {service.name};
      node.hasDisk = i % 2 == 0;
      plan.table.push_back(creationOf(endpointRow(node.name, service.name, position++, node.placement.zone)));
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

}  // namespace driftlug::tools
