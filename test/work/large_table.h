/// Tables of many routes, and changes of them.
#ifndef DRIFTLUG_TEST_WORK_LARGE_TABLE_H_HEADER_GUARD
#define DRIFTLUG_TEST_WORK_LARGE_TABLE_H_HEADER_GUARD

#include <string>
#include <vector>

#include "table/row_change.h"
#include "table_rows.h"

namespace driftlug::test
{
/// A table that can be changed in the same way as by an edit.
class large_table
{
public:
	/// @param[in] _routes Number of routes, each with its own host.
	explicit large_table(size_t _routes)
	{
		put(serviceRow("archive", 1));
		put(serviceRow("intake", 1));
		addRoutes(_routes);
		change = {};
	}

	/// Adds routes under the next revision and records them in `change`.
	void addRoutes(size_t _count)
	{
		const int64_t revision = table.revision() + 1;
		change = {};
		for (size_t i = 0; i < _count; ++i)
		{
			const auto name = std::to_string(m_next++);
			put(routeRow("r-" + name, name + ".example", "/" + name + "/", {{"archive", 100}}, revision));
		}
	}

	/// @returns Rows of the last change, as messages carry them.
	std::vector<wire::Row> changedRows() const
	{
		std::vector<wire::Row> rows;
		for (const auto& row : change.changed)
		{
			rows.push_back(*row);
		}
		return rows;
	}

	table::Table table;
	table::ChangedRows change;  //!< Of the last addRoutes().

private:
	void put(const table::RowPtr& _row)
	{
		change.previous.push_back(table.findAny(_row->key));
		change.changed.push_back(_row);
		table.put(_row);
	}

	size_t m_next = 0;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_WORK_LARGE_TABLE_H_HEADER_GUARD
