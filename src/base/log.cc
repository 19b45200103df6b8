#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>

namespace driftlug::base {
namespace {

bool jsonForm = false;
thread_local const TimeSource* shownClock = nullptr;

}  // namespace

void configureLogs(bool json, std::string_view level) {
  jsonForm = json;
  auto logger = std::make_shared<spdlog::logger>("driftlug", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern(json ? "%v" : "%Y-%m-%dT%H:%M:%S.%e %l %v");
  logger->set_level(spdlog::level::from_str(std::string(level)));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void showLogTime(const TimeSource* clock) { shownClock = clock; }

Logger::Logger(std::string_view prefix) : prefix_(prefix) {}

void Logger::write(spdlog::level::level_enum level, const std::string& sentence) const {
  auto* logger = spdlog::default_logger_raw();
  if (shownClock != nullptr) {
    const auto virtualSeconds = std::chrono::duration<double>(shownClock->now().time_since_epoch()).count();
    logger->log(level, "[{:.6f}] {}: {}", virtualSeconds, prefix_, sentence);
    return;
  }
  if (!jsonForm) {
    logger->log(level, "{}: {}", prefix_, sentence);
    return;
  }
  const auto name = spdlog::level::to_string_view(level);
  const auto seconds = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  const nlohmann::json line = {
      {"time", seconds}, {"level", std::string(name.data(), name.size())}, {"part", prefix_}, {"message", sentence}};
  logger->log(level, line.dump());
}

}  // namespace driftlug::base
