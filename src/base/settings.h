/// Checked settings: every gflag defined by the program is also a key of its TOML file.
///
/// Flags given on the command line win over the file. All problems (unknown keys, wrong types,
/// values out of range) are collected and refused together.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace driftlug::base {

/// One thing wrong with the settings.
struct SettingProblem {
  std::string path;      ///< `--flag` or `file:key`
  std::string sentence;  ///< what is wrong
};

/// Declares the range of a numeric setting; checked by loadSettings().
void declareRange(const std::string& name, int64_t lowest, int64_t highest);

/// Declares that a string setting must not be empty.
void declareRequired(const std::string& name);

/// Result of reading flags and file.
struct SettingsResult {
  std::vector<SettingProblem> problems;  ///< empty when everything was taken
  std::vector<std::string> positional;   ///< arguments that are not flags
  bool helpRequested = false;
  bool versionRequested = false;
};

/// Reads the command line, then the file named by --config, into the program's gflags.
/// @param allowPositional whether arguments that are not flags are kept instead of refused
SettingsResult loadSettings(int argc, char** argv, bool allowPositional);

/// Reads settings and handles --help, --version, --check-config and problems.
/// On a problem it prints one typed line for each and exits 2; it returns only when the program should run.
/// @return positional arguments
std::vector<std::string> loadSettingsOrExit(int argc, char** argv, const std::string& summary, bool allowPositional);

/// Reads one setting from the file named by --config again, as after a change of the file.
/// @return its text, or nothing when there is no file, no such key, or the file can't be read
std::optional<std::string> reloadSetting(const std::string& name);

/// Splits a comma-separated setting; blanks around items are dropped.
std::vector<std::string> splitList(const std::string& text);

}  // namespace driftlug::base
