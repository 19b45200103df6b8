/// Reservations of refused requests and outcomes of nested calls, on the entry side.
#include "entry_calls_fixture.h"

namespace driftlug::node {
namespace {

struct EntryReturnsFixture : EntryCallsFixture {
  EntryReturnsFixture() {
    entry->onNestedCalls([this] { ++began; },
                         [this](overload::nested_outcome outcome, base::Duration) { outcomes.push_back(outcome); });
  }

  void refuse(ErrorCode error, int64_t reservation = 0, int inMs = 0) {
    const auto last = lastRequest();
    wire::CallResponse response;
    response.callId = std::get<wire::CallRequest>(last.message).callId;
    response.outcome = CallOutcome::NOT_RUN;
    response.errorCode = static_cast<int>(error);
    response.reservationId = reservation;
    response.reservedInMs = inMs;
    response.retryAfterMs = inMs;
    entry->onMessage(last.connection, response);
    runFor(base::milliseconds(1));
  }

  void accept(bool nested) {
    const auto last = lastRequest();
    wire::CallAccepted accepted;
    accepted.callId = std::get<wire::CallRequest>(last.message).callId;
    accepted.nested = nested;
    entry->onMessage(last.connection, accepted);
  }

  wire::CallRequest last() { return std::get<wire::CallRequest>(lastRequest().message); }

  /// Has both endpoints refuse a call, the first with a reservation in 200 ms and the second in 100 ms.
  std::string refuseAtBoth(const std::string& path) {
    call(path);
    refuse(ErrorCode::kOverloaded, 71, 200);
    refuse(ErrorCode::kOverloaded, 72, 100);
    REQUIRE(answers.size() == 1);
    return last().endpoint;
  }

  int began = 0;
  std::vector<overload::nested_outcome> outcomes;
};

}  // namespace

// Guards against a caller that returns to an endpoint that has no place for it.
TEST_CASE_METHOD(EntryReturnsFixture, "a returning request goes to the endpoint of its earliest reservation, once") {
  const auto endpoint = refuseAtBoth("/safe/1");
  CHECK(answers[0].error == ErrorCode::kOverloaded);
  CHECK(answers[0].retryAfterMs >= 97);
  CHECK(answers[0].retryAfterMs <= 100);
  CHECK(entry->keptReservations() == 1);
  runFor(base::milliseconds(105));
  call("/safe/other");
  CHECK(last().reservationId == 0);
  call("/safe/1");
  CHECK(last().endpoint == endpoint);
  CHECK(last().reservationId == 72);
  CHECK(entry->keptReservations() == 0);
  call("/safe/1");
  CHECK(last().reservationId == 0);
}

// Guards against reservations of callers that don't return, which would be named long after they have expired.
TEST_CASE_METHOD(EntryReturnsFixture, "a reservation is not named after it has expired, or to another endpoint") {
  const auto endpoint = refuseAtBoth("/safe/1");
  runFor(base::milliseconds(250));
  call("/safe/1");
  CHECK(last().reservationId == 0);
  answers.clear();
  refuse(ErrorCode::kOverloaded, 73, 100);
  refuse(ErrorCode::kOverloaded, 74, 300);
  runFor(base::milliseconds(105));
  call("/safe/1");
  CHECK(last().reservationId == 73);
  const auto first = last().endpoint;
  refuse(ErrorCode::kDraining);
  CHECK(last().endpoint != first);
  CHECK(last().reservationId == 0);
}

// Guards against memory that grows with refused callers.
TEST_CASE("kept reservations are bounded in number and time") {
  EntryReturns returns;
  const base::TimePoint now{base::seconds(1)};
  const auto keyOf = [](uint64_t id) { return EntryReturns::Key{{id, 0}, "tenant"}; };
  for (uint64_t id = 0; id < 3 * EntryReturns::kMaxKept; ++id) returns.keep(keyOf(id), {"near", 1, now}, now);
  CHECK(returns.size() == EntryReturns::kMaxKept);
  CHECK(returns.take(keyOf(0), now));
  CHECK_FALSE(returns.take(keyOf(0), now));
  CHECK_FALSE(returns.take({{1, 0}, "another tenant"}, now));
  const auto later = now + base::milliseconds(150);
  CHECK_FALSE(returns.take(keyOf(1), later));
  returns.keep(keyOf(9999), {"near", 1, later}, later);
  returns.keep(keyOf(9998), {"near", 1, later}, later);
  returns.keep(keyOf(9997), {"near", 1, later}, later);
  CHECK(returns.size() < 5);
}

// Guards against a caller that waits for its deadline, or gets a retry time after its deadline.
TEST_CASE_METHOD(EntryReturnsFixture,
                 "no_time_left is the answer only if no endpoint has time, with the exact time left") {
  call("/safe/1");
  refuse(ErrorCode::kNoTimeLeft, 0, 1990);
  refuse(ErrorCode::kNoTimeLeft, 0, 1990);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].error == ErrorCode::kNoTimeLeft);
  CHECK(answers[0].outcome == CallOutcome::NOT_RUN);
  CHECK(answers[0].httpStatus == 503);
  CHECK(answers[0].retryAfterMs == 1990);
  runFor(base::milliseconds(500));
  call("/safe/2");
  refuse(ErrorCode::kOverloaded, 0, 300);
  refuse(ErrorCode::kNoTimeLeft, 0, 1990);
  REQUIRE(answers.size() == 2);
  CHECK(answers[1].error == ErrorCode::kOverloaded);
}

// Guards against a refusal of a request that another endpoint has a free slot for, and against an unknown outcome of
// one that no back end has seen.
TEST_CASE_METHOD(EntryReturnsFixture,
                 "after a refusal for nested capacity, others are tried; the request has not run") {
  call("/once/1");
  refuse(ErrorCode::kNestedOverloaded, 0, 400);
  CHECK(answers.empty());
  refuse(ErrorCode::kNestedOverloaded, 0, 400);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].error == ErrorCode::kNestedOverloaded);
  CHECK(answers[0].outcome == CallOutcome::NOT_RUN);
  CHECK(answers[0].retryAfterMs >= 300);
  CHECK(requestedEndpoints().size() == 2);
}

// Guards against a node that closes because of calls of external callers, or because back ends fail.
TEST_CASE_METHOD(EntryReturnsFixture, "only nested calls refused by nodes for lack of capacity count as such") {
  call("/safe/1");
  respond(CallOutcome::COMPLETED, ErrorCode::kNone);
  CHECK(began == 0);
  call("/safe/2");
  accept(true);
  respond(CallOutcome::COMPLETED, ErrorCode::kNone);
  CHECK(outcomes.empty());

  call("/safe/3");
  respond(CallOutcome::COMPLETED, ErrorCode::kNone);
  call("/safe/4");
  refuse(ErrorCode::kOverloaded);
  refuse(ErrorCode::kOverloaded);
  call("/safe/5");  // both endpoints are known to be full
  runFor(base::milliseconds(400));
  call("/safe/6");
  refuse(ErrorCode::kBackendRefused);
  refuse(ErrorCode::kBackendRefused);
  call("/safe/7");
  refuse(ErrorCode::kBackendUnreachable);
  refuse(ErrorCode::kBackendUnreachable);
  const auto abandoned = call("/safe/8");
  entry->abandon(abandoned);
  using overload::nested_outcome;
  const std::vector<nested_outcome> expected{nested_outcome::served,
                                             nested_outcome::refused_for_capacity,
                                             nested_outcome::refused_for_capacity,
                                             nested_outcome::other,
                                             nested_outcome::other,
                                             nested_outcome::other};
  CHECK(outcomes == expected);
  CHECK(began == 6);

  call("/once/1");
  CHECK(began == 6);
}

}  // namespace driftlug::node
