/// `driftlugctl trace`: all that processes logged of one call, in order.
#pragma once

#include <string>
#include <vector>

namespace driftlug::apps {

/// One line of a log.
struct TraceLine {
  std::string time;  ///< as the process wrote it; sorts as text
  std::string file;
  std::string text;  ///< behind the time
};

/// Picks the lines that name a call as `call=ID`, or a call made on its behalf (`call=ID.`), ordered by time and,
/// within a file, as they stand.
std::vector<TraceLine> traceLines(const std::string& callId, const std::vector<std::string>& files);

/// Prints the lines of a call.
/// @return false when no file names it
bool printTrace(const std::string& callId, const std::vector<std::string>& files);

}  // namespace driftlug::apps
