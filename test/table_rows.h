/// Rows for tests.
#pragma once

#include <map>
#include <string>

#include "table/table.h"

namespace driftlug::test {

inline wire::Row makeRow(table::RowKind::type kind, const std::string& name, int64_t revision) {
  wire::Row row;
  row.key = table::makeKey(kind, name);
  row.revision = revision;
  return row;
}

inline table::RowPtr serviceRow(const std::string& name, int64_t revision, std::vector<std::string> secrets = {}) {
  auto row = makeRow(table::RowKind::SERVICE, name, revision);
  row.__isset.serviceRow = true;
  row.serviceRow.secrets = std::move(secrets);
  return table::storeRow(std::move(row));
}

inline table::RowPtr secretRow(const std::string& name, int64_t revision) {
  auto row = makeRow(table::RowKind::SECRET, name, revision);
  row.__isset.secretRow = true;
  row.secretRow.value = "value of " + name;
  return table::storeRow(std::move(row));
}

inline table::RowPtr endpointRow(const std::string& name, const std::string& service, int64_t revision,
                                 int weight = 100) {
  auto row = makeRow(table::RowKind::ENDPOINT, name, revision);
  row.__isset.endpointRow = true;
  row.endpointRow.serviceName = service;
  row.endpointRow.address = "10.0.0.1";
  row.endpointRow.port = 80;
  row.endpointRow.zone = "a";
  row.endpointRow.weight = weight;
  return table::storeRow(std::move(row));
}

inline table::RowPtr limitRow(const std::string& name, const std::string& service, int64_t revision,
                              int maxConcurrent = 10) {
  auto row = makeRow(table::RowKind::LIMIT, name, revision);
  row.__isset.limitRow = true;
  row.limitRow.serviceName = service;
  row.limitRow.maxConcurrent = maxConcurrent;
  row.limitRow.maxQueued = 5;
  return table::storeRow(std::move(row));
}

inline table::RowPtr routeRow(const std::string& name, const std::string& host, const std::string& prefix,
                              const std::map<std::string, int>& shares, int64_t revision,
                              const std::string& method = "") {
  auto row = makeRow(table::RowKind::ROUTE, name, revision);
  row.__isset.routeRow = true;
  row.routeRow.host = host;
  row.routeRow.pathPrefix = prefix;
  row.routeRow.method = method;
  row.routeRow.timeoutMs = 1000;
  for (const auto& [service, weight] : shares) {
    wire::WeightedService share;
    share.serviceName = service;
    share.weight = weight;
    row.routeRow.shares.push_back(share);
  }
  return table::storeRow(std::move(row));
}

inline table::RowPtr deletedRow(table::RowKind::type kind, const std::string& name, int64_t revision) {
  auto row = makeRow(kind, name, revision);
  row.deleted = true;
  return table::storeRow(std::move(row));
}

}  // namespace driftlug::test
