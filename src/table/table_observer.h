/// Observer of table changes.
#pragma once

#include "table/row_change.h"

namespace driftlug::table {

class TableObserver {
 public:
  virtual ~TableObserver() = default;

  /// Called after rows of the table have changed.
  virtual void onTableChange(const ChangedRows& rows) = 0;

  /// Called after the whole table was replaced.
  virtual void onTableReplaced() = 0;
};

}  // namespace driftlug::table
