/// Table files: TOML with all kinds of rows, or CSV with weights or limits as a spreadsheet writes them.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace driftlug::apps {

/// One row as a file states it.
struct FileRow {
  std::string kind;
  std::string name;
  nlohmann::json fields;
  bool partial = false;  ///< only the given fields are to be changed
};

/// Reads a file by its ending, .toml or .csv.
/// @return the rows, or kBadRequestBody with the place of the first mistake
absl::StatusOr<std::vector<FileRow>> readTableFile(const std::string& path);

}  // namespace driftlug::apps
