/// Logging with a fixed prefix for each component.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace driftlug::base {

/// Destination of logs.
enum class LogTarget {
  kErrors,  ///< standard error, blocking: for tools that print results on standard output
  kOutput,  ///< standard output, non-blocking: lines are dropped if the reader is too slow
};

/// Configures logging for the process.
/// @param json write one JSON object per line instead of text
/// @param level spdlog name of the lowest level that is written
void configureLogs(bool json, std::string_view level, LogTarget target = LogTarget::kErrors);

/// @return number of lines dropped because the reader was too slow.
int64_t droppedLogLines();

/// Adds the time of a clock to the log lines of the current thread; null removes it. For simulations.
void setLogClock(const TimeSource* clock);

/// Writes log lines with a fixed prefix, such as `control:`.
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
  void write(spdlog::level::level_enum level, const std::string& message) const;

  std::string prefix_;  // fixed at construction
};

}  // namespace driftlug::base
