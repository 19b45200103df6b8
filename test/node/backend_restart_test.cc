/// Back ends that restart under the same name.
#include "node/endpoint_name.h"

#include "local_backend_fixture.h"

namespace driftlug::node {

TEST_CASE("each start of a back end has its own endpoint name, which contains the name of the back end") {
  const auto first = endpointNameOf("i-1", kFirstStart);
  CHECK(first != endpointNameOf("i-1", kFirstStart + 1));
  CHECK(backendNameOf(first) == "i-1");
  CHECK(endpointNameOf("i-1", 0) == "i-1");
  CHECK(backendNameOf("i-1") == "i-1");
  CHECK(backendNameOf(endpointNameOf("odd~name", 0)) == "odd~name");
  CHECK(backendNameOf(endpointNameOf("odd~name", kFirstStart)) == "odd~name");
}

TEST_CASE_METHOD(LocalBackendFixture, "a back end that restarts under its name is accepted with its first report") {
  local.onReport(reportOf(kFirstStart, 400));
  const auto first = announced.back().endpoint;
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 1)) == ReportResult::kAccepted);
  const auto second = announced.back().endpoint;
  CHECK(first != second);
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  REQUIRE(announced.size() == 3);
  CHECK(announced[1].endpoint == first);
  CHECK(announced[1].condition == EndpointCondition::GONE);
  call(1, second);
  CHECK(backend.requests.size() == 1);
  call(2, first);
  CHECK(refusalOf(2) == base::ErrorCode::kWrongEndpoint);
}

TEST_CASE_METHOD(LocalBackendFixture, "late messages of the previous start have no effect") {
  local.onReport(reportOf(kFirstStart, 400));
  local.onReport(reportOf(kFirstStart + 3000, 1));
  const auto current = announced.back().endpoint;
  SECTION("a late report") { CHECK(local.onReport(reportOf(kFirstStart, 401)) == ReportResult::kOutdated); }
  SECTION("a late report of draining") {
    CHECK(local.onReport(reportOf(kFirstStart, 402, true)) == ReportResult::kOutdated);
  }
  SECTION("a late sign-off with its start time") { local.onSignOff("i-1", kFirstStart); }
  SECTION("a late answer to a call of the previous start") {
    local.onWrongEndpoint(endpointNameOf("i-1", kFirstStart));
  }
  CHECK(announced.back().endpoint == current);
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  call(1, current);
  CHECK(backend.requests.size() == 1);
}

TEST_CASE_METHOD(IdentityCheckFixture,
                 "a sign-off that may be late is checked with the back end, which gets no calls meanwhile") {
  enableIdentityCheck(false);
  local.onReport(reportOf(kFirstStart, 400));
  local.onReport(reportOf(kFirstStart + 3000, 1));
  const auto current = announced.back().endpoint;
  local.onSignOff("i-1");
  call(1, current);
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
  REQUIRE(identityChecks.size() == 1);
  SECTION("it is healthy") {
    identityChecks[0]({"i-1", false, true});
    CHECK(announced.back().condition == EndpointCondition::LIVE);
    call(2, current);
    CHECK(backend.requests.size() == 1);
  }
  SECTION("it leaves") {
    identityChecks[0]({"i-1", true, false});
    CHECK(announced.back().condition == EndpointCondition::GONE);
    CHECK(local.onReport(reportOf(kFirstStart + 3000, 2)) == ReportResult::kOutdated);
  }
  SECTION("it does not answer") {
    identityChecks[0]({"", false, false});
    CHECK(announced.back().condition == EndpointCondition::GONE);
  }
}

TEST_CASE_METHOD(IdentityCheckFixture, "a sign-off of the only known start ends it at once") {
  enableIdentityCheck(false);
  local.onReport(reportOf(kFirstStart, 4));
  local.onSignOff("i-1");
  CHECK(identityChecks.empty());
  CHECK(announced.back().condition == EndpointCondition::GONE);
  CHECK(local.onReport(reportOf(kFirstStart, 5)) == ReportResult::kOutdated);
  CHECK(local.onReport(reportOf(kFirstStart + 9000, 1)) == ReportResult::kAccepted);
  CHECK(announced.back().condition == EndpointCondition::LIVE);
}

TEST_CASE_METHOD(LocalBackendFixture, "a restart resets slots, drain state, runs and waiting calls") {
  local.onReport(reportOf(kFirstStart, 7));
  const auto first = announced.back().endpoint;
  call(1, first);
  call(2, first);
  CHECK(backend.requests.size() == 1);
  CHECK(local.onReport(reportOf(kFirstStart, 8, true)) == ReportResult::kAccepted);
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 1, false, 3)) == ReportResult::kAccepted);
  const auto second = announced.back().endpoint;
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(announced.back().slots == 3);
  // The run of the previous start is lost, and does not occupy a slot of the new one.
  CHECK(backend.cancelled == 1);
  CHECK(calls.limiter().running() == 0);
  for (int64_t id = 3; id <= 5; ++id) call(id, second);
  CHECK(backend.requests.size() == 4);
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "a start with an earlier time, after a clock jump, is accepted once the current start is over") {
  local.onReport(reportOf(kFirstStart, 7));
  const auto first = announced.back().endpoint;
  const auto earlier = kFirstStart - 2000;
  SECTION("nothing listens at the address") {
    local.onCrash();
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportResult::kAccepted);
  }
  SECTION("it is silent") {
    runFor(base::seconds(5));
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportResult::kAccepted);
  }
  SECTION("it reports twice, and the current one does not report in between") {
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportResult::kUnconfirmed);
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportResult::kUnconfirmed);
    CHECK(announced.back().endpoint == first);
    CHECK(local.onReport(reportOf(earlier, 2)) == ReportResult::kAccepted);
  }
  CHECK(announced.back().endpoint == endpointNameOf("i-1", earlier));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
}

TEST_CASE_METHOD(LocalBackendFixture, "a late report of an unknown earlier start does not replace the current one") {
  local.onReport(reportOf(kFirstStart, 7));
  const auto current = announced.back().endpoint;
  CHECK(local.onReport(reportOf(kFirstStart - 9000, 50)) == ReportResult::kUnconfirmed);
  CHECK(local.onReport(reportOf(kFirstStart, 8)) == ReportResult::kAccepted);
  CHECK(local.onReport(reportOf(kFirstStart - 9000, 51)) == ReportResult::kUnconfirmed);
  CHECK(announced.back().endpoint == current);
  SECTION("repeated late reports do not undo an acknowledged drain") {
    CHECK(local.onReport(reportOf(kFirstStart, 9, true)) == ReportResult::kAccepted);
    for (int64_t sequence = 52; sequence < 56; ++sequence) {
      CHECK(local.onReport(reportOf(kFirstStart - 9000, sequence)) == ReportResult::kUnconfirmed);
    }
    CHECK(announced.back().condition == EndpointCondition::DRAINING);
    call(1, current);
    CHECK(refusalOf(1) == base::ErrorCode::kDraining);
  }
}

TEST_CASE_METHOD(LocalBackendFixture,
                 "a back end known only by name gets the endpoint name of its start with its first report") {
  local.onIdentified("i-1");
  call(1, "i-1");
  CHECK(backend.requests.size() == 1);
  CHECK(local.onReport(reportOf(kFirstStart, 4)) == ReportResult::kAccepted);
  REQUIRE(announced.size() == 3);
  CHECK(announced[1].endpoint == "i-1");
  CHECK(announced[1].condition == EndpointCondition::GONE);
  CHECK(announced[2].endpoint == endpointNameOf("i-1", kFirstStart));
  // Calls in flight to the plain name are accepted, and running calls continue.
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, "done"});
  call(2, "i-1");
  call(3, endpointNameOf("i-1", kFirstStart));
  CHECK(refusalOf(2) == base::ErrorCode::kNone);
  CHECK(refusalOf(3) == base::ErrorCode::kNone);
  SECTION("the first report was a late one of the previous start") {
    CHECK(local.onReport(reportOf(kFirstStart + 5000, 2)) == ReportResult::kAccepted);
    CHECK(announced.back().endpoint == endpointNameOf("i-1", kFirstStart + 5000));
  }
}

TEST_CASE_METHOD(IdentityCheckFixture, "after a restart of the node, the later of two starts of a name is used") {
  enableIdentityCheck(true);
  CHECK(local.onReport(reportOf(kFirstStart, 90)) == ReportResult::kPending);
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 2)) == ReportResult::kPending);
  answer("i-1");
  CHECK(announced.back().endpoint == endpointNameOf("i-1", kFirstStart + 3000));
}

}  // namespace driftlug::node
