/// Quota permits in a simulated fleet of nodes, relays and changing leaders, on the virtual clock.
#include "quota_fleet.h"

#include <catch2/catch.hpp>

namespace driftlug::quota {
namespace {

constexpr int kRelays = 3;
constexpr double kRatePerS = 40;
constexpr double kBurst = 20;
constexpr base::Duration kSpan = base::seconds(5);
const auto kMostInSpan = static_cast<size_t>(kRatePerS * 5 + kBurst);

}  // namespace

TEST_CASE("requests below the limit are granted") {
  Fleet fleet(1);
  fleet.runFor(base::seconds(1));
  fleet.send(0.6 * kRatePerS, base::seconds(20));
  fleet.runFor(base::seconds(2));
  CHECK(fleet.granted() == fleet.sent());
}

TEST_CASE("beyond the limit the rate is granted, the rest is denied at once, and no span holds more than the limit") {
  Fleet fleet(2);
  fleet.runFor(base::seconds(1));
  fleet.send(10 * kRatePerS, base::seconds(20));
  fleet.runFor(base::seconds(2));
  CHECK(fleet.maxGrantedWithin(kSpan) <= kMostInSpan);
  CHECK(fleet.granted() >= static_cast<int64_t>(0.95 * kRatePerS * 20));
  CHECK(fleet.unanswered() == 0);
  CHECK(fleet.granted() + fleet.denied() == fleet.sent());
}

TEST_CASE("no span holds more than the limit over changes of the leader and cuts of relays") {
  size_t most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    base::RandomSource random(seed + 1000);
    fleet.runFor(base::seconds(1));
    for (int i = 0; i < 6; ++i) {
      fleet.send(random.below(2) == 0 ? 0.6 * kRatePerS : 5 * kRatePerS, base::milliseconds(1500));
      const auto relay = static_cast<int>(random.below(kRelays));
      fleet.setCut(relay, random.below(2) == 0);
      if (random.below(2) == 0) fleet.newLeader();
    }
    most = std::max(most, fleet.maxGrantedWithin(kSpan));
  }
  CHECK(most <= kMostInSpan);
}

TEST_CASE("requests without a decision are reported as unanswered in time") {
  Fleet fleet(3);
  fleet.setPermitWait(base::milliseconds(700));
  for (int i = 0; i < kRelays; ++i) fleet.setCut(i, true);
  fleet.send(kRatePerS, base::seconds(2));
  fleet.runFor(base::seconds(2));
  CHECK(fleet.granted() == 0);
  CHECK(fleet.unanswered() == fleet.sent());
}

}  // namespace driftlug::quota
