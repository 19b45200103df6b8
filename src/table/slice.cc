#include "table/slice.h"

#include <algorithm>

namespace driftlug::table {
namespace {

using KeySet = std::set<RowKey, RowKeyLess>;

void addService(const Table& table, const std::string& name, bool withEndpoints, KeySet* keys) {
  const auto row = table.find(makeKey(RowKind::SERVICE, name));
  if (!row) return;
  keys->insert(row->key);
  if (!row->serviceRow.retryPolicy.empty()) keys->insert(makeKey(RowKind::RETRY_POLICY, row->serviceRow.retryPolicy));
  for (const auto& secret : row->serviceRow.secrets) keys->insert(makeKey(RowKind::SECRET, secret));
  for (const auto* limit : table.limitsOf(name)) keys->insert(limit->key);
  keys->insert(makeKey(RowKind::ROLLOUT, name));
  if (!withEndpoints) return;
  for (const auto* endpoint : table.endpointsOf(name)) keys->insert(endpoint->key);
}

void addRoute(const Table& table, const std::string& name, KeySet* keys) {
  const auto row = table.find(makeKey(RowKind::ROUTE, name));
  if (!row) return;
  keys->insert(row->key);
  for (const auto& share : row->routeRow.shares) addService(table, share.serviceName, true, keys);
  for (const auto& service : row->routeRow.requiredServices) addService(table, service, true, keys);
  for (const auto& secret : row->routeRow.requiredSecrets) keys->insert(makeKey(RowKind::SECRET, secret));
}

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

std::set<RowKey, RowKeyLess> selectKeys(const Table& table, const Interest& interest) {
  KeySet keys;
  const bool everyHost = hasName(interest.hosts, kEveryHost);
  for (const auto& [key, row] : table.rows()) {
    if (isForAll(key.kind)) keys.insert(key);
    if (key.kind == RowKind::ROUTE && everyHost) addRoute(table, key.name, &keys);
  }
  for (const auto& host : interest.hosts) {
    for (const auto* route : table.routesOf(host)) addRoute(table, route->key.name, &keys);
  }
  for (const auto& service : interest.services) addService(table, service, false, &keys);
  std::erase_if(keys, [&](const RowKey& key) { return !table.find(key); });
  return keys;
}

Slice::Slice(Interest interest, const Table& table) : interest_(std::move(interest)) { refresh(table); }

void Slice::begin(const Table& table) {
  firstRevision_ = table.revision();
  for (const auto& [key, row] : table.tombstones()) departed_[key] = row->revision;
}

bool Slice::mayContain(const Row& row, const Row* previous) const {
  if (members_.count(row.key) > 0) return true;
  const auto touches = [&](const Row& candidate) {
    if (isForAll(candidate.key.kind)) return true;
    if (candidate.__isset.routeRow) {
      return hasName(interest_.hosts, kEveryHost) || hasName(interest_.hosts, candidate.routeRow.host);
    }
    if (candidate.__isset.endpointRow) return services_.count(candidate.endpointRow.serviceName) > 0;
    if (candidate.__isset.limitRow) return services_.count(candidate.limitRow.serviceName) > 0;
    if (candidate.__isset.rolloutRow) return services_.count(candidate.key.name) > 0;
    if (candidate.__isset.serviceRow) return hasName(interest_.services, candidate.key.name);
    return false;
  };
  return touches(row) || (previous != nullptr && touches(*previous));
}

bool Slice::refresh(const Table& table) {
  const auto keys = selectKeys(table, interest_);
  const int64_t now = table.revision();
  bool changed = false;
  if (firstRevision_ == 0) begin(table);
  services_.clear();
  for (const auto& key : keys) {
    if (key.kind == RowKind::SERVICE) services_.insert(key.name);
    auto row = table.find(key);
    const auto member = members_.find(key);
    if (member != members_.end() && member->second.row == row) continue;
    if (member != members_.end()) digest_.remove(*member->second.row);
    digest_.add(*row);
    // A row that was already there and changed entered at its own revision; any other entered now.
    members_[key] = {row, now};
    departed_.erase(key);
    changed = true;
  }
  for (auto member = members_.begin(); member != members_.end();) {
    if (keys.count(member->first) > 0) {
      ++member;
      continue;
    }
    digest_.remove(*member->second.row);
    departed_[member->first] = now;
    member = members_.erase(member);
    changed = true;
  }
  if (changed) revision_ = now;
  return changed;
}

std::vector<Row> Slice::changedSince(int64_t fromRevision) const {
  std::vector<Row> rows;
  for (const auto& [key, since] : departed_) {
    if (since <= fromRevision) continue;
    Row row;
    row.key = key;
    row.revision = since;
    row.deleted = true;
    rows.push_back(row);
  }
  for (const auto& [key, member] : members_) {
    // Before the slice was first computed only the row's own revision is known.
    const int64_t since = member.since <= firstRevision_ ? member.row->revision : member.since;
    if (since > fromRevision) rows.push_back(*member.row);
  }
  return rows;
}

std::vector<Row> Slice::allRows() const {
  std::vector<Row> rows;
  rows.reserve(members_.size());
  for (const auto& [key, member] : members_) rows.push_back(*member.row);
  return rows;
}

}  // namespace driftlug::table
