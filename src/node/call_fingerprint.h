/// Fingerprints of calls, alike at the node that takes a call from its caller and at the one beside the back end.
#pragma once

#include "node/call_types.h"
#include "quarantine/request_fingerprint.h"

namespace driftlug::node {

quarantine::request_fingerprint fingerprintOf(const InboundCall& call);

quarantine::request_fingerprint fingerprintOf(const wire::CallRequest& call);

}  // namespace driftlug::node
