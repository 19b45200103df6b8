/// `driftlugctl trace`: prints the log lines of one call from several processes in order of time.
#pragma once

#include <string>
#include <vector>

namespace driftlug::apps {

/// One line of a log.
struct TraceLine {
  std::string time;  ///< timestamp as logged; sorts lexicographically
  std::string file;
  std::string text;  ///< rest of the line after the timestamp
};

/// Returns the lines that contain `call=ID`, or `call=ID.` for a call made on its behalf, sorted by time. Lines of one
/// file with equal times keep their order.
std::vector<TraceLine> traceLines(const std::string& callId, const std::vector<std::string>& files);

/// Prints the lines of a call.
/// @return false if no file mentions it
bool printTrace(const std::string& callId, const std::vector<std::string>& files);

}  // namespace driftlug::apps
