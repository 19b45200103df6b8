/// Structured logs: short sentences behind a fixed prefix for each part of the system.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace driftlug::base {

/// Where logs go.
enum class LogTarget {
  kErrors,  ///< standard error, waiting for the reader: for tools whose output is their result
  kOutput,  ///< standard output, never waiting: a line that a slow reader has no room for is dropped
};

/// Sets the process-wide form of logs.
/// @param json one JSON object a line instead of text
/// @param level spdlog's name of the lowest level that is written
void configureLogs(bool json, std::string_view level, LogTarget target = LogTarget::kErrors);

/// @return lines that were dropped because nobody read them.
int64_t droppedLogLines();

/// Shows this clock's time in the lines of the current thread; null for none. For simulations.
void setLogClock(const TimeSource* clock);

/// Writes log lines behind one fixed prefix, such as `control:`.
class Logger {
 public:
  explicit Logger(std::string_view prefix);

  template <typename... Args>
  void debug(fmt::format_string<Args...> format, Args&&... args) const {
    if (enabled(spdlog::level::debug)) write(spdlog::level::debug, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void info(fmt::format_string<Args...> format, Args&&... args) const {
    if (enabled(spdlog::level::info)) write(spdlog::level::info, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void warn(fmt::format_string<Args...> format, Args&&... args) const {
    if (enabled(spdlog::level::warn)) write(spdlog::level::warn, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void error(fmt::format_string<Args...> format, Args&&... args) const {
    if (enabled(spdlog::level::err)) write(spdlog::level::err, fmt::format(format, std::forward<Args>(args)...));
  }

 private:
  static bool enabled(spdlog::level::level_enum level) { return spdlog::default_logger_raw()->should_log(level); }
  void write(spdlog::level::level_enum level, const std::string& sentence) const;

  std::string prefix_;  // fixed at construction
};

}  // namespace driftlug::base
