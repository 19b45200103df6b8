#include "node/slice_store.h"

#include "table/validator.h"

namespace driftlug::node {
namespace {

bool referencesHold(const table::Table& rows) {
  std::vector<table::Problem> problems;
  for (const auto& [key, row] : rows.rows()) table::checkReferences(*row, rows, &problems);
  return problems.empty();
}

}  // namespace

SliceResult SliceStore::prepare(const wire::SliceUpdate& update, SliceVersion* next) const {
  if (checks_.neverOlder && update.toRevision < version_.revision) return SliceResult::kOlder;
  if (!update.full && update.fromRevision != version_.revision) return SliceResult::kBaseMismatch;
  next->revision = update.toRevision;
  if (!update.full) next->rows = version_.rows;
  for (const auto& row : update.rows) next->rows.put(table::storeRow(row));
  if (checks_.digest && !(next->rows.digest() == update.digest)) return SliceResult::kDigestMismatch;
  if (version_.routing && update.rows.empty() && !update.full) {
    next->routing = version_.routing;
    return SliceResult::kUnchanged;
  }
  if (checks_.references && !referencesHold(next->rows)) return SliceResult::kDanglingReference;
  next->rows.dropTombstones(update.toRevision);
  next->routing = std::make_shared<const routing::RoutingTable>(next->rows, next->revision);
  return SliceResult::kActivated;
}

void SliceStore::activate(SliceVersion next) { version_ = std::move(next); }

SliceResult SliceStore::apply(const wire::SliceUpdate& update) {
  SliceVersion next;
  const auto result = prepare(update, &next);
  if (result == SliceResult::kActivated || result == SliceResult::kUnchanged) activate(std::move(next));
  return result;
}

}  // namespace driftlug::node
