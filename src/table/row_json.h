/// Rows as JSON objects, the form of the operators' interface and of table files.
#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include "table/row.h"
#include "table/validator.h"

namespace driftlug::table {

/// @return the row as `{kind, name, revision, …fields}`; secret values are replaced by their length unless asked for.
nlohmann::json rowToJson(const Row& row, bool withSecretValue);

/// Reads a row from the fields of its kind. Unknown fields and wrong types are refused.
/// @return the row without a revision, or kBadRequestBody naming the field
absl::StatusOr<Row> rowFromJson(const RowKey& key, const nlohmann::json& fields);

/// @return a problem as `{row, field, problem, message}`.
nlohmann::json problemToJson(const Problem& problem);

}  // namespace driftlug::table
