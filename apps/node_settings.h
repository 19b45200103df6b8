/// Converts the settings of a node to the options of its components.
#pragma once

#include "base/network.h"
#include "descriptors/descriptor_shares.h"
#include "entry_server.h"
#include "lifecycle/planned_stop.h"
#include "memory/body_budget.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"

namespace driftlug::apps {

/// Declares the ranges that loadSettings() checks.
void declareNodeSettings();

node::ControlOptions controlOptionsFromSettings();
backpressure::notice_headers noticeHeadersFromSettings();
node::EntryOptions entryOptionsFromSettings();
node::EndpointOptions endpointOptionsFromSettings();
EntryHeaders entryHeadersFromSettings();

/// @return the address on which this node accepts calls of other nodes; port 0 if it accepts none.
base::Address frameAddressFromSettings();

/// @return the timeouts of a planned stop.
lifecycle::stop_times stopTimesFromSettings();

/// @return the bound of the bodies that this node holds.
memory::body_budget_options bodyBudgetFromSettings();

/// @return the descriptor limits by use.
descriptors::descriptor_shares descriptorSharesFromSettings();

/// @return service, address and zone of this node's endpoint as other nodes reach it.
wire::EndpointState endpointStateFromSettings();

}  // namespace driftlug::apps
