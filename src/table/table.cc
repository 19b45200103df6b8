#include "table/table.h"

#include <algorithm>

namespace driftlug::table {
namespace {

template <typename Index, typename Key>
IndexedRows<Index> rowsOf(const Index& index, const Key& key) {
  const auto range = index.equal_range(key);
  return {range.first, range.second};
}

}  // namespace

int64_t medianOf(std::vector<int64_t> revisions) {
  const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  return *middle;
}

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

IndexedRows<ServiceIndex> Table::endpointsOf(std::string_view service) const { return rowsOf(endpoints_, service); }

IndexedRows<ServiceIndex> Table::limitsOf(std::string_view service) const { return rowsOf(limits_, service); }

IndexedRows<MatchIndex> Table::routesOf(std::string_view host) const { return rowsOf(routes_, host); }

IndexedRows<MatchIndex> Table::routesWithSameMatch(const wire::RouteRow& route) const {
  return rowsOf(routes_, RouteMatch{route.host, route.pathPrefix, route.method});
}

void Table::unlink(const StoredRow& row) {
  byRevision_.erase(&row);
  if (row.deleted) return;
  digest_.remove(row);
  if (row.__isset.endpointRow) endpoints_.erase(&row);
  if (row.__isset.limitRow) limits_.erase(&row);
  if (row.__isset.routeRow) routes_.erase(&row);
}

void Table::link(const StoredRow& row) {
  byRevision_.insert(&row);
  if (row.deleted) return;
  digest_.add(row);
  if (row.__isset.endpointRow) endpoints_.insert(&row);
  if (row.__isset.limitRow) limits_.insert(&row);
  if (row.__isset.routeRow) routes_.insert(&row);
}

void Table::remove(const StoredRow& row) {
  unlink(row);
  (row.deleted ? tombstones_ : rows_).erase(row.key);
}

RowPtr Table::put(const RowPtr& row) {
  auto& map = row->deleted ? tombstones_ : rows_;
  auto& other = row->deleted ? rows_ : tombstones_;
  RowPtr previous;
  if (auto moved = other.extract(row->key)) previous = std::move(moved.mapped());
  auto place = map.lower_bound(row->key);
  const bool known = place != map.end() && !RowKeyLess()(row->key, place->first);
  if (known) previous = place->second;
  if (previous) unlink(*previous);
  link(*row);
  if (known) {
    place->second = row;
  } else {
    map.emplace_hint(place, row->key, row);
  }
  advanceTo(row->revision);
  return previous;
}

void Table::undoPut(const RowKey& key, const RowPtr& previous, int64_t previousRevision) {
  if (const auto current = findAny(key)) remove(*current);
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
  for (const auto& row : dropped) remove(*row);
  horizon_ = std::max(horizon_, upTo);
}

void Table::trimTombstones() {
  if (tombstones_.size() <= kMaxTombstones) return;
  std::vector<int64_t> revisions;
  revisions.reserve(tombstones_.size());
  for (const auto& [key, row] : tombstones_) revisions.push_back(row->revision);
  dropTombstones(medianOf(std::move(revisions)));
}

IndexedRows<RevisionIndex> Table::changedSince(int64_t revision) const {
  return {byRevision_.upper_bound(revision), byRevision_.end()};
}

}  // namespace driftlug::table
