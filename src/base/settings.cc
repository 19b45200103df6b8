#include "base/settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <toml++/toml.h>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

DEFINE_string(config, "", "TOML file with settings; flags override it");
DEFINE_bool(check_config, false, "check the settings, print problems and exit");
DEFINE_bool(log_json, false, "write logs as JSON lines");
DEFINE_string(log_level, "info", "lowest level written: debug, info, warning, error");

namespace driftlug::base {
namespace {

struct Range {
  int64_t lowest;
  int64_t highest;
};

std::map<std::string, Range>& ranges() {
  static std::map<std::string, Range> instance;
  return instance;
}

std::set<std::string>& requiredNames() {
  static std::set<std::string> instance;
  return instance;
}

bool isProjectFlag(const gflags::CommandLineFlagInfo& info) {
  return info.filename.find("gflags") == std::string::npos;
}

bool findFlag(const std::string& name, gflags::CommandLineFlagInfo* info) {
  return gflags::GetCommandLineFlagInfo(name.c_str(), info) && isProjectFlag(*info);
}

/// Sets a flag; reports a value of the wrong type or out of range.
void setFlag(const std::string& path, const gflags::CommandLineFlagInfo& info, const std::string& value,
             std::vector<SettingProblem>* problems) {
  if (gflags::SetCommandLineOption(info.name.c_str(), value.c_str()).empty()) {
    problems->push_back({path, "'" + value + "' is not a value of type " + info.type});
    return;
  }
  const auto range = ranges().find(info.name);
  int64_t number = 0;
  if (range == ranges().end() || !absl::SimpleAtoi(value, &number)) return;
  if (number >= range->second.lowest && number <= range->second.highest) return;
  problems->push_back({path, value + " is outside " + std::to_string(range->second.lowest) + " to " +
                                 std::to_string(range->second.highest)});
}

struct ParsedArgument {
  std::string name;
  std::string value;
  bool hasValue = false;
};

ParsedArgument splitArgument(const std::string& argument) {
  ParsedArgument parsed;
  const auto start = argument.find_first_not_of('-');
  const auto equals = argument.find('=');
  parsed.hasValue = equals != std::string::npos;
  parsed.name = argument.substr(start, parsed.hasValue ? equals - start : std::string::npos);
  parsed.name = absl::StrReplaceAll(parsed.name, {{"-", "_"}});
  if (parsed.hasValue) parsed.value = argument.substr(equals + 1);
  return parsed;
}

/// Reads the command line and collects the names of the given flags.
class CommandLine {
 public:
  CommandLine(int argc, char** argv, bool allowPositional, SettingsResult* result)
      : arguments_(argv + 1, argv + argc), allowPositional_(allowPositional), result_(result) {}

  std::set<std::string> read() {
    for (position_ = 0; position_ < arguments_.size(); ++position_) readOne(arguments_[position_]);
    return given_;
  }

 private:
  void readOne(const std::string& argument) {
    if (argument.size() < 2 || argument[0] != '-' || argument.find_first_not_of('-') == std::string::npos) {
      readPositional(argument);
      return;
    }
    auto parsed = splitArgument(argument);
    if (parsed.name == "help" || parsed.name == "h") {
      result_->helpRequested = true;
      return;
    }
    if (parsed.name == "version") {
      result_->versionRequested = true;
      return;
    }
    gflags::CommandLineFlagInfo info;
    if (findFlag(parsed.name, &info)) {
      readFlag(info, parsed);
      return;
    }
    if (parsed.name.rfind("no", 0) == 0 && findFlag(parsed.name.substr(2), &info) && info.type == "bool") {
      apply(info, "false");
      return;
    }
    result_->problems.push_back({"--" + parsed.name, "unknown flag"});
  }

  void readPositional(const std::string& argument) {
    if (allowPositional_) {
      result_->positional.push_back(argument);
    } else {
      result_->problems.push_back({argument, "unexpected argument"});
    }
  }

  void readFlag(const gflags::CommandLineFlagInfo& info, const ParsedArgument& parsed) {
    if (parsed.hasValue) {
      apply(info, parsed.value);
    } else if (info.type == "bool") {
      apply(info, "true");
    } else if (position_ + 1 < arguments_.size()) {
      apply(info, arguments_[++position_]);
    } else {
      result_->problems.push_back({"--" + info.name, "needs a value"});
    }
  }

  void apply(const gflags::CommandLineFlagInfo& info, const std::string& value) {
    given_.insert(info.name);
    setFlag("--" + info.name, info, value, &result_->problems);
  }

  std::vector<std::string> arguments_;
  bool allowPositional_;
  SettingsResult* result_;
  size_t position_ = 0;
  std::set<std::string> given_;
};

std::string tomlValueText(const toml::node& node, bool* supported) {
  *supported = true;
  if (const auto text = node.value_exact<std::string>()) return *text;
  if (const auto number = node.value_exact<int64_t>()) return std::to_string(*number);
  if (const auto flag = node.value_exact<bool>()) return *flag ? "true" : "false";
  if (const auto real = node.value_exact<double>()) return std::to_string(*real);
  if (const auto* array = node.as_array()) {
    std::vector<std::string> items;
    for (const auto& item : *array) {
      const auto text = item.value_exact<std::string>();
      *supported = *supported && text.has_value();
      items.push_back(text.value_or(""));
    }
    return absl::StrJoin(items, ",");
  }
  *supported = false;
  return "";
}

bool typeFits(const toml::node& node, const std::string& flagType) {
  if (flagType == "string") return node.is_string() || node.is_array();
  if (flagType == "bool") return node.is_boolean();
  if (flagType == "double") return node.is_floating_point() || node.is_integer();
  return node.is_integer();
}

void readFile(const std::string& path, const std::set<std::string>& given, std::vector<SettingProblem>* problems) {
  toml::table table;
  try {
    table = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    problems->push_back({path, std::string(error.description())});
    return;
  }
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    const std::string where = path + ":" + name;
    gflags::CommandLineFlagInfo info;
    bool supported = false;
    const auto text = tomlValueText(node, &supported);
    if (!findFlag(name, &info) || name == "config") {
      problems->push_back({where, "unknown setting"});
    } else if (!supported || !typeFits(node, info.type)) {
      problems->push_back({where, "wrong type; " + info.type + " expected"});
    } else if (given.count(name) == 0) {
      setFlag(where, info, text, problems);
    }
  }
}

void printHelp(const std::string& summary) {
  std::printf("%s\n\nSettings (flags or keys of the TOML file):\n", summary.c_str());
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto& info : flags) {
    if (!isProjectFlag(info)) continue;
    std::string name = absl::StrReplaceAll(info.name, {{"_", "-"}});
    std::printf("  --%-28s %s (%s, default '%s')\n", name.c_str(), info.description.c_str(), info.type.c_str(),
                info.default_value.c_str());
  }
}

}  // namespace

void declareRange(const std::string& name, int64_t lowest, int64_t highest) { ranges()[name] = {lowest, highest}; }

void declareRequired(const std::string& name) { requiredNames().insert(name); }

SettingsResult loadSettings(int argc, char** argv, bool allowPositional) {
  SettingsResult result;
  const auto given = CommandLine(argc, argv, allowPositional, &result).read();
  if (result.helpRequested || result.versionRequested) return result;
  if (!FLAGS_config.empty()) readFile(FLAGS_config, given, &result.problems);
  for (const auto& name : requiredNames()) {
    std::string value;
    if (gflags::GetCommandLineOption(name.c_str(), &value) && value.empty()) {
      result.problems.push_back({name, "must be set"});
    }
  }
  return result;
}

std::vector<std::string> loadSettingsOrExit(int argc, char** argv, const std::string& summary, bool allowPositional) {
  auto result = loadSettings(argc, argv, allowPositional);
  if (result.helpRequested) {
    printHelp(summary);
    std::exit(0);
  }
  if (result.versionRequested) {
    std::printf("driftlug 0.1.0\n");
    std::exit(0);
  }
  for (const auto& problem : result.problems) {
    std::fprintf(stderr, "bad_setting: %s: %s\n", problem.path.c_str(), problem.message.c_str());
  }
  if (!result.problems.empty()) std::exit(2);
  if (FLAGS_check_config) {
    std::printf("settings are good\n");
    std::exit(0);
  }
  return result.positional;
}

std::optional<std::string> reloadSetting(const std::string& name) {
  if (FLAGS_config.empty()) return std::nullopt;
  try {
    const toml::table table = toml::parse_file(FLAGS_config);
    const auto* node = table.get(name);
    bool supported = false;
    if (node == nullptr) return std::nullopt;
    const auto text = tomlValueText(*node, &supported);
    return supported ? std::optional(text) : std::nullopt;
  } catch (const toml::parse_error&) {
    return std::nullopt;
  }
}

std::vector<std::string> splitList(const std::string& text) {
  std::vector<std::string> items;
  for (const auto& part : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    items.emplace_back(absl::StripAsciiWhitespace(part));
  }
  return items;
}

}  // namespace driftlug::base
