/// The entry side of a node with two endpoints, on a virtual clock.
#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "node/entry_calls.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {

using base::ErrorCode;
using wire::CallOutcome;

inline wire::Row routeRow(const std::string& name, const std::string& prefix, bool repeatable) {
  wire::Row row;
  row.key = table::makeKey(wire::RowKind::ROUTE, name);
  row.__isset.routeRow = true;
  row.routeRow.host = "shop.example";
  row.routeRow.pathPrefix = prefix;
  row.routeRow.repeatable = repeatable;
  row.routeRow.timeoutMs = 2000;
  row.routeRow.maxAttempts = 2;
  row.routeRow.targetLatencyMs = 400;
  row.routeRow.priority = 1;
  wire::WeightedService share;
  share.serviceName = "records";
  share.weight = 100;
  row.routeRow.shares.push_back(share);
  return row;
}

inline wire::EndpointState endpoint(const std::string& name, int host, wire::EndpointCondition::type condition) {
  wire::EndpointState state;
  state.endpoint = name;
  state.serviceName = "records";
  state.condition = condition;
  state.incarnation = 1;
  state.sequence = condition == wire::EndpointCondition::LIVE ? 1 : 2;
  state.address = "10.0.0." + std::to_string(host);
  state.port = 7000;
  state.zone = "zone-" + std::to_string(host);
  state.slots = 4;
  return state;
}

/// An entry side with two announced endpoints, in its own zone and in another.
struct EntryCallsFixture {
  explicit EntryCallsFixture(double hedgeAfterShare = 0.5, size_t inlineBodyBytes = 4096)
      : process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000}) {
    process.start();
    EntryOptions options;
    options.nodeId = "node";
    options.zone = "zone-1";
    options.generateIdempotencyKeys = false;
    options.defaultRetry = {2, 100};
    options.retryBurst = 4;
    options.fullFor = base::milliseconds(100);
    options.hedgeAfterShare = hedgeAfterShare;
    options.inlineBodyBytes = inlineBodyBytes;
    options.picker.policy = routing::PickPolicy::kNearestIdle;
    entry = std::make_unique<EntryCalls>(options, process, base::RandomSource(3), network);
    table::Table rows;
    rows.put(table::storeRow(routeRow("safe", "/safe/", true)));
    rows.put(table::storeRow(routeRow("once", "/once/", false)));
    entry->useTable(std::make_shared<routing::RoutingTable>(rows, 1));
    entry->onEndpointStates(
        {endpoint("near", 1, wire::EndpointCondition::LIVE), endpoint("far", 2, wire::EndpointCondition::LIVE)});
    openAll();
  }

  void openAll() {
    for (const auto& [connection, address] : network.connected) entry->onOpen(connection, {});
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  CallId call(const std::string& path) {
    InboundCall inbound;
    inbound.method = "GET";
    inbound.host = "shop.example";
    inbound.path = path;
    const auto id = entry->begin(inbound, [this](CallAnswer got) { answers.push_back(std::move(got)); });
    runFor(base::milliseconds(1));
    return id;
  }

  const test::RecordingNetwork::Sent& lastRequest() {
    for (auto item = network.sent.rbegin(); item != network.sent.rend(); ++item) {
      if (std::holds_alternative<wire::CallRequest>(item->message)) return *item;
    }
    FAIL("no request was sent");
    return network.sent.front();
  }

  void respond(CallOutcome::type outcome, ErrorCode error) {
    const auto& last = lastRequest();
    wire::CallResponse response;
    response.callId = std::get<wire::CallRequest>(last.message).callId;
    response.outcome = outcome;
    response.errorCode = static_cast<int>(error);
    response.httpStatus = 200;
    entry->onMessage(last.connection, response);
    runFor(base::milliseconds(1));
  }

  std::vector<std::string> requestedEndpoints() {
    std::vector<std::string> names;
    for (const auto& request : network.all<wire::CallRequest>()) names.push_back(request.endpoint);
    return names;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  std::unique_ptr<EntryCalls> entry;
  std::vector<CallAnswer> answers;
};

}  // namespace driftlug::node
