/// Fingerprints of calls. The entry node and the node of the back end compute the same fingerprint for a call.
#pragma once

#include <string_view>

#include "node/call_types.h"
#include "quarantine/request_fingerprint.h"

namespace driftlug::node {

quarantine::request_fingerprint fingerprintOf(const InboundCall& call);

/// @param body the complete body, whether or not it is a part of `call`
quarantine::request_fingerprint fingerprintOf(const wire::CallRequest& call, std::string_view body);

}  // namespace driftlug::node
