/// Messages and outcomes of one queue.
#include "quota/quota_queue.h"

#include <catch2/catch.hpp>

#include <vector>

#include "simulation/event_queue.h"
#include "simulation/process.h"

namespace driftlug::quota {
namespace {

struct QueueFixture {
  QueueFixture() { process.start(); }

  void wait(quota_queue::owner owner, base::Duration maxWait, const std::string& tenant = "tenant") {
    waits.wait(owner, tenant, 1, maxWait, [this, owner](const permit_outcome& outcome) { record(owner, outcome); });
  }

  void setDemand(quota_queue::owner owner, int total) {
    waits.setDemand(owner, "tenant", total, base::seconds(1),
                    [this, owner](const permit_outcome& outcome) { record(owner, outcome); });
  }

  void record(quota_queue::owner owner, const permit_outcome& outcome) { outcomes.emplace_back(owner, outcome); }

  void answer(int granted, int denied, int deferred = 0, int askAgainMs = 0) {
    wire::QuotaDecision decision;
    decision.tenant = "tenant";
    decision.granted = granted;
    decision.denied = denied;
    decision.retryAfterMs = 40;
    decision.retryAfterStepMs = 25;
    decision.deferred = deferred;
    decision.askAgainMs = askAgainMs;
    wire::QuotaGrant grant;
    grant.decisions = {decision};
    waits.onGrant(grant);
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    process.schedule(duration, [] {});
    while (queue.runNext(until)) {
    }
  }

  int lastCount() const { return requests.back().demands.front().count; }

  simulation::EventQueue queue;
  simulation::Process process{queue, "node", {"zone", "region"}, {"10.0.0.1", 1}};
  std::vector<wire::QuotaAsk> requests;
  std::vector<std::pair<quota_queue::owner, permit_outcome>> outcomes;
  quota_queue waits{process,
                    {base::milliseconds(5), base::milliseconds(700), base::milliseconds(250)},
                    [this](const wire::QuotaAsk& request) {
                      requests.push_back(request);
                      return true;
                    }};
};

}  // namespace

// Guards against refused callers that return together: each request of a part gets a time of its own.
TEST_CASE_METHOD(QueueFixture, "the k-th denied request gets the time of the decision and k steps") {
  for (quota_queue::owner owner = 1; owner <= 4; ++owner) wait(owner, base::seconds(1));
  runFor(base::milliseconds(10));
  // The first request of a queue leaves at once; the others wait for the answer.
  CHECK(lastCount() == 4);
  answer(1, 3);
  REQUIRE(outcomes.size() == 4);
  CHECK(outcomes[0].second.granted == 1);
  CHECK(outcomes[1].second.retryAfter == base::milliseconds(40));
  CHECK(outcomes[2].second.retryAfter == base::milliseconds(65));
  CHECK(outcomes[3].second.retryAfter == base::milliseconds(90));
}

// Guards against equal times for the requests of two nodes, or of two demands of a node, behind one relay.
TEST_CASE_METHOD(QueueFixture, "a denied part with several requests takes as many steps") {
  setDemand(1, 3);
  setDemand(2, 2);
  runFor(base::milliseconds(10));
  answer(0, 5);
  REQUIRE(outcomes.size() == 2);
  CHECK(outcomes[0].second.retryAfter == base::milliseconds(40));
  CHECK(outcomes[0].second.retryAfterStep == base::milliseconds(25));
  CHECK(outcomes[1].second.retryAfter == base::milliseconds(115));
}

// Guards against demands that are counted again each time a node repeats them.
TEST_CASE_METHOD(QueueFixture, "a repeated demand replaces the earlier one") {
  setDemand(1, 3);
  setDemand(1, 3);
  CHECK(waits.waiting() == 3);
  setDemand(2, 1);
  setDemand(1, 5);
  CHECK(waits.waiting() == 6);
  runFor(base::milliseconds(10));
  answer(4, 0);
  // What was demanded first is served first, and what a node demanded later comes after other nodes.
  REQUIRE(outcomes.size() == 2);
  CHECK(outcomes[0].first == 1);
  CHECK(outcomes[0].second.granted == 3);
  CHECK(outcomes[1].first == 2);
  setDemand(1, 0);
  CHECK(waits.waiting() == 0);
}

// Guards against demands that are asked for twice while they are deferred, or never again.
TEST_CASE_METHOD(QueueFixture, "deferred demands are asked for again at the stated time, with those that came since") {
  wait(1, base::seconds(2));
  wait(2, base::seconds(2));
  runFor(base::milliseconds(10));
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].demands.front().maxWaitMs == 2000);
  answer(0, 0, 2, 600);
  runFor(base::milliseconds(550));
  CHECK(requests.size() == 1);
  CHECK(outcomes.empty());
  wait(3, base::seconds(2));
  runFor(base::milliseconds(10));
  REQUIRE(requests.size() == 2);
  CHECK(lastCount() == 3);
  answer(0, 0, 3, 40);
  runFor(base::milliseconds(60));
  REQUIRE(requests.size() == 3);
  CHECK(lastCount() == 3);
}

// Guards against a leader or relay that is taken to remember demands that only its predecessor knew.
TEST_CASE_METHOD(QueueFixture, "deferred demands are asked for at once after the peer was replaced") {
  wait(1, base::seconds(2));
  runFor(base::milliseconds(10));
  answer(0, 0, 1, 1000);
  waits.resendAll();
  runFor(base::milliseconds(1));
  REQUIRE(requests.size() == 2);
  CHECK(lastCount() == 1);
}

// Guards against requests that are held although they will not find a token in time.
TEST_CASE_METHOD(QueueFixture, "a request that can't wait until the first deferred one is served is denied at once") {
  wait(1, base::milliseconds(100));
  wait(2, base::seconds(2));
  runFor(base::milliseconds(10));
  answer(0, 0, 2, 300);
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].first == 1);
  CHECK(outcomes[0].second.denied == 1);
  CHECK(outcomes[0].second.retryAfter == base::milliseconds(300));
}

// Guards against requests that end at a fixed time although an answer would still be of use, and against the reverse.
TEST_CASE_METHOD(QueueFixture, "each request waits as long as it can") {
  wait(1, base::milliseconds(1500));
  wait(2, base::milliseconds(300));
  runFor(base::milliseconds(310));
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].first == 2);
  CHECK(outcomes[0].second.unanswered == 1);
  runFor(base::milliseconds(1100));
  CHECK(outcomes.size() == 1);
  runFor(base::milliseconds(100));
  CHECK(outcomes.size() == 2);
}

// Guards against a tenant without an answer that holds up the demands of others.
TEST_CASE_METHOD(QueueFixture, "an unanswered demand delays only its own tenant") {
  wait(1, base::seconds(2));
  runFor(base::milliseconds(10));
  wait(2, base::seconds(2));
  wait(3, base::seconds(2), "other");
  runFor(base::milliseconds(10));
  REQUIRE(requests.size() == 2);
  REQUIRE(requests[1].demands.size() == 1);
  CHECK(requests[1].demands[0].tenant == "other");
  runFor(base::milliseconds(250));
  REQUIRE(requests.size() >= 3);
  CHECK(requests[2].demands[0].tenant == "tenant");
  CHECK(requests[2].demands[0].count == 2);
}

// Guards against refusals of requests that a repeated answer is not for, and against more permits than were granted.
TEST_CASE_METHOD(QueueFixture, "an answer that arrives twice refuses nothing more, and surplus permits are dropped") {
  wait(1, base::seconds(2));
  runFor(base::milliseconds(10));
  answer(0, 1);
  wait(2, base::seconds(2));
  answer(0, 1);
  CHECK(outcomes.size() == 1);
  answer(5, 0);
  CHECK(outcomes.size() == 2);
  CHECK(waits.waiting() == 0);
  answer(5, 0);
  wait(3, base::seconds(2));
  CHECK(outcomes.size() == 2);
}

// Guards against permits and refusals in invalid messages.
TEST_CASE_METHOD(QueueFixture, "decisions with negative numbers are ignored and counted") {
  wait(1, base::seconds(2));
  runFor(base::milliseconds(10));
  answer(2, -1);
  answer(0, 0, 1, -5);
  CHECK(outcomes.empty());
  CHECK(waits.invalidDecisions() == 2);
}

// Guards against callbacks for calls that have ended.
TEST_CASE_METHOD(QueueFixture, "a dropped demand is neither answered nor asked for again") {
  wait(1, base::seconds(2));
  runFor(base::milliseconds(10));
  waits.drop(1);
  waits.drop(2);
  answer(1, 0);
  runFor(base::seconds(3));
  CHECK(outcomes.empty());
  CHECK(requests.size() == 1);
}

}  // namespace driftlug::quota
