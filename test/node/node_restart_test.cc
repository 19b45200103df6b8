/// Late reports after a restart of the node that the back end reports to.
#include <algorithm>
#include <set>

#include "local_backend_fixture.h"
#include "node/endpoint_name.h"

namespace driftlug::node {
namespace {

/// A restarted node; its previous process may have acknowledged drains and sign-offs.
struct RestartedNode : IdentityCheckFixture {
  RestartedNode() {
    enableIdentityCheck(true);
    local.setServiceCheck([this](const std::string& incarnation) { return ofService.count(incarnation) > 0; });
  }

  bool takesCalls(const std::string& endpoint) {
    const auto before = backend.requests.size();
    call(++lastCall, endpoint);
    return backend.requests.size() > before;
  }

  bool announcedLive() {
    return std::any_of(announced.begin(), announced.end(),
                       [](const auto& state) { return state.condition == EndpointCondition::LIVE; });
  }

  std::set<std::string> ofService{"i-1"};  // names that have been announced for the node's service
  int64_t lastCall = 0;
};

}  // namespace

TEST_CASE_METHOD(
    RestartedNode,
    "late reports of a back end that signed off before the restart do not bring it back while it is busy") {
  const std::string refusedBy = GENERATE("", "i-1");  // empty: no answer, or a refusal without a name
  for (int64_t sequence = 7; sequence < 12; ++sequence) {
    CHECK(local.onReport(report("i-1", sequence)) == ReportResult::kPending);
    refuseForLackOfSlot(refusedBy);
    CHECK_FALSE(takesCalls("i-1"));
    runFor(base::seconds(1));
  }
  CHECK(announced.empty());
  REQUIRE(identityChecks.size() == 1);
  answer("i-1", true);
  CHECK_FALSE(takesCalls("i-1"));
  CHECK(local.onReport(report("i-1", 12)) == ReportResult::kPending);
  answer("i-1", true);
  CHECK_FALSE(takesCalls("i-1"));
  CHECK_FALSE(announcedLive());
}

TEST_CASE_METHOD(RestartedNode, "a live back end whose slots are taken gets calls as soon as it answers") {
  local.identify();
  answerNothing();
  runFor(base::milliseconds(250));
  SECTION("without a report") {
    answer("i-1");
    CHECK(takesCalls("i-1"));
  }
  SECTION("with a report") {
    CHECK(local.onReport(report("i-1", 7)) == ReportResult::kPending);
    refuseForLackOfSlot("i-1");
    CHECK_FALSE(takesCalls("i-1"));
    runFor(base::milliseconds(250));
    answer("i-1");
    CHECK(takesCalls("i-1"));
    CHECK(announced.back().incarnation == 8);
    CHECK(local.onReport(report("i-1", 8)) == ReportResult::kAccepted);
  }
}

TEST_CASE_METHOD(RestartedNode,
                 "a healthy back end that may be of another service gets no calls before its first report") {
  ofService.clear();
  local.identify();
  const bool lateReport = GENERATE(false, true);
  if (lateReport) local.onReport(report("i-0", 90));
  answer("i-1");
  CHECK_FALSE(takesCalls("i-1"));
  CHECK(announced.empty());
  SECTION("it reports") { CHECK(local.onReport(report("i-1", 3)) == ReportResult::kAccepted); }
  SECTION("its earlier announcement arrives") {
    ofService.insert("i-1");
    local.onEndpointStates();
  }
  CHECK(takesCalls("i-1"));
}

TEST_CASE_METHOD(RestartedNode, "a sign-off with a start time ends a back end that is known only by its name") {
  local.identify();
  answer("i-1");
  CHECK(takesCalls("i-1"));
  local.onSignOff("i-1", kFirstStart);
  CHECK_FALSE(takesCalls("i-1"));
  SECTION("it leaves") {
    answer("i-1", true);
    CHECK_FALSE(takesCalls("i-1"));
    CHECK(local.onReport(reportOf(kFirstStart, 8)) == ReportResult::kOutdated);
  }
  SECTION("it is busy") {
    refuseForLackOfSlot("i-1");
    CHECK_FALSE(takesCalls("i-1"));
    CHECK(local.onReport(reportOf(kFirstStart, 8)) == ReportResult::kOutdated);
    CHECK_FALSE(takesCalls("i-1"));
  }
  SECTION("the sign-off was a late one of its previous start") {
    answer("i-1");
    CHECK(takesCalls("i-1"));
    CHECK(local.onReport(reportOf(kFirstStart + 3000, 1, false, 9)) == ReportResult::kAccepted);
    CHECK(takesCalls(endpointNameOf("i-1", kFirstStart + 3000)));
  }
}

TEST_CASE_METHOD(RestartedNode, "a back end that has ended is not used by its name again") {
  local.identify();
  answer("i-1");
  CHECK(takesCalls("i-1"));
  CHECK(local.onReport(report("i-1", 3)) == ReportResult::kAccepted);
  local.onSignOff("i-1");
  local.onEndpointStates();
  CHECK_FALSE(takesCalls("i-1"));
}

TEST_CASE_METHOD(RestartedNode, "a back end whose health check is faulty gets calls once its reports can't be late") {
  const bool unavailable = GENERATE(true, false);
  runFor(base::seconds(9));
  CHECK(local.onReport(report("i-1", 7)) == ReportResult::kPending);
  answer(unavailable ? BackendIdentity{"i-1", true} : BackendIdentity{});
  runFor(base::seconds(2));
  CHECK_FALSE(takesCalls("i-1"));
  CHECK(local.onReport(report("i-1", 8)) == ReportResult::kAccepted);
  CHECK(takesCalls("i-1"));
}

TEST_CASE_METHOD(RestartedNode, "a report that was late for the longest time is not taken for a new one") {
  CHECK(local.onReport(report("i-1", 7)) == ReportResult::kPending);
  for (int i = 0; i < 20; ++i) {
    if (!identityChecks.empty()) answerNothing();
    runFor(base::seconds(1));
  }
  CHECK_FALSE(takesCalls("i-1"));
  CHECK(announced.empty());
}

TEST_CASE_METHOD(RestartedNode, "a late report of a predecessor does not let another late one pass unchecked") {
  CHECK(local.onReport(report("i-0", 90)) == ReportResult::kPending);
  answer("i-1", true);
  CHECK(local.onReport(report("i-1", 7)) == ReportResult::kPending);
  answer("i-1", true);
  CHECK_FALSE(takesCalls("i-1"));
  CHECK_FALSE(announcedLive());
}

TEST_CASE_METHOD(RestartedNode, "a late report of a later start of the same name does not undo its drain") {
  CHECK(local.onReport(reportOf(kFirstStart, 90)) == ReportResult::kPending);
  answer("i-1", true);
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 2)) == ReportResult::kPending);
  answer("i-1", true);
  CHECK_FALSE(takesCalls(endpointNameOf("i-1", kFirstStart + 3000)));
  CHECK_FALSE(announcedLive());
}

TEST_CASE_METHOD(RestartedNode, "a drain that is acknowledged while the back end is being identified stays in force") {
  local.identify();
  CHECK(local.onReport(report("i-1", 7, true)) == ReportResult::kPending);
  SECTION("it still answers as healthy") { answer("i-1"); }
  SECTION("it does not answer in time") {
    answerNothing();
    runFor(base::milliseconds(250));
    answer("i-1");
  }
  CHECK_FALSE(takesCalls("i-1"));
  CHECK(local.onReport(report("i-1", 6)) == ReportResult::kOutdated);
  CHECK_FALSE(announcedLive());
}

TEST_CASE_METHOD(RestartedNode, "a sign-off that is acknowledged while the back end is being identified is final") {
  local.identify();
  CHECK(local.onReport(report("i-1", 7)) == ReportResult::kPending);
  local.onSignOff("i-1");
  answer("i-1");
  CHECK_FALSE(takesCalls("i-1"));
  CHECK(local.onReport(report("i-1", 8)) == ReportResult::kOutdated);
  CHECK_FALSE(announcedLive());
}

TEST_CASE_METHOD(RestartedNode,
                 "late reports of many predecessors do not displace the report of the current back end") {
  for (int i = 1; i <= 20; ++i) local.onReport(report("j-" + std::to_string(i), 50));
  CHECK(local.onReport(report("a-1", 3)) == ReportResult::kPending);
  answer("a-1");
  CHECK(announced.back().endpoint == "a-1");
  CHECK(announced.back().incarnation == 4);
  CHECK(local.onReport(report("j-20", 50)) == ReportResult::kOutdated);
}

}  // namespace driftlug::node
