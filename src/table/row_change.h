/// Transactional change of a table: rolled back unless committed.
#pragma once

#include <utility>
#include <vector>

#include "table/table.h"

namespace driftlug::table {

/// The rows of one change, before and after it.
struct ChangedRows {
  std::vector<RowPtr> changed;   ///< the rows after the change, including tombstones
  std::vector<RowPtr> previous;  ///< the same rows before the change; null where there was none

  bool empty() const { return changed.empty(); }
};

/// Changes rows in place, so that a rejected change needs no copy of the table.
class RowChange {
 public:
  explicit RowChange(Table* table) : table_(table), previousRevision_(table->revision()) {}
  RowChange(const RowChange&) = delete;
  RowChange& operator=(const RowChange&) = delete;

  /// Rolls the change back unless commit() was called.
  ~RowChange() {
    if (committed_) return;
    for (size_t i = rows_.changed.size(); i-- > 0;) {
      table_->undoPut(rows_.changed[i]->key, rows_.previous[i], previousRevision_);
    }
  }

  void put(const RowPtr& row) {
    rows_.previous.push_back(table_->put(row));
    rows_.changed.push_back(row);
  }

  /// @return the rows that changed, in the order of put().
  ChangedRows commit() {
    committed_ = true;
    return std::move(rows_);
  }

  /// @return the rows put so far.
  const ChangedRows& rows() const { return rows_; }

 private:
  Table* table_;
  int64_t previousRevision_;
  bool committed_ = false;
  ChangedRows rows_;
};

}  // namespace driftlug::table
