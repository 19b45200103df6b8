#include "table/slice.h"

#include <tuple>
#include <utility>

namespace driftlug::table {
namespace {

RowPtr tombstoneOf(const RowKey& key, int64_t revision) {
  Row row;
  row.key = key;
  row.revision = revision;
  row.deleted = true;
  return storeRow(std::move(row));
}

}  // namespace

bool Slice::BySince::operator()(const Entry* left, const Entry* right) const {
  return std::tie(left->since, left->row->key.kind, left->row->key.name) <
         std::tie(right->since, right->row->key.kind, right->row->key.name);
}

Slice::Slice(Interest interest, const Table& table) : selection_(std::move(interest)) { refresh(table); }

void Slice::initialize(const Table& table) {
  firstRevision_ = table.revision();
  for (const auto& [key, row] : table.tombstones()) putEntry(&removedRows_, key, {row, row->revision});
}

void Slice::putEntry(Entries* entries, const RowKey& key, Entry entry) {
  const auto [found, inserted] = entries->try_emplace(key);
  if (!inserted) bySince_.erase(&found->second);
  found->second = std::move(entry);
  bySince_.insert(&found->second);
}

void Slice::erase(Entries* entries, const RowKey& key) {
  const auto found = entries->find(key);
  if (found == entries->end()) return;
  bySince_.erase(&found->second);
  entries->erase(found);
}

/// Updates the entry of one key after a change of the table.
/// @param row the selected row with that key; null when there is none
/// @return whether the entry changed
bool Slice::reconcileRow(const RowKey& key, const RowPtr& row, int64_t now) {
  const auto member = members_.find(key);
  const auto before = member == members_.end() ? nullptr : member->second.row;
  if (row == before) return false;
  if (before) digest_.remove(*before);
  if (row) {
    digest_.add(*row);
    erase(&removedRows_, key);
    // For rows present when the slice is first computed only their own revisions are known.
    putEntry(&members_, key, {row, now == firstRevision_ ? row->revision : now});
  } else {
    erase(&members_, key);
    putEntry(&removedRows_, key, {tombstoneOf(key, now), now});
  }
  return true;
}

/// Drops the older half of the removed rows when there are more than kMaxTombstones.
void Slice::trimRemovedRows() {
  if (removedRows_.size() <= kMaxTombstones) return;
  std::vector<int64_t> revisions;
  revisions.reserve(removedRows_.size());
  for (const auto& [key, entry] : removedRows_) revisions.push_back(entry.since);
  const auto upTo = medianOf(std::move(revisions));
  for (auto entry = removedRows_.begin(); entry != removedRows_.end();) {
    const bool dropped = entry->second.since <= upTo;
    if (dropped) bySince_.erase(&entry->second);
    entry = dropped ? removedRows_.erase(entry) : std::next(entry);
  }
}

bool Slice::update(const Table& table, const ChangedRows& rows) {
  if (firstRevision_ == 0) return refresh(table);
  bool differs = false;
  for (const auto& key : selection_.apply(table, rows)) {
    const auto row = table.find(key);
    const bool selected = row && selection_.selects(*row);
    differs = reconcileRow(key, selected ? row : nullptr, table.revision()) || differs;
  }
  if (differs) revision_ = table.revision();
  trimRemovedRows();
  return differs;
}

bool Slice::refresh(const Table& table) {
  if (firstRevision_ == 0) initialize(table);
  selection_.rebuild(table);
  bool differs = false;
  for (const auto& [key, row] : table.rows()) {
    if (selection_.selects(*row)) differs = reconcileRow(key, row, table.revision()) || differs;
  }
  std::vector<RowKey> left;
  for (const auto& [key, entry] : members_) {
    const auto row = table.find(key);
    if (!row || !selection_.selects(*row)) left.push_back(key);
  }
  for (const auto& key : left) differs = reconcileRow(key, nullptr, table.revision()) || differs;
  if (differs) revision_ = table.revision();
  trimRemovedRows();
  return differs;
}

std::vector<const Row*> Slice::changedSince(int64_t fromRevision) const {
  std::vector<const Row*> rows;
  for (auto entry = bySince_.upper_bound(fromRevision); entry != bySince_.end(); ++entry) {
    rows.push_back((*entry)->row.get());
  }
  return rows;
}

std::vector<const Row*> Slice::allRows() const {
  std::vector<const Row*> rows;
  rows.reserve(members_.size());
  for (const auto& [key, entry] : members_) rows.push_back(entry.row.get());
  return rows;
}

}  // namespace driftlug::table
