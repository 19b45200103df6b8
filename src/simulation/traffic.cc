#include "simulation/traffic.h"

#include <iterator>

namespace driftlug::simulation {

std::string_view messageKindName(size_t kind) {
  // One name per message kind, in the order of wire::Message; the number is checked below.
  static constexpr std::string_view kNames[] = {
      "Hello",           "VoteRequest",      "VoteResponse",      "AppendRequest", "AppendResponse", "SnapshotChunk",
      "SnapshotAck",     "TimeoutNow",       "RelaySubscribe",    "NotLeader",     "TableUpdate",    "Heartbeat",
      "ConfirmRequest",  "ConfirmReply",     "ConvergenceReport", "NodeSubscribe", "SliceUpdate",    "SliceApplied",
      "SliceRejected",   "NodeHeartbeat",    "RetryLater",        "RelayHeld",     "EndpointStates", "CallRequest",
      "CallResponse",    "CallCancel",       "KeepAlive",         "LedgerRequest", "LedgerReply",    "MemberList",
      "RelayList",       "StartCompression", "CallBodyGrant",     "CallBodyPiece", "CallAccepted",   "PackedFrame",
      "CallWithdraw",    "CrashReports",     "VersionReports",    "SeenVersions",  "QuotaAsk",       "QuotaGrant",
      "CallAnswerPiece", "CallAnswerCredit"};
  static_assert(std::size(kNames) == kMessageKinds);
  return kind < kMessageKinds ? kNames[kind] : "unknown";
}

}  // namespace driftlug::simulation
