/// What all commands of driftlugctl print, and the exit codes they end with.
#pragma once

#include <string>
#include <vector>

#include "control_api_client.h"

namespace driftlug::apps {

/// Exit codes by kind of answer.
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

/// Prints an answer's body, or why there is none.
/// @return its exit code
int printAnswer(const ApiAnswer& answer, bool compact);

/// Prints what is wrong with the arguments.
/// @return kBadInput
int usageError(const std::string& message);

}  // namespace driftlug::apps
