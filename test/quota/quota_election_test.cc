/// Quota permits over elections: deferral by a new leader, repeated messages and the times that refused requests get.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "quota_fleet.h"

namespace driftlug::quota {
namespace {

constexpr double kRatePerS = 40;
constexpr double kBurst = 20;
constexpr base::Duration kSpan = base::seconds(5);
const auto kMostInSpan = static_cast<size_t>(kRatePerS * 5 + kBurst);
constexpr base::Duration kMaxElection = base::milliseconds(1500);

}  // namespace

// Guards against refusals of a tenant below its limit by a leader that does not know what its predecessor granted.
// 10,185 of 119,305 requests were denied and 3,360 unanswered before demands were deferred.
TEST_CASE("fewer than 1 in 1,000 requests below the limit are refused over elections") {
  int64_t sent = 0;
  int64_t denied = 0;
  int64_t unanswered = 0;
  int64_t deferred = 0;
  size_t most = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    base::RandomSource random(seed + 2000);
    fleet.runFor(base::seconds(1));
    for (int i = 0; i < 3; ++i) {
      fleet.send(0.6 * kRatePerS, base::seconds(4) + random.duration(base::seconds(4)));
      fleet.endLeader();
      fleet.send(0.6 * kRatePerS, base::milliseconds(200) + random.duration(kMaxElection - base::milliseconds(200)));
      fleet.newLeader();
    }
    fleet.send(0.6 * kRatePerS, base::seconds(4));
    fleet.runFor(base::seconds(4));
    CHECK(fleet.granted() + fleet.denied() + fleet.unanswered() == fleet.sent());
    sent += fleet.sent();
    denied += fleet.denied();
    unanswered += fleet.unanswered();
    deferred += fleet.deferred();
    most = std::max(most, fleet.maxGrantedWithin(kSpan));
  }
  INFO("sent " << sent << ", denied " << denied << ", unanswered " << unanswered << ", deferred " << deferred);
  CHECK((denied + unanswered) * 1000 < sent);
  CHECK(deferred > 0);
  CHECK(most <= kMostInSpan);
}

// Guards against a standing queue of deferred demands: with one, all requests of a tenant that exceeds its limit soon
// after an election wait for over half a second, also those that the limit allows.
TEST_CASE("a tenant that exceeds its limit after an election is granted its limit without a standing queue") {
  Fleet fleet(1);
  fleet.setPermitWait(base::milliseconds(1200));
  fleet.runFor(base::seconds(1));
  fleet.send(0.6 * kRatePerS, base::seconds(6));
  fleet.endLeader();
  fleet.send(0.6 * kRatePerS, base::milliseconds(450));
  fleet.newLeader();
  fleet.send(0.6 * kRatePerS, base::milliseconds(700));
  fleet.send(9 * kRatePerS, base::milliseconds(1800));
  const auto before = static_cast<std::ptrdiff_t>(fleet.of("tenant").waits.size());
  const auto grantedBefore = fleet.granted();
  fleet.send(9 * kRatePerS, base::seconds(4));
  const auto& waits = fleet.of("tenant").waits;
  std::vector<base::Duration> later(waits.begin() + before, waits.end());
  std::sort(later.begin(), later.end());
  REQUIRE(!later.empty());
  // A lookup runs for 270 ms of its target of 500 ms on average; permits may take half of the rest.
  CHECK(later[later.size() / 2] <= base::milliseconds(115));
  CHECK(fleet.granted() - grantedBefore >= static_cast<int64_t>(0.9 * 4 * kRatePerS));
  CHECK(fleet.maxGrantedWithin(kSpan) <= kMostInSpan);
}

// Guards against a limit that is exceeded after leaders were killed, frozen or restarted, or relays were cut off.
TEST_CASE("no span holds more than the limit over cuts and frozen, killed and restarted leaders") {
  size_t most = 0;
  int64_t deferred = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    base::RandomSource random(seed + 3000);
    for (int i = 0; i < 8; ++i) {
      const double rate = random.below(2) == 0 ? 0.6 * kRatePerS : 9 * kRatePerS;
      fleet.send(rate, random.duration(base::seconds(2)));
      fleet.setCut(static_cast<int>(random.below(3)), random.below(2) == 0);
      const auto failure = random.below(4);
      if (failure == 0) {
        fleet.freezeLeader();
        fleet.send(rate, random.duration(base::milliseconds(500)));
        fleet.thawLeader();
      } else if (failure == 1) {
        fleet.endLeader();
        fleet.send(rate, random.duration(kMaxElection));
        fleet.newLeader();
      } else if (failure == 2) {
        fleet.newLeader();
      }
    }
    for (int relay = 0; relay < 3; ++relay) fleet.setCut(relay, false);
    fleet.newLeader();
    fleet.runFor(base::seconds(5));
    CHECK(fleet.granted() + fleet.denied() + fleet.unanswered() == fleet.sent());
    deferred += fleet.deferred();
    most = std::max(most, fleet.maxGrantedWithin(kSpan));
  }
  CHECK(deferred > 0);
  CHECK(most <= kMostInSpan);
}

// Guards against demands that are lost, or held to an answer that never comes, with the leader that deferred them.
TEST_CASE("demands that a killed leader had deferred are granted by the next one") {
  int64_t sent = 0;
  int64_t refused = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed);
    base::RandomSource random(seed + 4000);
    fleet.runFor(base::seconds(6));
    fleet.endLeader();
    fleet.send(0.6 * kRatePerS, base::milliseconds(400));
    fleet.newLeader();
    fleet.send(0.6 * kRatePerS, base::milliseconds(30) + random.duration(base::milliseconds(100)));
    CHECK(fleet.deferred() > 0);
    fleet.endLeader();
    fleet.send(0.6 * kRatePerS, base::milliseconds(400));
    fleet.newLeader();
    fleet.send(0.6 * kRatePerS, base::seconds(4));
    fleet.runFor(base::seconds(3));
    CHECK(fleet.granted() + fleet.denied() + fleet.unanswered() == fleet.sent());
    CHECK(fleet.maxGrantedWithin(kSpan) <= kMostInSpan);
    sent += fleet.sent();
    refused += fleet.denied() + fleet.unanswered();
  }
  INFO("sent " << sent << ", refused " << refused);
  CHECK(refused * 1000 < sent);
}

// Guards against double grants to repeated messages, also to those that repeat a deferred demand.
TEST_CASE("no span holds more than the limit while all messages arrive twice") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.repeatMessages();
    for (int i = 0; i < 3; ++i) {
      fleet.send(0.6 * kRatePerS, base::seconds(3));
      fleet.endLeader();
      fleet.send(0.6 * kRatePerS, base::milliseconds(800));
      fleet.newLeader();
    }
    fleet.runFor(base::seconds(4));
    CHECK(fleet.granted() + fleet.denied() + fleet.unanswered() == fleet.sent());
    CHECK(fleet.maxGrantedWithin(kSpan) <= kMostInSpan);
  }
}

// Guards against demands that wait for tokens of an earlier limit, and against more grants than the lower limit allows.
TEST_CASE("a limit that is lowered while demands are deferred holds, and refuses what finds no token in time") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.runFor(base::seconds(6));
    fleet.endLeader();
    fleet.send(0.6 * kRatePerS, base::milliseconds(1200));
    fleet.newLeader();
    fleet.runFor(base::milliseconds(100));
    CHECK(fleet.deferred() > 0);
    const auto before = fleet.granted();
    fleet.setLimit("tenant", {4, 2});
    fleet.runFor(base::seconds(3));
    CHECK(fleet.granted() - before <= 4 * 3 + 2 + 4);  // 4: tokens of the former limit that the bucket may hold
    CHECK(fleet.denied() > 0);
    CHECK(fleet.granted() + fleet.denied() + fleet.unanswered() == fleet.sent());
  }
}

// Guards against herds: requests that are refused together must not return together.
TEST_CASE("refused requests are told different times, at the rate of the limit") {
  Fleet fleet(7);
  fleet.runFor(base::seconds(6));
  fleet.send(9 * kRatePerS, base::seconds(3));
  fleet.runFor(base::seconds(1));
  auto times = fleet.of("tenant").returnAt;
  REQUIRE(times.size() > 800);
  std::sort(times.begin(), times.end());
  size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    most = std::max(
        most, static_cast<size_t>(std::lower_bound(first, times.end(), *first + base::milliseconds(100)) - first));
  }
  // In 100 ms there are 4 tokens. Beyond the 2 s that these requests can wait, retry times repeat.
  INFO("most within 100 ms: " << most);
  CHECK(most <= 12);
}

/// Waits of requests of the quiet tenants, in microseconds, sorted.
struct QuietWaits {
  std::vector<int64_t> waits;
  int64_t refused = 0;
  int64_t messagesToLeader = 0;
  int64_t messagesToRelays = 0;

  int64_t quantile(double share) const {
    return waits[static_cast<size_t>(share * static_cast<double>(waits.size() - 1))];
  }
};

// Without the loud tenant the fleet has 2,000 requests a second, as in the deployment with tenants.
constexpr int kQuietTenants = 40;
constexpr base::Duration kLoad = base::seconds(6);

QuietWaits quietWaits(uint64_t seed, double loudShare, bool election) {
  FleetOptions options;
  options.relays = 11;
  options.nodes = 72;
  options.relayBatch = base::microseconds(16'500);
  options.limits = {{"loud", {250, 250}}};
  std::map<std::string, double> rates = {{"loud", loudShare * 250}};
  for (int i = 0; i < kQuietTenants; ++i) {
    options.limits["quiet-" + std::to_string(i)] = {80, 80};
    rates["quiet-" + std::to_string(i)] = 48;
  }
  Fleet fleet(seed, options);
  fleet.runFor(base::seconds(6));
  if (election) {
    fleet.endLeader();
    fleet.send(rates, base::seconds(1));
    fleet.newLeader();
  }
  fleet.send(rates, kLoad);
  fleet.runFor(base::seconds(3));
  QuietWaits result;
  for (int i = 0; i < kQuietTenants; ++i) {
    const auto& outcomes = fleet.of("quiet-" + std::to_string(i));
    for (const auto wait : outcomes.waits) result.waits.push_back(wait.count());
    result.refused += outcomes.denied + outcomes.unanswered;
  }
  std::sort(result.waits.begin(), result.waits.end());
  result.messagesToLeader = fleet.messagesToLeader();
  result.messagesToRelays = fleet.messagesToRelays();
  return result;
}

// Guards against queues of one tenant that delay another, and against messages that grow with the demand.
TEST_CASE("a tenant at 9 times its limit does not delay the permits of others") {
  for (const bool election : {false, true}) {
    const auto calm = quietWaits(1, 0.6, election);
    const auto loaded = quietWaits(2, 9, election);
    INFO("election " << election << ", p50 " << calm.quantile(0.5) << " and " << loaded.quantile(0.5) << " us, p99 "
                     << calm.quantile(0.99) << " and " << loaded.quantile(0.99) << " us, refused " << calm.refused
                     << " and " << loaded.refused << ", messages to the leader " << calm.messagesToLeader << " and "
                     << loaded.messagesToLeader << ", to relays " << calm.messagesToRelays << " and "
                     << loaded.messagesToRelays);
    CHECK(loaded.refused == 0);
    CHECK(loaded.quantile(0.5) <= calm.quantile(0.5) * 1.1);
    CHECK(loaded.quantile(0.99) <= calm.quantile(0.99) * 1.1);
    // Each relay sends at most one request in a batch interval.
    CHECK(loaded.messagesToLeader <= 11 * base::seconds(11) / base::microseconds(16'500));
  }
}

}  // namespace driftlug::quota
