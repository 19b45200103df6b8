#include "node/slice_store.h"

#include <utility>

#include "table/row_change.h"
#include "table/validator.h"

namespace driftlug::node {
namespace {

bool allReferencesResolve(const table::Table& rows) {
  std::vector<table::Problem> problems;
  for (const auto& [key, row] : rows.rows()) table::checkReferences(*row, rows, &problems);
  return problems.empty();
}

/// @return whether all references resolve, provided that they did before the change.
bool changedReferencesResolve(const table::ChangedRows& change, const table::Table& rows) {
  std::vector<table::Problem> problems;
  for (const auto& row : change.changed) {
    if (row->deleted && table::isReferenceable(row->key.kind)) return allReferencesResolve(rows);
    if (!row->deleted) table::checkReferences(*row, rows, &problems);
  }
  return problems.empty();
}

}  // namespace

SliceResult SliceStore::prepare(wire::SliceUpdate update, SliceVersion* next) {
  if (checks_.neverOlder && update.toRevision < version_.revision) return SliceResult::kOlder;
  if (!update.full && update.fromRevision != version_.revision) return SliceResult::kBaseMismatch;
  next->revision = update.toRevision;
  return update.full ? prepareFull(&update, next) : prepareDelta(&update, next);
}

SliceResult SliceStore::prepareFull(wire::SliceUpdate* update, SliceVersion* next) {
  table::Table rows;
  for (auto& row : update->rows) rows.put(table::storeRow(std::move(row)));
  if (checks_.digest && !(rows.digest() == update->digest)) return SliceResult::kDigestMismatch;
  if (checks_.references && !allReferencesResolve(rows)) return SliceResult::kDanglingReference;
  rows.dropTombstones(update->toRevision);
  rows_ = std::move(rows);
  next->digest = rows_.digest();
  next->routing = std::make_shared<const routing::RoutingTable>(rows_, next->revision);
  return SliceResult::kActivated;
}

SliceResult SliceStore::prepareDelta(wire::SliceUpdate* update, SliceVersion* next) {
  table::RowChange change(&rows_);
  for (auto& row : update->rows) change.put(table::storeRow(std::move(row)));
  if (checks_.digest && !(rows_.digest() == update->digest)) return SliceResult::kDigestMismatch;
  next->digest = rows_.digest();
  if (version_.routing && update->rows.empty()) {
    next->routing = version_.routing;
    return SliceResult::kUnchanged;
  }
  if (checks_.references && !changedReferencesResolve(change.rows(), rows_)) return SliceResult::kDanglingReference;
  const auto changed = change.commit();
  rows_.dropTombstones(update->toRevision);
  next->routing = version_.routing
                      ? std::make_shared<const routing::RoutingTable>(*version_.routing, rows_, next->revision, changed)
                      : std::make_shared<const routing::RoutingTable>(rows_, next->revision);
  return SliceResult::kActivated;
}

SliceResult SliceStore::apply(wire::SliceUpdate update) {
  SliceVersion next;
  const auto result = prepare(std::move(update), &next);
  if (result == SliceResult::kActivated || result == SliceResult::kUnchanged) activate(std::move(next));
  return result;
}

}  // namespace driftlug::node
