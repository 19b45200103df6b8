/// Fingerprints of calls. The entry node and the node of the back end compute the same fingerprint for a call.
#pragma once

#include "node/call_types.h"
#include "quarantine/request_fingerprint.h"

namespace driftlug::node {

quarantine::request_fingerprint fingerprintOf(const InboundCall& call);

quarantine::request_fingerprint fingerprintOf(const wire::CallRequest& call);

}  // namespace driftlug::node
