#include "scale_shape.h"

#include <algorithm>

namespace driftlug::tools {
namespace {

using table::RowKind;

constexpr int kWeight = 100;
constexpr int kTimeoutMs = 3000;
constexpr int kSlots = 20;
constexpr int kQueue = 80;
constexpr size_t kSecretBytes = 32;
constexpr char kPolicy[] = "scale-standard";
// Primes that spread the services which a service calls.
constexpr int kStride = 7;
constexpr int kStep = 13;

std::string hostName(int service) { return serviceName(service) + ".example"; }

wire::Row policyRow() {
  wire::Row row;
  row.key = table::makeKey(RowKind::RETRY_POLICY, kPolicy);
  row.__isset.retryPolicyRow = true;
  row.retryPolicyRow.maxAttempts = 3;
  row.retryPolicyRow.budgetPercent = 10;
  return row;
}

wire::Row secretRow(int service) {
  wire::Row row;
  row.key = table::makeKey(RowKind::SECRET, serviceName(service));
  row.__isset.secretRow = true;
  row.secretRow.value = std::string(kSecretBytes, 's');
  return row;
}

wire::Row serviceRow(int service) {
  wire::Row row;
  row.key = table::makeKey(RowKind::SERVICE, serviceName(service));
  row.__isset.serviceRow = true;
  row.serviceRow.retryPolicy = kPolicy;
  row.serviceRow.secrets = {serviceName(service)};
  return row;
}

wire::Row routeRow(int service) {
  wire::Row row;
  row.key = table::makeKey(RowKind::ROUTE, serviceName(service));
  row.__isset.routeRow = true;
  row.routeRow.host = hostName(service);
  row.routeRow.pathPrefix = "/";
  wire::WeightedService share;
  share.serviceName = serviceName(service);
  share.weight = 100;
  row.routeRow.shares = {share};
  row.routeRow.timeoutMs = kTimeoutMs;
  return row;
}

wire::Row endpointRow(const ScaleNode& node, int position, const std::string& address) {
  wire::Row row;
  row.key = table::makeKey(RowKind::ENDPOINT, node.name);
  row.__isset.endpointRow = true;
  row.endpointRow.serviceName = node.service;
  row.endpointRow.address = address;
  row.endpointRow.port = position + 1;
  row.endpointRow.zone = node.zone;
  row.endpointRow.weight = kWeight;
  return row;
}

}  // namespace

ScaleShape shapeFor(int nodes) {
  ScaleShape shape;
  shape.nodes = nodes;
  shape.services = std::max(1, nodes / kNodesPerService);
  return shape;
}

std::string zoneName(const ScaleShape& shape, int zone) { return "zone-" + std::to_string(zone % shape.zones + 1); }

std::string regionName(const ScaleShape& shape, int zone) {
  return "region-" + std::to_string(zone % shape.zones % shape.regions + 1);
}

std::string serviceName(int service) { return "service-" + std::to_string(service + 1); }

int zoneOfNode(const ScaleShape& shape, int node) { return (node / shape.services + node) % shape.zones; }

ScaleNode nodeAt(const ScaleShape& shape, int node) {
  const int service = node % shape.services;
  ScaleNode out;
  out.name = "node-" + std::to_string(node + 1);
  out.zone = zoneName(shape, zoneOfNode(shape, node));
  out.service = serviceName(service);
  for (int next = 1; next <= shape.dependenciesPerService; ++next) {
    out.hosts.push_back(hostName((service * kStride + next * kStep) % shape.services));
  }
  std::sort(out.hosts.begin(), out.hosts.end());
  out.hosts.erase(std::unique(out.hosts.begin(), out.hosts.end()), out.hosts.end());
  return out;
}

wire::Row limitRow(int service, int step) {
  wire::Row row;
  row.key = table::makeKey(RowKind::LIMIT, serviceName(service));
  row.__isset.limitRow = true;
  row.limitRow.serviceName = serviceName(service);
  row.limitRow.maxConcurrent = kSlots;
  row.limitRow.maxQueued = kQueue + step;
  return row;
}

std::vector<wire::Row> scaleRows(const ScaleShape& shape, const std::string& address) {
  std::vector<wire::Row> rows = {policyRow()};
  for (int service = 0; service < shape.services; ++service) {
    for (const auto& row : {secretRow(service), serviceRow(service), limitRow(service, 0), routeRow(service)}) {
      rows.push_back(row);
    }
  }
  for (int node = 0; node < shape.nodes; ++node) rows.push_back(endpointRow(nodeAt(shape, node), node, address));
  return rows;
}

std::vector<int> scaleGroup(const ScaleShape& shape, int zone) {
  constexpr int kOtherZones = 2;
  std::vector<int> group;
  for (int i = 0; i < shape.relaysPerZone; ++i) group.push_back(zone * shape.relaysPerZone + i);
  for (int next = 1; next <= std::min(kOtherZones, shape.zones - 1); ++next) {
    const int other = (zone + next) % shape.zones;
    group.push_back(other * shape.relaysPerZone + next % shape.relaysPerZone);
  }
  return group;
}

}  // namespace driftlug::tools
