/// Reservations for refused requests and backpressure of nested calls, on the endpoint side.
#include <catch2/catch.hpp>
#include <memory>

#include "node/endpoint_calls.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {
namespace {

using base::ErrorCode;

/// Runs each request for 100 ms.
class TimedBackend : public BackendClient {
 public:
  explicit TimedBackend(base::Scheduler& scheduler) : scheduler_(scheduler) {}
  uint64_t send(const wire::CallRequest& request, base::Duration, std::function<void(BackendAnswer)> done) override {
    started.push_back(request.callId);
    scheduler_.schedule(base::milliseconds(100), [done, now = next] { done(now); });
    return started.size();
  }
  void cancel(uint64_t) override {}

  BackendAnswer next{BackendOutcome::kCompleted, false, 200, {}, ""};
  std::vector<int64_t> started;

 private:
  base::Scheduler& scheduler_;
};

/// An endpoint with two slots and a queue of eight.
struct ReturnsFixture {
  explicit ReturnsFixture(bool reservations = true)
      : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 1}), backend(process) {
    process.start();
    options.service = "records";
    options.defaultSlots = 2;
    options.defaultQueue = 8;
    options.waitWithinTarget = true;
    options.overloadRetryAfter = base::milliseconds(1000);
    options.nodeId = "node";
    options.reservations = reservations;
    start();
    // The limiter and the run times need samples.
    for (int i = 0; i < 4; ++i) call();
    runFor(base::seconds(1));
    network.sent.clear();
  }

  void start() { calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr); }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  int64_t call(int64_t reservation = 0, int waitedMs = 0, int remainingMs = 1500, int targetMs = 300,
               bool runOnce = false) {
    wire::CallRequest request;
    request.callId = ++lastCall;
    request.serviceName = "records";
    request.method = "GET";
    request.path = "/";
    request.priority = 1;
    request.targetLatencyMs = targetMs;
    request.remainingMs = remainingMs;
    request.waitedMs = waitedMs;
    request.reservationId = reservation;
    request.runOnce = runOnce;
    calls->onRequest(1, request);
    return lastCall;
  }

  /// Fills the slots and the queue up to what is in time.
  void fill() {
    for (int i = 0; i < 12; ++i) call();
  }

  std::vector<wire::CallResponse> refusals(ErrorCode error) {
    std::vector<wire::CallResponse> found;
    for (const auto& response : network.all<wire::CallResponse>()) {
      if (response.errorCode == static_cast<int>(error)) found.push_back(response);
    }
    return found;
  }

  std::optional<wire::CallResponse> responseTo(int64_t callId) {
    for (const auto& response : network.all<wire::CallResponse>()) {
      if (response.callId == callId) return response;
    }
    return std::nullopt;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  TimedBackend backend;
  EndpointOptions options;
  std::unique_ptr<EndpointCalls> calls;
  int64_t lastCall = 0;
};

struct DisabledFixture : ReturnsFixture {
  DisabledFixture() : ReturnsFixture(false) {}
};

}  // namespace

// Guards against callers that return when there is no capacity, and against promises beyond the slots.
TEST_CASE_METHOD(ReturnsFixture,
                 "refusals offer at most as many reservations as slots, within a third of the time left") {
  fill();
  int offered = 0;
  for (const auto& refusal : refusals(ErrorCode::kOverloaded)) {
    if (refusal.reservationId == 0) continue;
    ++offered;
    CHECK(refusal.retryAfterMs == refusal.reservedInMs);
    CHECK(refusal.reservedInMs > 0);
    CHECK(refusal.reservedInMs <= 500);
  }
  CHECK(offered == 2);
  CHECK(refusals(ErrorCode::kOverloaded).size() > 2);
  CHECK(calls->reservations().offered == 2);
}

// Guards against a caller that has waited for its time and is refused again.
TEST_CASE_METHOD(ReturnsFixture, "a returning request is not refused while its reservation holds, though others are") {
  fill();
  const auto refusal = refusals(ErrorCode::kOverloaded).at(0);
  REQUIRE(refusal.reservationId != 0);
  runFor(base::milliseconds(refusal.reservedInMs));
  for (int i = 0; i < 12; ++i) call();
  const auto without = call(0, refusal.reservedInMs, 1500 - refusal.reservedInMs);
  const auto with = call(refusal.reservationId, refusal.reservedInMs, 1500 - refusal.reservedInMs);
  CHECK(responseTo(without)->errorCode == static_cast<int>(ErrorCode::kOverloaded));
  CHECK_FALSE(responseTo(with));
  // An id that is used twice is as good as none.
  const auto twice = call(refusal.reservationId, refusal.reservedInMs, 1500 - refusal.reservedInMs);
  CHECK(responseTo(twice)->errorCode == static_cast<int>(ErrorCode::kOverloaded));
  CHECK(responseTo(twice)->reservationId == 0);
  runFor(base::seconds(2));
  CHECK(responseTo(with)->outcome == wire::CallOutcome::COMPLETED);
  CHECK(calls->reservations().used == 1);
  CHECK(calls->reservations().expired == 1);
}

// Guards against in-time requests that become late because of a request that is late already.
TEST_CASE_METHOD(ReturnsFixture, "a returning request that is late starts behind those that are in time") {
  fill();
  const auto refusal = refusals(ErrorCode::kOverloaded).at(0);
  runFor(base::milliseconds(refusal.reservedInMs));
  const auto inTime = {call(), call(), call()};
  const auto late = call(refusal.reservationId, 350, 1150);
  const auto inTimeLater = call();
  runFor(base::seconds(2));
  const auto position = [this](int64_t id) { return std::find(backend.started.begin(), backend.started.end(), id); };
  REQUIRE(position(late) != backend.started.end());
  for (const auto id : inTime) CHECK(position(id) < position(late));
  CHECK(position(inTimeLater) < position(late));
}

// Guards against a returning request that waits behind newer ones although it can be in time.
TEST_CASE_METHOD(ReturnsFixture, "a returning request that can be in time starts before new ones") {
  // A target far away: requests are refused since the queue is full.
  for (int i = 0; i < 12; ++i) call(0, 0, 6000, 3000);
  const auto refusal = refusals(ErrorCode::kOverloaded).at(0);
  REQUIRE(refusal.reservationId != 0);
  runFor(base::milliseconds(refusal.reservedInMs));
  for (int i = 0; i < 4; ++i) call(0, 0, 6000, 3000);
  const auto queued = lastCall;
  const auto back = call(refusal.reservationId, refusal.reservedInMs, 6000 - refusal.reservedInMs, 3000);
  runFor(base::seconds(3));
  const auto position = [this](int64_t id) { return std::find(backend.started.begin(), backend.started.end(), id); };
  CHECK(position(back) < position(queued));
}

// Guards against a wait without a point: the caller gets an answer at once instead of at its deadline.
TEST_CASE_METHOD(ReturnsFixture,
                 "a request that can't be answered before its deadline is refused at once, as not run") {
  fill();
  const auto id = call(0, 0, 120);
  const auto refusal = responseTo(id);
  REQUIRE(refusal);
  CHECK(refusal->errorCode == static_cast<int>(ErrorCode::kNoTimeLeft));
  CHECK(refusal->outcome == wire::CallOutcome::NOT_RUN);
  CHECK(refusal->retryAfterMs == 120);
  CHECK(refusal->reservationId == 0);
  runFor(base::seconds(2));
  CHECK(std::find(backend.started.begin(), backend.started.end(), id) == backend.started.end());
}

// Guards against a refused call, or a call whose back end is only slow, that counts as having no time.
TEST_CASE_METHOD(ReturnsFixture, "a request with little time goes on to a back end with a free slot") {
  const auto id = call(0, 0, 60);
  CHECK_FALSE(responseTo(id));
  CHECK(backend.started.back() == id);
}

// Guards against capacity that is lost with callers that don't return, or whose node was killed.
TEST_CASE_METHOD(ReturnsFixture, "reservations whose callers are lost expire, and their capacity goes to others") {
  fill();
  calls->onClose(1);
  runFor(base::seconds(1));
  fill();
  CHECK(calls->reservations().offered == 4);
  CHECK(calls->reservations().expired == 2);
}

// Guards against a node that honours, or trips over, reservations of the run before it was killed.
TEST_CASE_METHOD(ReturnsFixture, "an id of an earlier run of the node is treated like none") {
  fill();
  const auto refusal = refusals(ErrorCode::kOverloaded).at(0);
  runFor(base::milliseconds(refusal.reservedInMs));
  start();
  fill();
  const auto before = calls->counters().refused;
  call(refusal.reservationId, refusal.reservedInMs, 1500 - refusal.reservedInMs);
  CHECK(calls->reservations().used == 0);
  CHECK(calls->counters().refused == before + 1);
  CHECK(responseTo(lastCall)->outcome == wire::CallOutcome::NOT_RUN);
}

// Guards against outer requests that cost a slot and are lost when their nested calls are refused.
TEST_CASE_METHOD(ReturnsFixture, "while nested calls lack capacity, most outer requests are refused before they run") {
  for (int i = 0; i < 60; ++i) {
    calls->onNestedBegan();
    calls->onNestedEnded(overload::nested_outcome::refused_for_capacity, base::milliseconds(1));
    runFor(base::milliseconds(10));
  }
  CHECK(calls->admittedShare() < 0.2);
  // A repeatable request goes on while a slot is free.
  call();
  CHECK(refusals(ErrorCode::kNestedOverloaded).empty());
  runFor(base::milliseconds(150));
  const auto before = backend.started.size();
  for (int i = 0; i < 10; ++i) {
    call(0, 0, 1500, 300, true);
    runFor(base::milliseconds(10));
  }
  const auto refused = refusals(ErrorCode::kNestedOverloaded);
  CHECK(refused.size() >= 7);
  CHECK(backend.started.size() - before == 10 - refused.size());
  CHECK(calls->counters().refusedForNested == static_cast<int64_t>(refused.size()));
  CHECK(refused[0].outcome == wire::CallOutcome::NOT_RUN);
  CHECK(refused[0].retryAfterMs >= 100);
}

// Guards against any change for deployments whose back ends don't report their load.
TEST_CASE_METHOD(DisabledFixture, "without load reports, refusals are as before") {
  for (int i = 0; i < 60; ++i) {
    calls->onNestedBegan();
    calls->onNestedEnded(overload::nested_outcome::refused_for_capacity, base::milliseconds(1));
    runFor(base::milliseconds(10));
  }
  CHECK(calls->admittedShare() == 1);
  fill();
  call(7, 0, 120);
  CHECK(refusals(ErrorCode::kNestedOverloaded).empty());
  CHECK(refusals(ErrorCode::kNoTimeLeft).empty());
  for (const auto& refusal : refusals(ErrorCode::kOverloaded)) {
    CHECK(refusal.reservationId == 0);
    CHECK(refusal.retryAfterMs == 1000);
  }
  CHECK_FALSE(refusals(ErrorCode::kOverloaded).empty());
  CHECK(calls->reservations().offered == 0);
}

}  // namespace driftlug::node
