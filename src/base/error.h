/// Typed errors: every absl::Status of the project carries an ErrorCode payload.
#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace driftlug::base {

/// Error codes of the project. The numbers are sent on the wire and must not change.
enum class ErrorCode : int {
  kNone = 0,
  // settings and command line
  kBadSetting = 1,
  kBadFlag = 2,
  // table and edits
  kInvalidEdit = 10,
  kRevisionConflict = 11,
  kRequestIdExpired = 12,
  kNotLeader = 13,
  kNotAccepted = 14,
  kOutcomeUnknown = 15,
  kRowNotFound = 16,
  kBadRequestBody = 17,
  kBodyTooLarge = 18,
  kRequestIdReused = 19,
  // storage
  kStorageCorrupt = 20,
  kStorageFailed = 21,
  kStorageFull = 22,
  // frames and connections
  kBadFrame = 30,
  kFrameTooLarge = 31,
  kConnectionLost = 32,
  kConnectFailed = 33,
  // calls
  kNoRoute = 40,
  kNoEndpoint = 41,
  kOverloaded = 42,
  kDraining = 43,
  kDeadlineExceeded = 44,
  kBackendFailed = 45,
  kBackendUnreachable = 46,
  kNoTable = 47,
  kKeyReused = 48,
  kLedgerUnavailable = 49,
  kBackendRefused = 50,
  kWrongEndpoint = 51,
  kBackendCrashed = 52,
  kRequestHeld = 53,
  kOnProbation = 54,
  kStaleRequest = 55,
  kVersionNotReleased = 56,
  kUnknownKey = 57,
  kOverQuota = 58,
  kQuotaUnavailable = 59,
  kZoneEvacuated = 60,
  kBackendCold = 61,
  kBackendRateLimited = 62,
  kNestedOverloaded = 63,  ///< a service that the back end calls for this request has no room
  kNoTimeLeft = 64,        ///< no back end can answer before the caller's deadline
  kNoBodyMemory = 65,      ///< the node has no room for the body
  kNodeStopped = 67,       ///< the node ended before the back end answered
  // controllers
  kForming = 66,  ///< the cluster has too few voters yet to keep an edit
};

/// @return the stable lower-case name of a code, as used in JSON bodies and logs.
std::string_view errorName(ErrorCode code);

/// @return a status with the code as payload and a short sentence as its message.
absl::Status makeError(ErrorCode code, std::string_view message);

/// @return the message of a status as a standard string.
std::string errorText(const absl::Status& status);

/// @return the code of a status; kNone for OK and for statuses that makeError() did not create.
ErrorCode errorCodeOf(const absl::Status& status);

}  // namespace driftlug::base
