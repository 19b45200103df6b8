#include "base/error.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

namespace driftlug::base {
namespace {

constexpr char kPayloadUrl[] = "driftlug/error-code";

absl::StatusCode statusCodeFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNone:
      return absl::StatusCode::kOk;
    case ErrorCode::kBadSetting:
    case ErrorCode::kBadFlag:
    case ErrorCode::kInvalidEdit:
    case ErrorCode::kBadRequestBody:
    case ErrorCode::kBodyTooLarge:
    case ErrorCode::kBadFrame:
    case ErrorCode::kFrameTooLarge:
    case ErrorCode::kKeyReused:
    case ErrorCode::kRequestIdReused:
      return absl::StatusCode::kInvalidArgument;
    case ErrorCode::kRevisionConflict:
    case ErrorCode::kRequestIdExpired:
      return absl::StatusCode::kFailedPrecondition;
    case ErrorCode::kRowNotFound:
    case ErrorCode::kNoRoute:
      return absl::StatusCode::kNotFound;
    case ErrorCode::kStorageCorrupt:
      return absl::StatusCode::kDataLoss;
    case ErrorCode::kStorageFull:
    case ErrorCode::kOverloaded:
      return absl::StatusCode::kResourceExhausted;
    case ErrorCode::kDeadlineExceeded:
      return absl::StatusCode::kDeadlineExceeded;
    case ErrorCode::kOutcomeUnknown:
      return absl::StatusCode::kUnknown;
    default:
      return absl::StatusCode::kUnavailable;
  }
}

}  // namespace

std::string_view errorName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNone:
      return "none";
    case ErrorCode::kBadSetting:
      return "bad_setting";
    case ErrorCode::kBadFlag:
      return "bad_flag";
    case ErrorCode::kInvalidEdit:
      return "invalid_edit";
    case ErrorCode::kRevisionConflict:
      return "revision_conflict";
    case ErrorCode::kRequestIdExpired:
      return "request_id_expired";
    case ErrorCode::kNotLeader:
      return "not_leader";
    case ErrorCode::kNotAccepted:
      return "not_accepted";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kRowNotFound:
      return "row_not_found";
    case ErrorCode::kBadRequestBody:
      return "bad_request_body";
    case ErrorCode::kBodyTooLarge:
      return "body_too_large";
    case ErrorCode::kRequestIdReused:
      return "request_id_reused";
    case ErrorCode::kStorageCorrupt:
      return "storage_corrupt";
    case ErrorCode::kStorageFailed:
      return "storage_failed";
    case ErrorCode::kStorageFull:
      return "storage_full";
    case ErrorCode::kBadFrame:
      return "bad_frame";
    case ErrorCode::kFrameTooLarge:
      return "frame_too_large";
    case ErrorCode::kConnectionLost:
      return "connection_lost";
    case ErrorCode::kConnectFailed:
      return "connect_failed";
    case ErrorCode::kNoRoute:
      return "no_route";
    case ErrorCode::kNoEndpoint:
      return "no_endpoint";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDraining:
      return "draining";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kBackendFailed:
      return "backend_failed";
    case ErrorCode::kBackendUnreachable:
      return "backend_unreachable";
    case ErrorCode::kNoTable:
      return "no_table";
    case ErrorCode::kLedgerUnavailable:
      return "ledger_unavailable";
    case ErrorCode::kKeyReused:
      return "key_reused";
    case ErrorCode::kBackendRefused:
      return "backend_refused";
    case ErrorCode::kWrongEndpoint:
      return "wrong_endpoint";
    case ErrorCode::kBackendCrashed:
      return "backend_crashed";
    case ErrorCode::kRequestHeld:
      return "request_held";
    case ErrorCode::kOnProbation:
      return "on_probation";
    case ErrorCode::kUnknownKey:
      return "unknown_key";
    case ErrorCode::kOverQuota:
      return "over_quota";
    case ErrorCode::kQuotaUnavailable:
      return "quota_unavailable";
    case ErrorCode::kZoneEvacuated:
      return "zone_evacuated";
    case ErrorCode::kBackendCold:
      return "backend_cold";
    case ErrorCode::kBackendRateLimited:
      return "backend_rate_limited";
    case ErrorCode::kNestedOverloaded:
      return "nested_overloaded";
    case ErrorCode::kNoTimeLeft:
      return "no_time_left";
    case ErrorCode::kNoBodyMemory:
      return "no_body_memory";
    case ErrorCode::kNodeStopped:
      return "node_stopped";
    case ErrorCode::kForming:
      return "cluster_forming";
    case ErrorCode::kVersionNotReleased:
      return "version_not_released";
    case ErrorCode::kStaleRequest:
      return "stale_request";
  }
  return "unnamed";
}

absl::Status makeError(ErrorCode code, std::string_view message) {
  absl::Status status(statusCodeFor(code), absl::string_view(message.data(), message.size()));
  status.SetPayload(kPayloadUrl, absl::Cord(std::to_string(static_cast<int>(code))));
  return status;
}

std::string errorText(const absl::Status& status) { return std::string(status.message()); }

ErrorCode errorCodeOf(const absl::Status& status) {
  const auto payload = status.GetPayload(kPayloadUrl);
  if (!payload) return ErrorCode::kNone;
  int number = 0;
  if (!absl::SimpleAtoi(std::string(*payload), &number)) return ErrorCode::kNone;
  return static_cast<ErrorCode>(number);
}

}  // namespace driftlug::base
