/// Changes of a table that are taken back unless they are kept.
#pragma once

#include <vector>

#include "table/table.h"

namespace driftlug::table {

/// Changes rows in place, so that what is refused costs no copy of the table.
class RowChange {
 public:
  explicit RowChange(Table* table) : table_(table), previousRevision_(table->revision()) {}
  RowChange(const RowChange&) = delete;
  RowChange& operator=(const RowChange&) = delete;

  /// Takes all back, unless keep() was called.
  ~RowChange() {
    if (kept_) return;
    for (size_t i = changed_.size(); i-- > 0;) table_->undoPut(changed_[i]->key, previous_[i], previousRevision_);
  }

  void put(const RowPtr& row) {
    previous_.push_back(table_->findAny(row->key));
    changed_.push_back(row);
    table_->put(row);
  }

  void keep() { kept_ = true; }

  /// @return rows as they are now, tombstones among them, in the order of put().
  const std::vector<RowPtr>& changed() const { return changed_; }

  /// @return the same rows before, null where there was none.
  const std::vector<RowPtr>& previous() const { return previous_; }

 private:
  Table* table_;
  int64_t previousRevision_;
  bool kept_ = false;
  std::vector<RowPtr> changed_;
  std::vector<RowPtr> previous_;
};

}  // namespace driftlug::table
