#include "table/row.h"

#include <xxhash.h>

#include "wire/frame.h"

namespace driftlug::table {
namespace {

struct KindName {
  RowKind::type kind;
  std::string_view name;
};

constexpr KindName kKindNames[] = {
    {RowKind::SERVICE, "service"},
    {RowKind::ENDPOINT, "endpoint"},
    {RowKind::ROUTE, "route"},
    {RowKind::LIMIT, "limit"},
    {RowKind::RETRY_POLICY, "retry_policy"},
    {RowKind::SECRET, "secret"},
    {RowKind::INGRESS, "ingress"},
    {RowKind::NOTE, "note"},
    {RowKind::ROLLOUT, "rollout"},
    {RowKind::TENANT, "tenant"},
    {RowKind::EVACUATION, "evacuation"},
};

RowHash hashRow(const Row& row) {
  const auto bytes = wire::encodeStruct(row);
  const auto hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.low64, hash.high64};
}

}  // namespace

StoredRow::StoredRow(Row row) : Row(std::move(row)), hash_(hashRow(*this)) {}

StoredRow::StoredRow(const Row& row, int64_t ofRevision) : Row(row) {
  revision = ofRevision;
  hash_ = hashRow(*this);
}

RowPtr storeRow(const Row& row, int64_t revision) { return std::make_shared<const StoredRow>(row, revision); }

RowPtr storeRow(Row row) { return std::make_shared<const StoredRow>(std::move(row)); }

std::string_view kindName(RowKind::type kind) {
  for (const auto& entry : kKindNames) {
    if (entry.kind == kind) return entry.name;
  }
  return "unknown";
}

RowKind::type kindFromName(std::string_view name) {
  for (const auto& entry : kKindNames) {
    if (entry.name == name) return entry.kind;
  }
  return static_cast<RowKind::type>(0);
}

RowKey makeKey(RowKind::type kind, std::string name) {
  RowKey key;
  key.kind = kind;
  key.name = std::move(name);
  return key;
}

std::string keyText(const RowKey& key) { return std::string(kindName(key.kind)) + "/" + key.name; }

bool bodyMatchesKind(const Row& row) {
  const auto& set = row.__isset;
  const int bodies = set.serviceRow + set.endpointRow + set.routeRow + set.limitRow + set.retryPolicyRow +
                     set.secretRow + set.ingressRow + set.noteRow + set.rolloutRow + set.tenantRow + set.evacuationRow;
  if (row.deleted) return bodies == 0;
  if (bodies != 1) return false;
  switch (row.key.kind) {
    case RowKind::SERVICE:
      return set.serviceRow;
    case RowKind::ENDPOINT:
      return set.endpointRow;
    case RowKind::ROUTE:
      return set.routeRow;
    case RowKind::LIMIT:
      return set.limitRow;
    case RowKind::RETRY_POLICY:
      return set.retryPolicyRow;
    case RowKind::SECRET:
      return set.secretRow;
    case RowKind::INGRESS:
      return set.ingressRow;
    case RowKind::NOTE:
      return set.noteRow;
    case RowKind::ROLLOUT:
      return set.rolloutRow;
    case RowKind::TENANT:
      return set.tenantRow;
    case RowKind::EVACUATION:
      return set.evacuationRow;
  }
  return false;
}

void DigestSum::add(const StoredRow& row) {
  low_ += row.hash().low;
  high_ += row.hash().high;
}

void DigestSum::remove(const StoredRow& row) {
  low_ -= row.hash().low;
  high_ -= row.hash().high;
}

Digest DigestSum::value() const {
  Digest digest;
  digest.low = static_cast<int64_t>(low_);
  digest.high = static_cast<int64_t>(high_);
  return digest;
}

}  // namespace driftlug::table
