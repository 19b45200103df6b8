#include "simulation/traffic.h"

namespace driftlug::simulation {

std::string_view messageKindName(size_t kind) {
  static constexpr std::array<std::string_view, kMessageKinds> kNames = {
      "Hello",          "VoteRequest",   "VoteResponse",      "AppendRequest", "AppendResponse", "SnapshotChunk",
      "SnapshotAck",    "TimeoutNow",    "RelaySubscribe",    "NotLeader",     "TableUpdate",    "Heartbeat",
      "ConfirmRequest", "ConfirmReply",  "ConvergenceReport", "NodeSubscribe", "SliceUpdate",    "SliceApplied",
      "SliceRejected",  "NodeHeartbeat", "RetryLater",        "RelayHeld",     "EndpointStates", "CallRequest",
      "CallResponse",   "CallCancel",    "KeepAlive",         "LedgerRequest", "LedgerReply"};
  return kind < kNames.size() ? kNames[kind] : "unknown";
}

}  // namespace driftlug::simulation
