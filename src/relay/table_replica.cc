#include "relay/table_replica.h"

namespace driftlug::relay {

ReplicaResult TableReplica::apply(const wire::TableUpdate& update, table::ChangedRows* change) {
  if (update.toRevision <= copy_.revision()) return ReplicaResult::kNothingNew;
  if (update.full) return applyFull(update, change);
  if (update.fromRevision > copy_.revision()) return ReplicaResult::kBaseMismatch;
  return applyDelta(update, change);
}

ReplicaResult TableReplica::applyDelta(const wire::TableUpdate& update, table::ChangedRows* change) {
  table::RowChange rows(&copy_);
  for (const auto& row : update.rows) {
    if (row.revision > copy_.rowRevision(row.key)) rows.put(table::storeRow(row));
  }
  if (!(copy_.digest() == update.digest)) return ReplicaResult::kDigestMismatch;
  *change = rows.commit();
  copy_.advanceTo(update.toRevision);
  copy_.trimTombstones();
  return ReplicaResult::kApplied;
}

ReplicaResult TableReplica::applyFull(const wire::TableUpdate& update, table::ChangedRows* change) {
  table::Table fresh;
  for (const auto& row : update.rows) {
    if (row.deleted) {
      fresh.put(table::storeRow(row));
      continue;
    }
    // Unchanged rows keep their pointers, so that slices see which rows really changed.
    auto known = copy_.find(row.key);
    if (known && known->revision == row.revision) {
      fresh.put(known);
      continue;
    }
    auto added = table::storeRow(row);
    fresh.put(added);
    change->changed.push_back(added);
    change->previous.push_back(known);
  }
  fresh.advanceTo(update.toRevision);
  fresh.setHorizon(update.toRevision);
  if (!(fresh.digest() == update.digest)) {
    change->changed.clear();
    change->previous.clear();
    return ReplicaResult::kDigestMismatch;
  }
  for (const auto& [key, row] : copy_.rows()) {
    if (fresh.find(key)) continue;
    wire::Row removed;
    removed.key = key;
    removed.revision = update.toRevision;
    removed.deleted = true;
    change->changed.push_back(table::storeRow(std::move(removed)));
    change->previous.push_back(row);
  }
  copy_ = std::move(fresh);
  return ReplicaResult::kApplied;
}

}  // namespace driftlug::relay
