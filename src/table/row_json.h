/// Conversion of rows from and to JSON, as used by the operator API and table files.
#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include "table/row.h"
#include "table/validator.h"

namespace driftlug::table {

/// @return the row as `{kind, name, revision, …fields}`. Secret values are replaced by their length, and tenant keys by
/// their number, unless `withSecretValue` is set.
nlohmann::json rowToJson(const Row& row, bool withSecretValue);

/// Reads a row from the fields of its kind. Unknown fields and wrong types are errors.
/// @return the row without a revision, or kBadRequestBody that names the field
absl::StatusOr<Row> rowFromJson(const RowKey& key, const nlohmann::json& fields);

/// @return a problem as `{row, field, problem, message}`.
nlohmann::json problemToJson(const Problem& problem);

}  // namespace driftlug::table
