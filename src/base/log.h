/// Structured logs: short sentences behind a fixed prefix for each part of the system.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>
#include <string_view>

namespace driftlug::base {

/// Sets the process-wide form of logs.
/// @param json one JSON object a line instead of text
/// @param level spdlog's name of the lowest level that is written
void configureLogs(bool json, std::string_view level);

/// Writes log lines behind one fixed prefix, such as `control:`.
class Logger {
 public:
  explicit Logger(std::string_view prefix);

  template <typename... Args>
  void debug(fmt::format_string<Args...> format, Args&&... args) const {
    write(spdlog::level::debug, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void info(fmt::format_string<Args...> format, Args&&... args) const {
    write(spdlog::level::info, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void warn(fmt::format_string<Args...> format, Args&&... args) const {
    write(spdlog::level::warn, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void error(fmt::format_string<Args...> format, Args&&... args) const {
    write(spdlog::level::err, fmt::format(format, std::forward<Args>(args)...));
  }

 private:
  void write(spdlog::level::level_enum level, const std::string& sentence) const;

  std::string prefix_;  // fixed at construction
};

}  // namespace driftlug::base
