#include "ctl_output.h"

#include <cstdio>

namespace driftlug::apps {

int exitCodeFor(const ApiAnswer& answer) {
  switch (answer.error) {
    case base::ErrorCode::kNone:
      return answer.status >= 200 && answer.status < 300 ? kDone : kNotAccepted;
    case base::ErrorCode::kRevisionConflict:
    case base::ErrorCode::kRequestIdReused:
    case base::ErrorCode::kRequestIdExpired:
      return kConflict;
    case base::ErrorCode::kInvalidEdit:
      return kInvalid;
    case base::ErrorCode::kBadRequestBody:
      return kBadInput;
    case base::ErrorCode::kRowNotFound:
      return kNotFound;
    case base::ErrorCode::kOutcomeUnknown:
      return kUnknownOutcome;
    default:
      return kNotAccepted;
  }
}

int printAnswer(const ApiAnswer& answer, bool compact) {
  if (answer.status == 0) std::fprintf(stderr, "not_accepted: no controller answered in time\n");
  if (answer.status != 0) std::printf("%s\n", answer.body.dump(compact ? -1 : 2).c_str());
  return exitCodeFor(answer);
}

int usageError(const std::string& message) {
  std::fprintf(stderr, "bad_flag: %s\n", message.c_str());
  return kBadInput;
}

}  // namespace driftlug::apps
