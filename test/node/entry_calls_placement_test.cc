#include "entry_calls_fixture.h"

namespace driftlug::node {
namespace {

struct PlacementFixture : EntryCallsFixture {
  PlacementFixture() { runFor(base::seconds(10)); }  // past the slow start of the endpoints

  static wire::EndpointLoad load(int waiting) {
    wire::EndpointLoad load;
    load.running = waiting > 0 ? 4 : 0;
    load.waiting = waiting;
    load.slots = 4;
    load.pacePercent = 100;
    load.waitMs = 25 * waiting;
    load.runMs = 100;
    return load;
  }

  void accept(base::ConnectionId connection, int64_t call, int waiting) {
    wire::CallAccepted accepted;
    accepted.callId = call;
    accepted.__set_load(load(waiting));
    entry->onMessage(connection, accepted);
  }

  void answerLast(int bodyBytes = 0) {
    wire::CallResponse response;
    response.callId = lastCallId();
    response.outcome = CallOutcome::COMPLETED;
    response.httpStatus = 200;
    response.bodyBytes = bodyBytes;
    response.__set_load(load(0));
    entry->onMessage(lastRequest().connection, response);
  }

  int64_t lastCallId() { return std::get<wire::CallRequest>(lastRequest().message).callId; }
};

}  // namespace

// Guards against loads that reach the node and are not used: "near" is in the own zone and has free slots of its own
// count.
TEST_CASE_METHOD(PlacementFixture, "a queue that an endpoint reports with a call moves the next call to another zone") {
  call("/safe/1");
  CHECK(requestedEndpoints().back() == "near");
  accept(lastRequest().connection, lastCallId(), 20);
  call("/safe/2");
  CHECK(requestedEndpoints().back() == "far");
  CHECK(entry->placementCounters().byCompletion == 1);
  CHECK(entry->placementCounters().leftZone == 1);
}

TEST_CASE_METHOD(PlacementFixture, "a load from another connection than that of its call is ignored") {
  call("/safe/1");
  accept(lastRequest().connection + 100, lastCallId(), 20);
  call("/safe/2");
  CHECK(requestedEndpoints().back() == "near");
  CHECK(entry->placementCounters().byCompletion == 0);
}

TEST_CASE_METHOD(PlacementFixture, "an idle endpoint that answers with server errors does not attract calls") {
  for (int i = 0; i < 4; ++i) {
    call("/safe/" + std::to_string(i));
    const auto& last = lastRequest();
    wire::CallResponse response;
    response.callId = lastCallId();
    response.outcome = CallOutcome::COMPLETED;
    response.httpStatus = 500;
    response.__set_load(load(0));
    if (std::get<wire::CallRequest>(last.message).endpoint == "near") entry->onMessage(last.connection, response);
  }
  call("/safe/last");
  CHECK(requestedEndpoints().back() == "far");
}

// Guards against an attempt that the placement counts as outstanding for good: its endpoint would look cut off.
TEST_CASE_METHOD(PlacementFixture, "an endpoint whose answer announced an impossible size is used again later") {
  call("/safe/1");
  CHECK(requestedEndpoints().back() == "near");
  answerLast(-1);
  answerLast();  // the retry, at the other endpoint
  runFor(base::seconds(60));
  call("/safe/2");
  answerLast();
  call("/safe/3");
  CHECK(requestedEndpoints().back() == "near");
}

}  // namespace driftlug::node
