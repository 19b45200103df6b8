#include "table/slice_selection.h"

#include <algorithm>
#include <utility>

namespace driftlug::table {
namespace {

/// Wildcard in Interest::hosts that selects all hosts.
constexpr char kEveryHost[] = "*";

/// @return whether rows of this kind are sent to all nodes, whatever routes they serve.
bool isGlobalKind(RowKind::type kind) {
  return kind == RowKind::INGRESS || kind == RowKind::TENANT || kind == RowKind::EVACUATION;
}

bool hasName(const std::vector<std::string>& sorted, const std::string& name) {
  return std::binary_search(sorted.begin(), sorted.end(), name);
}

}  // namespace

Interest Interest::allHosts() { return {{kEveryHost}, {}}; }

bool Interest::includesAllHosts() const { return hasName(hosts, kEveryHost); }

void SliceSelection::Counts::remove(const std::string& name) {
  const auto found = counts_.find(name);
  if (--found->second == 0) counts_.erase(found);
}

bool SliceSelection::matchesInterest(const StoredRow& row) const {
  return interest_.includesAllHosts() || hasName(interest_.hosts, row.routeRow.host);
}

bool SliceSelection::selects(const StoredRow& row) const {
  switch (row.key.kind) {
    case RowKind::ROUTE:
      return matchesInterest(row);
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
      return isGlobalKind(row.key.kind);
  }
}

void SliceSelection::markAffected(RowKey key) {
  if (collectAffected_) affectedKeys_.insert(std::move(key));
}

void SliceSelection::rebuild(const Table& table) {
  *this = SliceSelection(std::move(interest_));
  collectAffected_ = false;
  for (const auto& [key, row] : table.rows()) {
    if (key.kind == RowKind::SERVICE) pendingServices_.insert(key.name);
    if (key.kind == RowKind::ROUTE) applyRoute(*row, true);
  }
  for (const auto& name : std::exchange(pendingServices_, {})) updateService(table, name);
  collectAffected_ = true;
}

KeySet SliceSelection::apply(const Table& table, const ChangedRows& rows) {
  for (size_t i = 0; i < rows.changed.size(); ++i) {
    const auto& row = *rows.changed[i];
    markAffected(row.key);
    if (row.key.kind == RowKind::SERVICE) pendingServices_.insert(row.key.name);
    if (row.key.kind != RowKind::ROUTE) continue;
    const auto& previous = rows.previous[i];
    if (previous && !previous->deleted) applyRoute(*previous, false);
    if (!row.deleted) applyRoute(row, true);
  }
  for (const auto& name : std::exchange(pendingServices_, {})) updateService(table, name);
  return std::exchange(affectedKeys_, {});
}

void SliceSelection::applyRoute(const StoredRow& route, bool added) {
  if (!matchesInterest(route)) return;
  const auto count = [&](Counts* counts, const std::string& name) { added ? counts->add(name) : counts->remove(name); };
  const auto countService = [&](const std::string& service) {
    const bool before = routedServices_.has(service);
    count(&routedServices_, service);
    if (routedServices_.has(service) != before) pendingServices_.insert(service);
  };
  for (const auto& share : route.routeRow.shares) countService(share.serviceName);
  for (const auto& service : route.routeRow.requiredServices) countService(service);
  for (const auto& secret : route.routeRow.requiredSecrets) {
    count(&secrets_, secret);
    markAffected(makeKey(RowKind::SECRET, secret));
  }
}

/// Updates the selection of a service and its rows after a change of its row or of the references to it.
void SliceSelection::updateService(const Table& table, const std::string& name) {
  const bool routed = routedServices_.has(name);
  const bool selected = routed || interest_.includesAllHosts() || hasName(interest_.services, name);
  const auto row = selected ? table.find(makeKey(RowKind::SERVICE, name)) : nullptr;
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
    for (const auto* endpoint : table.endpointsOf(name)) markAffected(endpoint->key);
  }
  if ((before.row == nullptr) == (row == nullptr)) return;
  markAffected(makeKey(RowKind::SERVICE, name));
  markAffected(makeKey(RowKind::ROLLOUT, name));
  for (const auto* limit : table.limitsOf(name)) markAffected(limit->key);
}

void SliceSelection::countReferences(const StoredRow& service, bool added) {
  const auto count = [&](RowKind::type kind, Counts* counts, const std::string& name) {
    added ? counts->add(name) : counts->remove(name);
    markAffected(makeKey(kind, name));
  };
  const auto& policy = service.serviceRow.retryPolicy;
  if (!policy.empty()) count(RowKind::RETRY_POLICY, &policies_, policy);
  for (const auto& secret : service.serviceRow.secrets) count(RowKind::SECRET, &secrets_, secret);
}

}  // namespace driftlug::table
