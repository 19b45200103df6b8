/// Helpers that parse, compare and write a configuration in one step.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config_diff.h"
#include "config_reader.h"
#include "config_writer.h"

namespace driftlug::platform {

/// A parsed configuration.
struct ConfigDocument {
  ConfigVersion version;
  int64_t baseNumber = 0;       ///< number of the version that it builds on
  std::vector<wire::Row> rows;  ///< without revisions
};

/// @return the document, or kBadRequestBody with the error
inline absl::StatusOr<ConfigDocument> parseConfig(std::string_view body) {
  ConfigDocument document;
  ConfigReader reader{std::string(body)};
  (void)reader.read(SIZE_MAX, [&](wire::Row row) { document.rows.push_back(std::move(row)); });
  if (!reader.problem().empty()) return base::makeError(base::ErrorCode::kBadRequestBody, reader.problem());
  document.version = reader.version();
  document.baseNumber = reader.baseNumber();
  return document;
}

/// @return the configuration in a table, as JSON text.
inline std::string renderConfig(const table::Table& table) {
  ConfigWriter writer(table);
  (void)writer.write(SIZE_MAX);
  return writer.text();
}

/// @return the changes that turn a table's rows into those of a document, conditional on the current version.
inline std::vector<wire::Mutation> changesFor(const ConfigDocument& document, const table::Table& table) {
  ConfigDiff diff(table);
  ConfigKeys keys;
  for (const auto& row : document.rows) {
    keys.insert(row.key);
    diff.add(row);
  }
  return diff.finish(document.version, keys);
}

}  // namespace driftlug::platform
