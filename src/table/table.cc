#include "table/table.h"

#include <algorithm>

namespace driftlug::table {
namespace {

const std::set<std::string>& lookUp(const std::map<std::string, std::set<std::string>>& index,
                                    const std::string& name) {
  static const std::set<std::string> none;
  const auto found = index.find(name);
  return found == index.end() ? none : found->second;
}

void removeName(std::map<std::string, std::set<std::string>>* index, const std::string& owner,
                const std::string& name) {
  const auto found = index->find(owner);
  if (found == index->end()) return;
  found->second.erase(name);
  if (found->second.empty()) index->erase(found);
}

/// @return what a route matches on, as one key.
std::string matchKey(const wire::RouteRow& route) {
  constexpr char kBorder = '\0';
  return route.host + kBorder + route.pathPrefix + kBorder + route.method;
}

}  // namespace

RowPtr Table::find(const RowKey& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : found->second;
}

RowPtr Table::findAny(const RowKey& key) const {
  if (auto row = find(key)) return row;
  const auto found = tombstones_.find(key);
  return found == tombstones_.end() ? nullptr : found->second;
}

int64_t Table::rowRevision(const RowKey& key) const {
  const auto row = findAny(key);
  return row ? row->revision : 0;
}

const std::set<std::string>& Table::endpointsOf(const std::string& service) const {
  return lookUp(endpointsByService_, service);
}

const std::set<std::string>& Table::limitsOf(const std::string& service) const {
  return lookUp(limitsByService_, service);
}

const std::set<std::string>& Table::routesOf(const std::string& host) const { return lookUp(routesByHost_, host); }

const std::set<std::string>& Table::routesMatchingLike(const wire::RouteRow& route) const {
  return lookUp(routesByMatch_, matchKey(route));
}

void Table::unlink(const Row& row) {
  const auto bucket = byRevision_.find(row.revision);
  if (bucket != byRevision_.end()) {
    bucket->second.erase(row.key);
    if (bucket->second.empty()) byRevision_.erase(bucket);
  }
  if (row.deleted) {
    tombstones_.erase(row.key);
    return;
  }
  digest_.remove(row);
  if (row.__isset.endpointRow) removeName(&endpointsByService_, row.endpointRow.serviceName, row.key.name);
  if (row.__isset.limitRow) removeName(&limitsByService_, row.limitRow.serviceName, row.key.name);
  if (row.__isset.routeRow) {
    removeName(&routesByHost_, row.routeRow.host, row.key.name);
    removeName(&routesByMatch_, matchKey(row.routeRow), row.key.name);
  }
  rows_.erase(row.key);
}

void Table::link(const Row& row) {
  byRevision_[row.revision].insert(row.key);
  if (row.deleted) return;
  digest_.add(row);
  if (row.__isset.endpointRow) endpointsByService_[row.endpointRow.serviceName].insert(row.key.name);
  if (row.__isset.limitRow) limitsByService_[row.limitRow.serviceName].insert(row.key.name);
  if (row.__isset.routeRow) {
    routesByHost_[row.routeRow.host].insert(row.key.name);
    routesByMatch_[matchKey(row.routeRow)].insert(row.key.name);
  }
}

void Table::put(const RowPtr& row) {
  if (const auto previous = findAny(row->key)) unlink(*previous);
  link(*row);
  (row->deleted ? tombstones_ : rows_)[row->key] = row;
  advanceTo(row->revision);
}

void Table::undoPut(const RowKey& key, const RowPtr& previous, int64_t previousRevision) {
  if (const auto current = findAny(key)) unlink(*current);
  if (previous) {
    link(*previous);
    (previous->deleted ? tombstones_ : rows_)[key] = previous;
  }
  revision_ = previousRevision;
}

void Table::advanceTo(int64_t revision) { revision_ = std::max(revision_, revision); }

void Table::dropTombstones(int64_t upTo) {
  std::vector<RowPtr> dropped;
  for (const auto& [key, row] : tombstones_) {
    if (row->revision <= upTo) dropped.push_back(row);
  }
  for (const auto& row : dropped) unlink(*row);
  horizon_ = std::max(horizon_, upTo);
}

std::vector<RowPtr> Table::changedSince(int64_t revision) const {
  std::vector<RowPtr> changed;
  for (auto bucket = byRevision_.upper_bound(revision); bucket != byRevision_.end(); ++bucket) {
    for (const auto& key : bucket->second) changed.push_back(findAny(key));
  }
  return changed;
}

}  // namespace driftlug::table
