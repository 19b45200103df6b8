/// The synthetic mesh of scale runs: which node runs beside which service, in which zone, and what it calls.
#pragma once

#include <string>
#include <vector>

#include "table/row.h"

namespace driftlug::tools {

/// Sizes. Services are spread evenly over nodes, and the nodes of a service over zones.
struct ScaleShape {
  int nodes = 1000;
  int services = 67;  ///< the letter has 14,000 nodes in 940 services
  int regions = 10;
  int zones = 21;
  int controllers = 5;
  int relaysPerZone = 2;
  int dependenciesPerService = 5;  ///< other services that the nodes of a service call
};

/// Nodes of one service at the letter's size.
constexpr int kNodesPerService = 15;

/// @return a shape with the letter's proportions.
ScaleShape shapeFor(int nodes);

/// One node of the mesh.
struct ScaleNode {
  std::string name;
  std::string zone;
  std::string service;
  std::vector<std::string> hosts;  ///< hosts whose calls it takes; sorted
};

std::string zoneName(const ScaleShape& shape, int zone);
std::string regionName(const ScaleShape& shape, int zone);
std::string serviceName(int service);

/// @return the zone of a node as a number.
int zoneOfNode(const ScaleShape& shape, int node);

/// @return a node by its position.
ScaleNode nodeAt(const ScaleShape& shape, int node);

/// @return the rows of the mesh: services, secrets, limits, routes and endpoints.
/// @param address where the endpoints listen, as an IP number
std::vector<wire::Row> scaleRows(const ScaleShape& shape, const std::string& address);

/// @return relays of a zone's release group as positions: its own, then one of each of the next two zones.
std::vector<int> scaleGroup(const ScaleShape& shape, int zone);

/// @return the limit row of a service, with a bound that differs by step.
wire::Row limitRow(int service, int step);

}  // namespace driftlug::tools
