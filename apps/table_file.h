/// Table files: TOML with rows of all kinds, or CSV with route weights or limits as exported from a spreadsheet.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace driftlug::apps {

/// One row of a table file.
struct FileRow {
  std::string kind;
  std::string name;
  nlohmann::json fields;
  bool partial = false;  ///< fields that are absent keep their value
};

/// Reads a file as CSV if its name ends in .csv, else as TOML.
/// @return the rows, or kBadRequestBody with the location of the first error
absl::StatusOr<std::vector<FileRow>> readTableFile(const std::string& path);

}  // namespace driftlug::apps
