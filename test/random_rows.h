/// Random changes of tables for tests.
#pragma once

#include <string>
#include <vector>

#include "base/random.h"
#include "table_rows.h"

namespace driftlug::test {

/// Draws rows of all kinds and deletions, including references to missing rows.
class RandomRowGenerator {
 public:
  explicit RandomRowGenerator(uint64_t seed) : random_(seed) {}

  table::RowPtr next(int64_t revision) {
    switch (random_.below(10)) {
      case 0:
        return deletedRow(kinds_[random_.below(kinds_.size())], name(), revision);
      case 1:
        return secretRow(name(), revision);
      case 2:
        return endpointRow(name(), name(), revision);
      case 3:
        return limitRow(name(), name(), revision);
      case 4:
        return policy(revision);
      case 5:
        return service(revision);
      case 6:
        return tenant(revision);
      case 7:
        return evacuation(revision);
      default:
        return route(revision);
    }
  }

 private:
  std::string name() { return std::string(1, static_cast<char>('a' + random_.below(4))); }

  table::RowPtr policy(int64_t revision) {
    wire::Row row = makeRow(table::RowKind::RETRY_POLICY, name(), revision);
    row.__isset.retryPolicyRow = true;
    return table::storeRow(row);
  }

  table::RowPtr service(int64_t revision) {
    wire::Row row = *serviceRow(name(), revision, {name()});
    if (random_.chance(0.5)) row.serviceRow.retryPolicy = name();
    return table::storeRow(row);
  }

  table::RowPtr tenant(int64_t revision) {
    wire::Row row = makeRow(table::RowKind::TENANT, name(), revision);
    row.__isset.tenantRow = true;
    row.tenantRow.keys = {row.key.name};
    return table::storeRow(row);
  }

  table::RowPtr evacuation(int64_t revision) {
    wire::Row row = makeRow(table::RowKind::EVACUATION, name(), revision);
    row.__isset.evacuationRow = true;
    return table::storeRow(row);
  }

  table::RowPtr route(int64_t revision) {
    wire::Row row = *routeRow(name(), name(), "/", {{name(), 100}}, revision);
    if (random_.chance(0.3)) row.routeRow.requiredServices = {name()};
    if (random_.chance(0.3)) row.routeRow.requiredSecrets = {name()};
    return table::storeRow(row);
  }

  const std::vector<table::RowKind::type> kinds_ = {
      table::RowKind::ROUTE, table::RowKind::SERVICE, table::RowKind::ENDPOINT,   table::RowKind::SECRET,
      table::RowKind::LIMIT, table::RowKind::TENANT,  table::RowKind::EVACUATION, table::RowKind::RETRY_POLICY};
  base::RandomSource random_;
};

}  // namespace driftlug::test
