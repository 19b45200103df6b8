/// Observer of the changes of a table.
#pragma once

#include "table/row_change.h"

namespace driftlug::table {

class TableObserver {
 public:
  virtual ~TableObserver() = default;

  /// Rows of the table have changed.
  virtual void onTableChange(const ChangedRows& rows) = 0;

  /// The whole table was replaced.
  virtual void onTableReplaced() = 0;
};

}  // namespace driftlug::table
