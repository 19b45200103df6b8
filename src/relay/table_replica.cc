#include "relay/table_replica.h"

namespace driftlug::relay {

ReplicaResult TableReplica::apply(const wire::TableUpdate& update, ReplicaChange* change) {
  if (update.toRevision <= table_.revision()) return ReplicaResult::kNothingNew;
  if (update.full) return applyFull(update, change);
  if (update.fromRevision > table_.revision()) return ReplicaResult::kBaseMismatch;
  return applyDelta(update, change);
}

ReplicaResult TableReplica::applyDelta(const wire::TableUpdate& update, ReplicaChange* change) {
  const int64_t before = table_.revision();
  for (const auto& row : update.rows) {
    if (row.revision <= table_.rowRevision(row.key)) continue;
    change->previous.push_back(table_.findAny(row.key));
    change->changed.push_back(table::storeRow(row));
    table_.put(change->changed.back());
  }
  if (table_.digest() == update.digest) {
    table_.advanceTo(update.toRevision);
    return ReplicaResult::kApplied;
  }
  for (size_t i = change->changed.size(); i-- > 0;) {
    table_.undoPut(change->changed[i]->key, change->previous[i], before);
  }
  change->changed.clear();
  change->previous.clear();
  return ReplicaResult::kDigestMismatch;
}

ReplicaResult TableReplica::applyFull(const wire::TableUpdate& update, ReplicaChange* change) {
  table::Table fresh;
  for (const auto& row : update.rows) {
    if (row.deleted) {
      fresh.put(table::storeRow(row));
      continue;
    }
    // Unchanged rows keep their identity, so that slices see which rows really changed.
    auto known = table_.find(row.key);
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
  for (const auto& [key, row] : table_.rows()) {
    if (fresh.find(key)) continue;
    wire::Row removed;
    removed.key = key;
    removed.revision = update.toRevision;
    removed.deleted = true;
    change->changed.push_back(table::storeRow(std::move(removed)));
    change->previous.push_back(row);
  }
  table_ = std::move(fresh);
  return ReplicaResult::kApplied;
}

}  // namespace driftlug::relay
