#include "table_file.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <toml++/toml.h>
#include <fstream>
#include <map>
#include <sstream>

#include "base/error.h"

namespace driftlug::apps {
namespace {

using base::ErrorCode;
using base::makeError;
using nlohmann::json;

absl::StatusOr<std::vector<FileRow>> readToml(const std::string& path) {
  toml::table document;
  try {
    document = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream location;
    location << path << ": " << error.description() << " at line " << error.source().begin.line;
    return makeError(ErrorCode::kBadRequestBody, location.str());
  }
  std::ostringstream text;
  text << toml::json_formatter{document};
  const auto parsed = json::parse(text.str());
  std::vector<FileRow> rows;
  for (const auto& [kind, list] : parsed.items()) {
    if (!list.is_array()) return makeError(ErrorCode::kBadRequestBody, path + ": [[" + kind + "]] must be a list");
    for (const auto& item : list) {
      FileRow row;
      row.kind = kind;
      row.name = item.value("name", "");
      row.fields = item;
      row.fields.erase("name");
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::vector<std::string> cells(const std::string& line) {
  std::vector<std::string> out;
  for (const auto& cell : absl::StrSplit(line, ',')) out.emplace_back(absl::StripAsciiWhitespace(cell));
  return out;
}

absl::StatusOr<int> cellNumber(const std::string& location, const std::string& text) {
  int value = 0;
  if (absl::SimpleAtoi(text, &value)) return value;
  return makeError(ErrorCode::kBadRequestBody, location + ": '" + text + "' is not a whole number");
}

/// With the header `route,service,weight`, each line sets the weight of one service of a route.
/// With the header `limit,max_concurrent,max_queued`, each line sets the fields of one limit.
absl::StatusOr<std::vector<FileRow>> readCsv(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) return makeError(ErrorCode::kBadRequestBody, "can't read " + path);
  std::string line;
  std::getline(stream, line);
  const auto header = cells(line);
  const bool weights = header == std::vector<std::string>{"route", "service", "weight"};
  const bool limits = header == std::vector<std::string>{"limit", "max_concurrent", "max_queued"};
  if (!weights && !limits) {
    return makeError(ErrorCode::kBadRequestBody,
                     path + ":1: the header must be route,service,weight or limit,max_concurrent,max_queued");
  }
  std::map<std::string, json> fields;
  for (int number = 2; std::getline(stream, line); ++number) {
    if (absl::StripAsciiWhitespace(line).empty()) continue;
    const auto location = path + ":" + std::to_string(number);
    const auto values = cells(line);
    if (values.size() != 3) return makeError(ErrorCode::kBadRequestBody, location + ": three cells are expected");
    const auto second = cellNumber(location, weights ? values[2] : values[1]);
    if (!second.ok()) return second.status();
    if (weights) {
      fields[values[0]]["shares"][values[1]] = *second;
      continue;
    }
    const auto third = cellNumber(location, values[2]);
    if (!third.ok()) return third.status();
    fields[values[0]] = {{"max_concurrent", *second}, {"max_queued", *third}};
  }
  std::vector<FileRow> rows;
  for (const auto& [name, values] : fields) rows.push_back({weights ? "route" : "limit", name, values, true});
  return rows;
}

}  // namespace

absl::StatusOr<std::vector<FileRow>> readTableFile(const std::string& path) {
  const bool csv = path.size() > 4 && path.compare(path.size() - 4, 4, ".csv") == 0;
  return csv ? readCsv(path) : readToml(path);
}

}  // namespace driftlug::apps
