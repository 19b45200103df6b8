#include "base/log.h"

#include "base/json_text.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace driftlug::base {
namespace {

bool jsonFormat = false;
int64_t droppedLines = 0;

/// Writes to standard output without blocking. Lines up to PIPE_BUF bytes are written to a pipe completely or not at
/// all.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  NonBlockingSink() { ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written < static_cast<ssize_t>(line.size())) ++droppedLines;
  }
  void flush_() override {}
};
thread_local const TimeSource* logClock = nullptr;

}  // namespace

int64_t droppedLogLines() { return droppedLines; }

void configureLogs(bool json, std::string_view level, LogTarget target) {
  jsonFormat = json;
  std::shared_ptr<spdlog::sinks::sink> sink;
  if (target == LogTarget::kOutput) {
    sink = std::make_shared<NonBlockingSink>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  }
  auto logger = std::make_shared<spdlog::logger>("driftlug", sink);
  logger->set_pattern(json ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %l %v");
  logger->set_level(spdlog::level::from_str(std::string(level)));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void setLogClock(const TimeSource* clock) { logClock = clock; }

Logger::Logger(std::string_view prefix) : prefix_(prefix) {}

void Logger::write(spdlog::level::level_enum level, const std::string& message) const {
  auto* logger = spdlog::default_logger_raw();
  if (logClock != nullptr) {
    const auto virtualSeconds = std::chrono::duration<double>(logClock->now().time_since_epoch()).count();
    logger->log(level, "[{:.6f}] {}: {}", virtualSeconds, prefix_, message);
    return;
  }
  if (!jsonFormat) {
    logger->log(level, "{}: {}", prefix_, message);
    return;
  }
  const auto name = spdlog::level::to_string_view(level);
  const auto seconds = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  const nlohmann::json line = {
      {"time", seconds}, {"level", std::string(name.data(), name.size())}, {"part", prefix_}, {"message", message}};
  logger->log(level, jsonText(line));
}

}  // namespace driftlug::base
