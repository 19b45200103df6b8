#include "trace_command.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <fstream>

namespace driftlug::apps {
namespace {

/// @return whether a line mentions the call; another call whose id has this id as a prefix does not match.
bool mentionsCall(const std::string& line, const std::string& callId) {
  const std::string field = "call=" + callId;
  for (auto at = line.find(field); at != std::string::npos; at = line.find(field, at + 1)) {
    const auto end = at + field.size();
    const bool whole = end == line.size() || std::isalnum(static_cast<unsigned char>(line[end])) == 0;
    if (whole) return true;
  }
  return false;
}

}  // namespace

std::vector<TraceLine> traceLines(const std::string& callId, const std::vector<std::string>& files) {
  std::vector<TraceLine> lines;
  for (const auto& file : files) {
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line)) {
      if (!mentionsCall(line, callId)) continue;
      const auto blank = line.find(' ');
      lines.push_back({line.substr(0, blank), file, blank == std::string::npos ? "" : line.substr(blank + 1)});
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& left, const auto& right) { return left.time < right.time; });
  return lines;
}

bool printTrace(const std::string& callId, const std::vector<std::string>& files) {
  const auto lines = traceLines(callId, files);
  for (const auto& line : lines) std::printf("%s %s: %s\n", line.time.c_str(), line.file.c_str(), line.text.c_str());
  return !lines.empty();
}

}  // namespace driftlug::apps
