/// Decisions of the grantor on single demands.
#include "quota/quota_grantor.h"

#include <catch2/catch.hpp>

#include "simulation/event_queue.h"
#include "simulation/process.h"

namespace driftlug::quota {
namespace {

struct GrantorFixture {
  GrantorFixture() { process.start(); }

  wire::QuotaDecision ask(quota_grantor::asker asker, int count, base::Duration maxWait) {
    wire::QuotaDemand demand;
    demand.tenant = "tenant";
    demand.count = count;
    demand.maxWaitMs = base::millisecondsOf(maxWait);
    wire::QuotaAsk request;
    request.demands = {demand};
    const auto grant = grantor.decide(asker, request);
    return grant.decisions.empty() ? wire::QuotaDecision() : grant.decisions.front();
  }

  void runFor(base::Duration duration) {
    process.schedule(duration, [] {});
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  std::optional<quota_limit> limit = quota_limit{10, 10};
  simulation::EventQueue queue;
  simulation::Process process{queue, "leader", {"zone", "region"}, {"10.0.0.1", 1}};
  quota_grantor grantor{process, [this](const std::string&) { return limit; }};
};

constexpr base::Duration kWait = base::seconds(2);

}  // namespace

// Guards against refusals by a new leader whose bucket is still empty, and against a wrong time to ask again.
TEST_CASE_METHOD(GrantorFixture, "a new leader defers what finds a token in time, and denies the rest") {
  const auto first = ask(1, 30, kWait);
  CHECK(first.granted == 0);
  // Tokens of 1.5 s: 0.9 s for the backlog of an election of 1.5 s at 0.6 of the rate, 0.6 s for uneven arrivals.
  CHECK(first.deferred == 15);
  CHECK(first.denied == 15);
  CHECK(first.askAgainMs >= 100);
  CHECK(first.askAgainMs <= 101);
  runFor(base::milliseconds(first.askAgainMs));
  const auto second = ask(1, first.deferred, kWait - base::milliseconds(first.askAgainMs));
  CHECK(second.granted == 1);
  CHECK(second.deferred == 14);
  CHECK(second.denied == 0);
  CHECK(grantor.counters().deferred == 15);
}

// Guards against relays that double their share of the tokens by repeating their demands.
TEST_CASE_METHOD(GrantorFixture, "a repeated demand keeps its places and is not counted twice") {
  CHECK(ask(1, 5, kWait).deferred == 5);
  CHECK(ask(1, 5, kWait).deferred == 5);
  CHECK(ask(1, 7, kWait).deferred == 7);
  CHECK(grantor.deferredNow() == 7);
  CHECK(grantor.counters().deferred == 7);
  CHECK(ask(1, 2, kWait).deferred == 2);
  CHECK(grantor.deferredNow() == 2);
}

// Guards against a demand that takes the tokens of those that were deferred before it, and against relays that have to
// wait for all demands of another.
TEST_CASE_METHOD(GrantorFixture, "backlogs of two relays are served in turn, and later demands after them") {
  CHECK(ask(1, 8, kWait).deferred == 8);
  CHECK(ask(2, 4, kWait).deferred == 4);
  runFor(base::milliseconds(301));
  CHECK(ask(2, 4 + 3, kWait).granted == 1);
  CHECK(ask(1, 8, kWait).granted == 2);
  for (int left : {6, 4, 2}) {
    runFor(base::milliseconds(300));
    CHECK(ask(2, left / 2 + 3, kWait).granted == 1);
    CHECK(ask(1, left, kWait).granted == 2);
  }
  runFor(base::milliseconds(300));
  CHECK(ask(2, 3, kWait).granted == 3);
}

// Guards against tokens that stay reserved for a relay that is lost.
TEST_CASE_METHOD(GrantorFixture, "the places of a relay that is lost or silent are forgotten") {
  CHECK(ask(1, 10, kWait).deferred == 10);
  CHECK(ask(2, 1, kWait).deferred == 1);
  grantor.forget(1);
  CHECK(grantor.deferredNow() == 1);
  CHECK(ask(1, 10, kWait).deferred == 10);
  runFor(base::milliseconds(900));
  // The relay asked for its first place 100 ms after it was deferred, or not at all.
  CHECK(ask(2, 1, kWait).granted == 1);
  CHECK(grantor.deferredNow() == 0);
}

// Guards against requests over the limit that wait although the leader knows that they are over it.
TEST_CASE_METHOD(GrantorFixture, "once its bucket has been full, a tenant over its limit is denied at once") {
  runFor(base::milliseconds(1001));
  const auto decision = ask(1, 30, kWait);
  CHECK(decision.granted == 10);
  CHECK(decision.denied == 20);
  CHECK(decision.deferred == 0);
}

// Guards against deferral that never ends for a tenant over its limit.
TEST_CASE_METHOD(GrantorFixture, "deferral ends for a tenant that stays over its limit") {
  int waiting = 30;
  for (int i = 0; i < 60; ++i) {
    waiting = ask(1, waiting, kWait).deferred + 9;
    runFor(base::milliseconds(100));
  }
  // New demands are not deferred in the last second, in which the places shrink by 10.
  CHECK(grantor.deferredNow() <= 10);
  runFor(base::seconds(1));
  ask(1, static_cast<int>(grantor.deferredNow()) + 1, kWait);
  CHECK(grantor.deferredNow() == 0);
}

// Guards against surprises for peers of earlier versions, which do not know deferral.
TEST_CASE_METHOD(GrantorFixture, "demands that state no wait are not deferred") {
  const auto decision = ask(1, 5, base::Duration(0));
  CHECK(decision.denied == 5);
  CHECK(decision.deferred == 0);
}

// Guards against demands that wait for tokens that an earlier limit would have brought.
TEST_CASE_METHOD(GrantorFixture, "a changed limit applies to deferred demands") {
  CHECK(ask(1, 15, kWait).deferred == 15);
  limit = quota_limit{2, 2};
  CHECK(ask(1, 15, kWait).deferred == 4);
  limit = quota_limit{100, 100};
  CHECK(ask(1, 4, kWait).deferred == 4);
  runFor(base::milliseconds(50));
  CHECK(ask(1, 4, kWait).granted == 4);
  CHECK(ask(1, 15, kWait).deferred > 0);
  limit.reset();
  CHECK(ask(1, 15, kWait).granted == 15);
  CHECK(grantor.deferredNow() == 0);
}

// Guards against herds: the same time must not be told to requests of two decisions, or of one.
TEST_CASE_METHOD(GrantorFixture, "denied requests get the times at which tokens come, one after the other") {
  runFor(base::seconds(6));
  const auto first = ask(1, 13, kWait);
  CHECK(first.denied == 3);
  CHECK(first.retryAfterMs == 100);
  CHECK(first.retryAfterStepMs == 100);
  const auto second = ask(2, 4, kWait);
  CHECK(second.denied == 4);
  CHECK(second.retryAfterMs == 400);
  CHECK(second.retryAfterStepMs == 100);
}

// Guards against times that are held from callers for others that can't wait for them.
TEST_CASE_METHOD(GrantorFixture, "a time beyond what a caller can wait is told, and not kept from others for long") {
  runFor(base::seconds(6));
  CHECK(ask(1, 60, kWait).retryAfterMs == 100);
  CHECK(ask(1, 10, kWait).retryAfterMs == 5100);
  runFor(base::milliseconds(2500));
  CHECK(ask(1, 28, kWait).granted == 10);
  CHECK(ask(1, 1, kWait).retryAfterMs <= 2000);
}

// Guards against messages with absurd numbers.
TEST_CASE_METHOD(GrantorFixture, "invalid demands are ignored and counted") {
  CHECK(ask(1, -1, kWait) == wire::QuotaDecision());
  CHECK(ask(1, 0, kWait) == wire::QuotaDecision());
  CHECK(ask(1, 2'000'000'000, kWait) == wire::QuotaDecision());
  CHECK(ask(1, 1, base::seconds(-1)) == wire::QuotaDecision());
  CHECK(ask(1, 1, base::seconds(1'000'000)) == wire::QuotaDecision());
  CHECK(grantor.counters().invalidDemands == 5);
  CHECK(grantor.deferredNow() == 0);
}

// Guards against work and memory that grow with the demand instead of the limit.
TEST_CASE_METHOD(GrantorFixture, "deferred demands are bounded by the limit, however much is demanded") {
  for (quota_grantor::asker asker = 1; asker <= 100; ++asker) ask(asker, 1000, base::seconds(60));
  CHECK(grantor.deferredNow() <= 2500);  // 100 relays, each with the tokens of 1.5 s and a burst
  limit = quota_limit{1e6, 1e6};
  for (quota_grantor::asker asker = 1; asker <= 100; ++asker) ask(asker, 1'000'000, base::seconds(60));
  CHECK(grantor.deferredNow() <= 4096);
}

}  // namespace driftlug::quota
