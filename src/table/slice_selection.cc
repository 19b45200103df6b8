#include "table/slice_selection.h"

#include <algorithm>
#include <utility>

namespace driftlug::table {
namespace {

/// Stands among the hosts of an interest for every host.
constexpr char kEveryHost[] = "*";

/// Rows that concern every node, whatever routes it serves.
bool isForAll(RowKind::type kind) {
  return kind == RowKind::INGRESS || kind == RowKind::TENANT || kind == RowKind::EVACUATION;
}

bool hasName(const std::vector<std::string>& sorted, const std::string& name) {
  return std::binary_search(sorted.begin(), sorted.end(), name);
}

}  // namespace

Interest Interest::inEveryHost() { return {{kEveryHost}, {}}; }

bool Interest::everyHost() const { return hasName(hosts, kEveryHost); }

void SliceSelection::Counts::remove(const std::string& name) {
  const auto found = counts_.find(name);
  if (--found->second == 0) counts_.erase(found);
}

bool SliceSelection::wantsRoute(const StoredRow& row) const {
  return interest_.everyHost() || hasName(interest_.hosts, row.routeRow.host);
}

bool SliceSelection::selects(const StoredRow& row) const {
  switch (row.key.kind) {
    case RowKind::ROUTE:
      return wantsRoute(row);
    case RowKind::SERVICE:
    case RowKind::ROLLOUT:
      return services_.count(row.key.name) > 0;
    case RowKind::LIMIT:
      return services_.count(row.limitRow.serviceName) > 0;
    case RowKind::ENDPOINT: {
      const auto service = services_.find(row.endpointRow.serviceName);
      return service != services_.end() && service->second.routed;
    }
    case RowKind::RETRY_POLICY:
      return policies_.has(row.key.name);
    case RowKind::SECRET:
      return secrets_.has(row.key.name);
    default:
      return isForAll(row.key.kind);
  }
}

void SliceSelection::touch(RowKey key) {
  if (collecting_) touched_.insert(std::move(key));
}

void SliceSelection::begin(const Table& table) {
  *this = SliceSelection(std::move(interest_));
  collecting_ = false;
  for (const auto& [key, row] : table.rows()) {
    if (key.kind == RowKind::SERVICE) unsettled_.insert(key.name);
    if (key.kind == RowKind::ROUTE) takeRoute(*row, true);
  }
  for (const auto& name : std::exchange(unsettled_, {})) settleService(table, name);
  collecting_ = true;
}

KeySet SliceSelection::take(const Table& table, const ChangedRows& rows) {
  for (size_t i = 0; i < rows.changed.size(); ++i) {
    const auto& row = *rows.changed[i];
    touch(row.key);
    if (row.key.kind == RowKind::SERVICE) unsettled_.insert(row.key.name);
    if (row.key.kind != RowKind::ROUTE) continue;
    const auto& previous = rows.previous[i];
    if (previous && !previous->deleted) takeRoute(*previous, false);
    if (!row.deleted) takeRoute(row, true);
  }
  for (const auto& name : std::exchange(unsettled_, {})) settleService(table, name);
  return std::exchange(touched_, {});
}

void SliceSelection::takeRoute(const StoredRow& route, bool added) {
  if (!wantsRoute(route)) return;
  const auto count = [&](Counts* counts, const std::string& name) { added ? counts->add(name) : counts->remove(name); };
  const auto reach = [&](const std::string& service) {
    const bool before = routedServices_.has(service);
    count(&routedServices_, service);
    if (routedServices_.has(service) != before) unsettled_.insert(service);
  };
  for (const auto& share : route.routeRow.shares) reach(share.serviceName);
  for (const auto& service : route.routeRow.requiredServices) reach(service);
  for (const auto& secret : route.routeRow.requiredSecrets) {
    count(&secrets_, secret);
    touch(makeKey(RowKind::SECRET, secret));
  }
}

/// Selects the rows of a service, or no longer, after its row or what needs it has changed.
void SliceSelection::settleService(const Table& table, const std::string& name) {
  const bool routed = routedServices_.has(name);
  const bool wanted = routed || interest_.everyHost() || hasName(interest_.services, name);
  const auto row = wanted ? table.find(makeKey(RowKind::SERVICE, name)) : nullptr;
  const auto found = services_.find(name);
  const Service before = found == services_.end() ? Service{} : found->second;
  if (before.row) countReferences(*before.row, false);
  if (row) countReferences(*row, true);
  if (row) {
    services_[name] = {row, routed};
  } else if (before.row) {
    services_.erase(name);
  }
  const bool wasRouted = before.row && before.routed;
  const bool isRouted = row && routed;
  if (wasRouted != isRouted) {
    for (const auto* endpoint : table.endpointsOf(name)) touch(endpoint->key);
  }
  if ((before.row == nullptr) == (row == nullptr)) return;
  touch(makeKey(RowKind::SERVICE, name));
  touch(makeKey(RowKind::ROLLOUT, name));
  for (const auto* limit : table.limitsOf(name)) touch(limit->key);
}

void SliceSelection::countReferences(const StoredRow& service, bool added) {
  const auto count = [&](RowKind::type kind, Counts* counts, const std::string& name) {
    added ? counts->add(name) : counts->remove(name);
    touch(makeKey(kind, name));
  };
  const auto& policy = service.serviceRow.retryPolicy;
  if (!policy.empty()) count(RowKind::RETRY_POLICY, &policies_, policy);
  for (const auto& secret : service.serviceRow.secrets) count(RowKind::SECRET, &secrets_, secret);
}

}  // namespace driftlug::table
