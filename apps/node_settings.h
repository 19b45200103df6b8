/// The settings of a node, as options of its parts.
#pragma once

#include "base/network.h"
#include "descriptors/descriptor_shares.h"
#include "entry_server.h"
#include "lifecycle/planned_stop.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"

namespace driftlug::apps {

/// Declares the ranges that loadSettings() checks.
void declareNodeSettings();

node::ControlOptions controlOptionsFromSettings();
node::EntryOptions entryOptionsFromSettings();
node::EndpointOptions endpointOptionsFromSettings();
EntryHeaders entryHeadersFromSettings();

/// @return where this node takes calls of other nodes; port 0 when it takes none.
base::Address frameAddressFromSettings();

/// @return the times of a planned stop.
lifecycle::stop_times stopTimesFromSettings();

/// @return the bounds of what opens descriptors.
descriptors::descriptor_shares descriptorSharesFromSettings();

/// @return where others reach the endpoint beside this node.
wire::EndpointState endpointStateFromSettings();

}  // namespace driftlug::apps
