#include "node/local_backend.h"

#include "local_backend_fixture.h"

namespace driftlug::node {

TEST_CASE_METHOD(IdentityCheckFixture, "a late report of an incarnation that this life does not know displaces none") {
  enableIdentityCheck(true);
  local.onIdentified("i-2");
  local.onReport(report("i-2", 7));
  CHECK(local.onReport(report("i-1", 50)) == ReportResult::kPending);
  call(1, "i-2");
  CHECK(backend.requests.size() == 1);
  answer("i-2");
  CHECK(local.incarnation() == "i-2");
  CHECK(announced.back().endpoint == "i-2");
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(local.onReport(report("i-2", 8)) == ReportResult::kAccepted);
  SECTION("it comes once more") {
    CHECK(local.onReport(report("i-1", 50)) == ReportResult::kOutdated);
    CHECK(local.onReport(report("i-1", 49)) == ReportResult::kOutdated);
    CHECK(identityChecks.empty());
  }
  SECTION("a newer one comes: the back end is asked again") {
    CHECK(local.onReport(report("i-1", 51)) == ReportResult::kPending);
    answer("i-2");
    CHECK(local.incarnation() == "i-2");
  }
}

TEST_CASE_METHOD(IdentityCheckFixture,
                 "a back end that has started again is taken on its own word, and the old one never comes") {
  enableIdentityCheck(false);
  CHECK(local.onReport(report("i-1", 9)) == ReportResult::kAccepted);
  CHECK(local.onReport(report("i-2", 1)) == ReportResult::kPending);
  answer("i-2");
  CHECK(local.incarnation() == "i-2");
  call(1, "i-2");
  CHECK(backend.requests.size() == 1);
  CHECK(local.onReport(report("i-1", 10)) == ReportResult::kOutdated);
  CHECK(identityChecks.empty());
  CHECK(announced.back().endpoint == "i-2");
}

TEST_CASE_METHOD(IdentityCheckFixture, "of several names only the one that the back end gives is taken") {
  enableIdentityCheck(false);
  local.onReport(report("i-1", 9));
  local.onReport(report("i-3", 1));
  local.onReport(report("i-2", 4));
  REQUIRE(identityChecks.size() == 1);
  answer("i-3");
  CHECK(local.incarnation() == "i-3");
  CHECK(local.onReport(report("i-2", 4)) == ReportResult::kOutdated);
}

TEST_CASE_METHOD(IdentityCheckFixture,
                 "a back end that does not say who it is is the sender of the last report, for now") {
  enableIdentityCheck(false);
  local.onReport(report("i-2", 9));
  local.onReport(report("i-1", 50));
  answer("");
  CHECK(local.incarnation() == "i-1");
  // The one that gave way without proof comes back by a newer report, not by one that was late.
  CHECK(local.onReport(report("i-2", 9)) == ReportResult::kOutdated);
  CHECK(local.onReport(report("i-2", 10)) == ReportResult::kPending);
  answer("i-2");
  CHECK(local.incarnation() == "i-2");
  CHECK(announced.back().endpoint == "i-2");
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(local.onReport(report("i-1", 51)) == ReportResult::kOutdated);
}

TEST_CASE_METHOD(IdentityCheckFixture, "after a restart of the node, a late report alone revives nobody") {
  enableIdentityCheck(true);
  CHECK(local.onReport(report("i-1", 50)) == ReportResult::kPending);
  CHECK(announced.empty());
  SECTION("another one runs") {
    answer("i-2");
    CHECK(local.incarnation().empty());
    CHECK(local.onReport(report("i-1", 50)) == ReportResult::kOutdated);
    CHECK(local.onReport(report("i-2", 3)) == ReportResult::kAccepted);
    CHECK(announced.back().endpoint == "i-2");
  }
  SECTION("it runs") {
    answer("i-1");
    CHECK(local.incarnation() == "i-1");
    CHECK(announced.back().condition == EndpointCondition::LIVE);
  }
  SECTION("it runs, and had said to the node's earlier life that it drains") {
    answer("i-1", true);
    CHECK(announced.back().condition == EndpointCondition::DRAINING);
    call(1, "i-1");
    CHECK(backend.requests.empty());
    CHECK(local.onReport(report("i-1", 51)) == ReportResult::kAccepted);
    CHECK(announced.back().condition == EndpointCondition::LIVE);
  }
  SECTION("nobody says") {
    answer("");
    CHECK(local.incarnation() == "i-1");
  }
}

TEST_CASE_METHOD(LocalBackendFixture, "no call is taken before the back end has told of itself") {
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
  CHECK(local.onReport(report("i-1", 1)) == ReportResult::kAccepted);
  call(2, "i-1");
  CHECK(backend.requests.size() == 1);
  REQUIRE(announced.size() == 1);
  CHECK(announced[0].endpoint == "i-1");
  CHECK(announced[0].condition == EndpointCondition::LIVE);
  CHECK(announced[0].slots == 1);
}

TEST_CASE_METHOD(LocalBackendFixture, "a call for another incarnation is refused as not run") {
  local.onReport(report("i-1", 1));
  call(1, "i-0");
  CHECK(refusalOf(1) == base::ErrorCode::kWrongEndpoint);
  CHECK(backend.requests.empty());
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "from the report on, a draining back end gets no new call, not even one that waited") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  call(2, "i-1");
  local.onReport(report("i-1", 2, true));
  call(3, "i-1");
  CHECK(backend.requests.size() == 1);
  CHECK(refusalOf(2) == base::ErrorCode::kDraining);
  CHECK(refusalOf(3) == base::ErrorCode::kDraining);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, "done"});
  CHECK(backend.requests.size() == 1);
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
}

TEST_CASE_METHOD(LocalBackendFixture, "a late report changes nothing") {
  local.onReport(report("i-1", 5, true));
  CHECK(local.onReport(report("i-1", 4)) == ReportResult::kOutdated);
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
}

TEST_CASE_METHOD(LocalBackendFixture, "an incarnation that has ended never comes back") {
  local.onReport(report("i-1", 1));
  SECTION("it left") { local.onLeave("i-1"); }
  SECTION("another one took its place") { local.onReport(report("i-2", 1)); }
  CHECK(announced.size() >= 2);
  CHECK(local.onReport(report("i-1", 9)) == ReportResult::kOutdated);
  call(1, "i-1");
  CHECK(refusalOf(1) != base::ErrorCode::kNone);
  CHECK(backend.requests.empty());
}

TEST_CASE_METHOD(LocalBackendFixture, "a back end that says it is another one ends the incarnation") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  backend.pending[0]({BackendOutcome::kCompleted, false, 421, {}, ""});
  CHECK(refusalOf(1) == base::ErrorCode::kWrongEndpoint);
  CHECK(announced.back().condition == EndpointCondition::GONE);
  CHECK(local.onReport(report("i-1", 2)) == ReportResult::kOutdated);
  CHECK(local.onReport(report("i-2", 1)) == ReportResult::kAccepted);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "after a restart of the node, the next report outdoes what its earlier life announced") {
  local.onReport(report("i-1", 3));
  const auto before = announced.back();
  std::vector<wire::EndpointState> later;
  LocalBackend restarted(endpointState(), process, calls,
                         [&](const wire::EndpointState& state) { later.push_back(state); });
  restarted.onReport(report("i-1", 4));
  REQUIRE(later.size() == 1);
  CHECK(later[0].incarnation > before.incarnation);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "a back end that named itself takes calls, and its first report outdoes earlier announcements") {
  local.onIdentified("i-1");
  call(1, "i-1");
  CHECK(backend.requests.size() == 1);
  REQUIRE(announced.size() == 1);
  local.onReport(report("i-1", 4));
  REQUIRE(announced.size() == 2);
  CHECK(announced[1].incarnation > announced[0].incarnation);
  CHECK(announced[1].condition == EndpointCondition::LIVE);
  local.onIdentified("i-2");
  CHECK(local.incarnation() == "i-1");
  local.onLeave("i-1");
  local.onIdentified("i-1");
  CHECK(local.incarnation().empty());
}

TEST_CASE_METHOD(LocalBackendFixture, "a back end that can't be reached takes no calls until it reports again") {
  local.onReport(report("i-1", 1));
  for (int64_t id = 1; id <= 3; ++id) {
    call(id, "i-1");
    REQUIRE(backend.pending.size() == static_cast<size_t>(id));
    backend.pending.back()({BackendOutcome::kNotSent, false, 0, {}, ""});
    CHECK(refusalOf(id) == base::ErrorCode::kBackendUnreachable);
  }
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  call(4, "i-1");
  CHECK(refusalOf(4) == base::ErrorCode::kDraining);
  local.onReport(report("i-1", 2));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  call(5, "i-1");
  CHECK(refusalOf(5) == base::ErrorCode::kNone);
}

TEST_CASE_METHOD(LocalBackendFixture, "a back end that falls silent takes no calls; one that answers is not silent") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  runFor(base::seconds(3));
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, ""});
  runFor(base::seconds(3));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  runFor(base::seconds(2));
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  local.onReport(report("i-1", 2));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
}

TEST_CASE_METHOD(LocalBackendFixture, "a node that stops announces that its endpoint drains") {
  local.onReport(report("i-1", 1));
  local.setStopping();
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  local.onReport(report("i-1", 2));
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "what would miss its target by waiting is refused, at once or when that is certain") {
  local.onReport(report("i-1", 1));
  // A first run tells that a usual one takes 100 ms.
  call(1, "i-1", 200);
  runFor(base::milliseconds(100));
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, ""});
  call(2, "i-1", 200);
  call(3, "i-1", 1000);
  CHECK(refusalOf(2) == base::ErrorCode::kNone);
  CHECK(refusalOf(3) == base::ErrorCode::kNone);
  call(4, "i-1", 200);
  CHECK(refusalOf(4) == base::ErrorCode::kOverloaded);
  runFor(base::milliseconds(1100));
  CHECK(refusalOf(3) == base::ErrorCode::kOverloaded);
  CHECK(backend.requests.size() == 2);
}

TEST_CASE_METHOD(LocalBackendFixture, "within a priority the nearer target goes first") {
  local.onReport(report("i-1", 1));
  call(1, "i-1", 1000);
  call(2, "i-1", 900);
  call(3, "i-1", 300);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, ""});
  REQUIRE(backend.requests.size() == 2);
  CHECK(backend.requests[1].callId == 3);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "a caller that leaves ends what may be repeated at the back end, and the next one starts") {
  local.onReport(report("i-1", 1));
  for (int64_t id = 1; id <= 4; ++id) call(id, "i-1");
  REQUIRE(backend.requests.size() == 1);
  calls.onCancel(1, 2);
  calls.onCancel(1, 1);
  CHECK(backend.cancelled == 1);
  REQUIRE(backend.requests.size() == 2);
  CHECK(backend.requests[1].callId == 3);
  calls.onClose(1);
  CHECK(calls.active() == 0);
  CHECK(calls.limiter().running() == 0);
  CHECK(calls.limiter().waiting() == 0);
  CHECK(backend.cancelled == static_cast<int>(backend.requests.size()));
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "what may not be repeated is let finish when its caller leaves, and withdrawn while it waits") {
  local.onReport(report("i-1", 1));
  wire::CallRequest request;
  request.serviceName = "records";
  request.endpoint = "i-1";
  request.remainingMs = 3000;
  request.runOnce = true;
  for (request.callId = 1; request.callId <= 2; ++request.callId) calls.onRequest(1, request);
  calls.onCancel(1, 2);
  calls.onCancel(1, 1);
  CHECK(backend.cancelled == 0);
  CHECK(calls.active() == 1);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, "done"});
  CHECK(calls.active() == 0);
  CHECK(backend.requests.size() == 1);
}

}  // namespace driftlug::node
