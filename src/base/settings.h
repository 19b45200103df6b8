/// Validated settings: every gflag of the program is also a key of its TOML file.
///
/// Flags on the command line override the file. All problems (unknown keys, wrong types, values out of range) are
/// collected and reported together.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace driftlug::base {

/// A problem with a setting.
struct SettingProblem {
  std::string path;     ///< `--flag` or `file:key`
  std::string message;  ///< description of the problem
};

/// Declares the inclusive range of a numeric setting, which loadSettings() checks.
void declareRange(const std::string& name, int64_t lowest, int64_t highest);

/// Declares that a string setting must not be empty, which loadSettings() checks.
void declareRequired(const std::string& name);

/// Result of reading the flags and the file.
struct SettingsResult {
  std::vector<SettingProblem> problems;  ///< empty if all settings were applied
  std::vector<std::string> positional;   ///< arguments that are not flags
  bool helpRequested = false;
  bool versionRequested = false;
};

/// Reads the command line, then the file named by --config, into the program's gflags.
/// @param allowPositional whether arguments that are not flags are returned instead of reported as problems
SettingsResult loadSettings(int argc, char** argv, bool allowPositional);

/// Reads settings and handles --help, --version, --check-config and problems.
/// Prints one `bad_setting` line for each problem and exits with 2; returns only if the program should run.
/// @return positional arguments
std::vector<std::string> loadSettingsOrExit(int argc, char** argv, const std::string& summary, bool allowPositional);

/// Reads one setting from the file named by --config again, after a change of the file.
/// @return the value as text; nullopt if there is no file or no such key, or the file can't be read
std::optional<std::string> reloadSetting(const std::string& name);

/// Splits a comma-separated setting; trims the items and skips empty ones.
std::vector<std::string> splitList(const std::string& text);

}  // namespace driftlug::base
