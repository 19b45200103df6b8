/// Output and exit codes shared by all commands of driftlugctl.
#pragma once

#include <string>
#include <vector>

#include "control_api_client.h"

namespace driftlug::apps {

/// Exit codes of driftlugctl.
enum ExitCode {
  kDone = 0,
  kFailed = 1,
  kBadInput = 2,
  kConflict = 3,
  kInvalid = 4,
  kNotAccepted = 5,
  kUnknownOutcome = 6,
  kWaitTimedOut = 7,
  kNotFound = 8,
};

using Arguments = std::vector<std::string>;

int exitCodeFor(const ApiAnswer& answer);

/// Prints the body of an answer, or an error line if no controller answered.
/// @param compact prints the JSON on one line
/// @return the exit code for the answer
int printAnswer(const ApiAnswer& answer, bool compact);

/// Prints a usage error.
/// @return kBadInput
int usageError(const std::string& message);

}  // namespace driftlug::apps
