#include "controller/convergence.h"

#include <catch2/catch.hpp>

#include "controller/convergence_times.h"
#include "manual_time.h"

namespace driftlug::controller {
namespace {

constexpr base::Duration kLease = base::seconds(8);

wire::ConvergenceReport report(int64_t revision, std::vector<std::string> attached, bool full) {
  wire::ConvergenceReport report;
  report.inForceRevision = revision;
  report.attached = std::move(attached);
  report.full = full;
  report.runningMs = 3'600'000;
  return report;
}

/// A tracker whose relays were registered before its controller became leader.
struct Fixture {
  Fixture() : tracker(time, kLease) {
    tracker.setRegistered({"relay-1", "relay-2"});
    tracker.reset();
  }
  test::ManualTime time;
  ConvergenceTracker tracker;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a revision is not in force everywhere before all registered relays have reported") {
  CHECK(!tracker.inForceEverywhere(5));
  tracker.onReport("relay-1", report(5, {"node-1"}, true));
  CHECK(!tracker.inForceEverywhere(5));
  tracker.onReport("relay-2", report(5, {}, true));
  CHECK(tracker.inForceEverywhere(5));
  CHECK(!tracker.inForceEverywhere(6));
}

TEST_CASE_METHOD(Fixture, "a relay that is inactive until its nodes have left it no longer blocks convergence") {
  tracker.onReport("relay-1", report(5, {"node-1"}, true));
  time.advance(base::seconds(11));
  CHECK(!tracker.inForceEverywhere(5));
  time.advance(base::seconds(2));
  CHECK(tracker.inForceEverywhere(5));
}

TEST_CASE_METHOD(Fixture, "a lagging node blocks convergence until its relay reports that it has caught up") {
  auto lagging = report(5, {"node-1", "node-2"}, true);
  wire::NodeStatus status;
  status.nodeId = "node-2";
  status.revision = 4;
  lagging.lagging.push_back(status);
  tracker.onReport("relay-1", lagging);
  tracker.onReport("relay-2", report(5, {}, true));
  CHECK(!tracker.inForceEverywhere(5));
  CHECK(tracker.inForceEverywhere(4));
  const auto view = tracker.view(5);
  CHECK(view.inForce == 1);
  REQUIRE(view.lagging.size() == 1);
  CHECK(view.lagging[0].nodeId == "node-2");
  tracker.onReport("relay-1", report(5, {}, false));
  CHECK(tracker.inForceEverywhere(5));
}

TEST_CASE_METHOD(Fixture, "a node that is held by two relays is lost only when both have lost it") {
  tracker.onReport("relay-1", report(5, {"node-1"}, true));
  tracker.onReport("relay-2", report(5, {"node-1"}, true));
  auto left = report(5, {}, false);
  left.detached = {"node-1"};
  tracker.onReport("relay-1", left);
  CHECK(tracker.attachedNodes() == 1);
  CHECK(tracker.inForceEverywhere(5));
  tracker.onReport("relay-2", left);
  CHECK(tracker.attachedNodes() == 0);
  CHECK(!tracker.inForceEverywhere(5));
  time.advance(kLease);
  CHECK(tracker.inForceEverywhere(5));
  CHECK(tracker.view(5).gone == 1);
}

TEST_CASE_METHOD(Fixture, "a node lost before this controller led blocks convergence until its lease ends") {
  auto full = report(5, {}, true);
  full.detached = {"node-1"};
  tracker.onReport("relay-1", full);
  tracker.onReport("relay-2", report(5, {}, true));
  CHECK(!tracker.inForceEverywhere(5));
  time.advance(kLease);
  CHECK(tracker.inForceEverywhere(5));
}

TEST_CASE_METHOD(Fixture, "a relay that has just started does not cover the nodes of its predecessor process") {
  auto justStarted = report(5, {}, true);
  justStarted.runningMs = 100;
  tracker.onReport("relay-1", justStarted);
  tracker.onReport("relay-2", report(5, {}, true));
  CHECK(!tracker.inForceEverywhere(5));
  time.advance(kLease);
  CHECK(tracker.inForceEverywhere(5));
}

TEST_CASE_METHOD(Fixture, "a relay that is new to the mesh has no predecessor") {
  tracker.setRegistered({"relay-1", "relay-2", "relay-3"});
  auto justStarted = report(5, {}, true);
  justStarted.runningMs = 100;
  tracker.onReport("relay-1", report(5, {}, true));
  tracker.onReport("relay-2", report(5, {}, true));
  tracker.onReport("relay-3", justStarted);
  CHECK(tracker.inForceEverywhere(5));
}

TEST_CASE_METHOD(Fixture, "the time from a commit to the last node is measured") {
  ConvergenceTimes times(time, tracker);
  tracker.onReport("relay-2", report(5, {}, true));
  auto behind = report(5, {"node-1"}, true);
  wire::NodeStatus status;
  status.nodeId = "node-1";
  status.revision = 4;
  behind.lagging.push_back(status);
  tracker.onReport("relay-1", behind);
  times.onCommit(5);
  time.advance(base::milliseconds(500));
  times.onReport();
  CHECK(times.histogram().sumSeconds() == 0);
  time.advance(base::milliseconds(500));
  tracker.onReport("relay-1", report(5, {}, false));
  times.onReport();
  CHECK(times.histogram().sumSeconds() == Approx(1.0));
}

}  // namespace driftlug::controller
