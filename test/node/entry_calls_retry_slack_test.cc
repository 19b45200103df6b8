/// Total retries of all nodes, at several fleet sizes.
#include "entry_calls_fixture.h"

namespace driftlug::node {
namespace {

constexpr double kSlack = 60;

/// Simulates one node of a fleet in which every back end refuses every call.
/// @return the node's retries beyond those that its calls earn
int retriesOfOneNode(int endpoints) {
  EntryCallsFixture fixture;
  EntryOptions options;
  options.nodeId = "node";
  options.zone = "zone-1";
  options.generateIdempotencyKeys = false;
  options.defaultRetry = {2, 0};
  options.retryBurst = 3;
  options.retrySlack = kSlack;
  fixture.entry = std::make_unique<EntryCalls>(options, fixture.process, base::RandomSource(3), fixture.network);
  table::Table rows;
  rows.put(table::storeRow(routeRow("safe", "/safe/", true)));
  fixture.entry->useTable(std::make_shared<routing::RoutingTable>(rows, 1));
  std::vector<wire::EndpointState> states;
  for (int i = 0; i < endpoints; ++i) {
    states.push_back(endpoint("i-" + std::to_string(i), 1 + i % 200, wire::EndpointCondition::LIVE));
  }
  fixture.entry->onEndpointStates(states);
  fixture.runFor(base::milliseconds(300));
  fixture.openAll();
  for (int i = 0; i < 12; ++i) {
    fixture.call("/safe/1");
    fixture.respond(CallOutcome::NOT_RUN, ErrorCode::kBackendRefused);
    if (fixture.answers.size() <= static_cast<size_t>(i)) {
      fixture.respond(CallOutcome::NOT_RUN, ErrorCode::kBackendRefused);
    }
  }
  return static_cast<int>(fixture.entry->counters().retries);
}

}  // namespace

TEST_CASE("all nodes together retry no more than the slack allows, at any size") {
  CHECK(retriesOfOneNode(10) <= 3);
  CHECK(retriesOfOneNode(60) * 60 <= kSlack);
  CHECK(retriesOfOneNode(30) * 30 <= kSlack);
}

}  // namespace driftlug::node
