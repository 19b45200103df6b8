#include "node/local_backend.h"

#include "local_backend_fixture.h"

namespace driftlug::node {

TEST_CASE_METHOD(IdentityCheckFixture, "a late report of an unknown incarnation does not replace the current one") {
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
  SECTION("it is repeated") {
    CHECK(local.onReport(report("i-1", 50)) == ReportResult::kOutdated);
    CHECK(local.onReport(report("i-1", 49)) == ReportResult::kOutdated);
    CHECK(identityChecks.empty());
  }
  SECTION("a newer one arrives: the identity is checked again") {
    CHECK(local.onReport(report("i-1", 51)) == ReportResult::kPending);
    answer("i-2");
    CHECK(local.incarnation() == "i-2");
  }
}

TEST_CASE_METHOD(IdentityCheckFixture,
                 "a restarted back end is accepted after an identity check, and the old incarnation never returns") {
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

TEST_CASE_METHOD(IdentityCheckFixture,
                 "of several reported names, only the one confirmed by the back end is accepted") {
  enableIdentityCheck(false);
  local.onReport(report("i-1", 9));
  local.onReport(report("i-3", 1));
  local.onReport(report("i-2", 4));
  REQUIRE(identityChecks.size() == 1);
  answer("i-3");
  CHECK(local.incarnation() == "i-3");
  CHECK(local.onReport(report("i-2", 4)) == ReportResult::kOutdated);
}

TEST_CASE_METHOD(IdentityCheckFixture, "an identity check without an answer does not replace the current incarnation") {
  enableIdentityCheck(false);
  local.onReport(report("i-2", 9));
  CHECK(local.onReport(report("i-1", 50)) == ReportResult::kPending);
  answerNothing();
  CHECK(local.incarnation() == "i-2");
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(identityChecks.empty());
  runFor(base::seconds(1));
  REQUIRE(identityChecks.size() == 1);
  SECTION("the repeated check confirms the current one") {
    answer("i-2");
    CHECK(local.onReport(report("i-1", 50)) == ReportResult::kOutdated);
  }
  SECTION("the repeated check confirms the other one") {
    answer("i-1");
    CHECK(local.incarnation() == "i-1");
    CHECK(local.onReport(report("i-2", 10)) == ReportResult::kOutdated);
  }
  SECTION("the current one reports: the check is not repeated any more") {
    CHECK(local.onReport(report("i-2", 10)) == ReportResult::kAccepted);
    answerNothing();
    runFor(base::seconds(1));
    CHECK(identityChecks.empty());
    CHECK(local.onReport(report("i-1", 50)) == ReportResult::kOutdated);
  }
  SECTION("the current one is silent: the sender of the last report is used") {
    answerNothing();
    runFor(base::seconds(4));
    answerNothing();
    CHECK(local.incarnation() == "i-1");
    CHECK(announced.back().condition == EndpointCondition::LIVE);
    // An incarnation that was superseded without confirmation returns with a newer report, not with a late one.
    CHECK(local.onReport(report("i-2", 9)) == ReportResult::kOutdated);
    CHECK(local.onReport(report("i-2", 10)) == ReportResult::kPending);
    answer("i-2");
    CHECK(local.incarnation() == "i-2");
    CHECK(announced.back().endpoint == "i-2");
    CHECK(announced.back().condition == EndpointCondition::LIVE);
    CHECK(local.onReport(report("i-1", 51)) == ReportResult::kOutdated);
  }
}

TEST_CASE_METHOD(IdentityCheckFixture,
                 "after a restart of the node, a late report alone does not activate an incarnation") {
  enableIdentityCheck(true);
  CHECK(local.onReport(report("i-1", 50)) == ReportResult::kPending);
  CHECK(announced.empty());
  SECTION("another incarnation is running") {
    answer("i-2");
    CHECK(local.incarnation().empty());
    CHECK(local.onReport(report("i-1", 50)) == ReportResult::kOutdated);
    CHECK(local.onReport(report("i-2", 3)) == ReportResult::kAccepted);
    CHECK(announced.back().endpoint == "i-2");
  }
  SECTION("it is running") {
    answer("i-1");
    CHECK(local.incarnation() == "i-1");
    CHECK(announced.back().condition == EndpointCondition::LIVE);
  }
  SECTION("it is running, and had reported to the node's previous process that it drains") {
    answer("i-1", true);
    CHECK(announced.back().condition == EndpointCondition::DRAINING);
    call(1, "i-1");
    CHECK(backend.requests.empty());
    // The next report may be late, too.
    CHECK(local.onReport(report("i-1", 51)) == ReportResult::kPending);
    CHECK(announced.back().condition == EndpointCondition::DRAINING);
    SECTION("it is running again") {
      answer("i-1");
      CHECK(announced.back().condition == EndpointCondition::LIVE);
      CHECK(local.onReport(report("i-1", 51)) == ReportResult::kOutdated);
      CHECK(local.onReport(report("i-1", 52)) == ReportResult::kAccepted);
    }
    SECTION("it still drains") {
      answer("i-1", true);
      CHECK(announced.back().condition == EndpointCondition::DRAINING);
      call(2, "i-1");
      CHECK(refusalOf(2) == base::ErrorCode::kDraining);
    }
  }
  SECTION("it is too busy to answer") {
    answerNothing();
    CHECK(local.incarnation().empty());
    runFor(base::seconds(1));
    answer("i-1");
    CHECK(local.incarnation() == "i-1");
    CHECK(announced.back().condition == EndpointCondition::LIVE);
  }
}

TEST_CASE_METHOD(LocalBackendFixture, "no call is accepted before the first report of the back end") {
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

TEST_CASE_METHOD(LocalBackendFixture, "after its report, a draining back end gets no new call and no waiting one") {
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

TEST_CASE_METHOD(LocalBackendFixture, "an incarnation that has ended never returns") {
  local.onReport(report("i-1", 1));
  SECTION("it left") { local.onSignOff("i-1"); }
  SECTION("another one took its place") { local.onReport(report("i-2", 1)); }
  CHECK(announced.size() >= 2);
  CHECK(local.onReport(report("i-1", 9)) == ReportResult::kOutdated);
  call(1, "i-1");
  CHECK(refusalOf(1) != base::ErrorCode::kNone);
  CHECK(backend.requests.empty());
}

TEST_CASE_METHOD(LocalBackendFixture, "a back end that rejects a call as misdirected ends the incarnation") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  backend.pending[0]({BackendOutcome::kCompleted, false, 421, {}, ""});
  CHECK(refusalOf(1) == base::ErrorCode::kWrongEndpoint);
  CHECK(announced.back().condition == EndpointCondition::GONE);
  CHECK(local.onReport(report("i-1", 2)) == ReportResult::kOutdated);
  CHECK(local.onReport(report("i-2", 1)) == ReportResult::kAccepted);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "after a restart of the node, the next report supersedes the announcements of its previous process") {
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
                 "a back end known by name gets calls, and its first report supersedes earlier announcements") {
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
  local.onSignOff("i-1");
  local.onIdentified("i-1");
  CHECK(local.incarnation().empty());
}

TEST_CASE_METHOD(LocalBackendFixture, "an unreachable back end gets no calls until its next report") {
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

TEST_CASE_METHOD(LocalBackendFixture, "a silent back end gets no calls; one that answers calls is not silent") {
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

TEST_CASE_METHOD(LocalBackendFixture,
                 "a back end that says in a response that it is leaving gets no calls, whatever it reports") {
  wire::HttpHeader leaving;
  leaving.name = "leaving";
  leaving.value = "1";
  local.onReport(reportOf(kFirstStart, 1, false, 2));
  const auto first = announced.back().endpoint;
  call(1, first);
  call(2, first);
  call(3, first);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {leaving}, ""});
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  CHECK(refusalOf(3) == base::ErrorCode::kDraining);
  local.onReport(reportOf(kFirstStart, 2, false, 2));
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  call(4, first);
  CHECK(refusalOf(4) == base::ErrorCode::kDraining);
  local.onReport(reportOf(kFirstStart + 5000, 1, false, 2));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  call(5, announced.back().endpoint);
  CHECK(refusalOf(5) == base::ErrorCode::kNone);
}

TEST_CASE_METHOD(LocalBackendFixture, "a stopping node announces its endpoint as draining") {
  local.onReport(report("i-1", 1));
  local.setStopping();
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  local.onReport(report("i-1", 2));
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "a call that would miss its target by waiting is refused, at once or as soon as that is certain") {
  local.onReport(report("i-1", 1));
  // The first run sets the average run time to 100 ms.
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

TEST_CASE_METHOD(LocalBackendFixture, "cancelling a repeatable call cancels its run, and the next call starts") {
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
                 "a cancelled call that may not be repeated completes if it runs, and is dropped if it waits") {
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
