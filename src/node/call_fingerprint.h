/// Fingerprints of calls, alike at the node that takes a call from its caller and at the one beside the back end.
#pragma once

#include <string_view>

#include "node/call_types.h"
#include "quarantine/request_fingerprint.h"

namespace driftlug::node {

/// @param callerService service beside the node where the call began; empty for none
quarantine::request_fingerprint fingerprintOf(const InboundCall& call, std::string_view callerService);

/// @param callerService service beside the node that sent the call; empty for none
quarantine::request_fingerprint fingerprintOf(const wire::CallRequest& call, std::string_view callerService);

}  // namespace driftlug::node
