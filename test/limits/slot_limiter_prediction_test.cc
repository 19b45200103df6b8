/// The limiter with predicted holding times.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "base/random.h"
#include "limits/slot_limiter.h"
#include "manual_time.h"

namespace driftlug::limits {
namespace {

constexpr int kSlots = 9;
/// Holding times by kind, in milliseconds.
constexpr int kHoldMs[] = {47, 190, 760};

/// Requests of three kinds that hold slots for known times.
struct SharedSlots : HoldPredictor {
  bool available() const override { return predicts; }
  base::Duration holdTime(HoldKind kind) const override { return base::milliseconds(kHoldMs[kind]); }
  std::vector<RunningHold> running() const override {
    std::vector<RunningHold> holds;
    for (const auto& [end, kind] : ends) holds.push_back({end - time.now(), nestedKind == kind, deviation});
    return holds;
  }
  base::Duration meanHoldTime() const override {
    base::Duration sum{0};
    for (const auto& [end, kind] : ends) sum += holdTime(kind);
    return sum / std::max<int64_t>(1, static_cast<int64_t>(ends.size()));
  }

  Priority priorityOf(HoldKind kind) const { return kind == nestedKind ? Priority::kNested : Priority::kNormal; }

  void request(HoldKind kind) {
    // Each request is ordered behind those that were sent before it.
    const auto latest = time.now() + base::seconds(100) + base::microseconds(++requests);
    const auto expected = limiter.expectedWait(priorityOf(kind), latest);
    limiter.acquire(
        priorityOf(kind), latest,
        [this, kind, expected, sentAt = time.now()] {
          ends.emplace(time.now() + holdTime(kind), kind);
          const auto waited = time.now() - sentAt;
          if (waited <= base::milliseconds(100)) return;
          errors.push_back(errorOf(expected, waited));
          if (kind != nestedKind) otherErrors.push_back(errors.back());
        },
        [](SlotRefusal) { FAIL("refused"); }, true, kind);
  }

  static double errorOf(base::Duration expected, base::Duration waited) {
    return std::abs(static_cast<double>((expected - waited).count())) / static_cast<double>(waited.count());
  }

  /// Ends requests until none is left.
  void drain() {
    while (!ends.empty()) endNext();
  }

  void endNext() {
    const auto [end, kind] = *ends.begin();
    time.advance(end - time.now());
    ends.erase(ends.begin());
    limiter.release(holdTime(kind), priorityOf(kind));
  }

  double maxError() const { return *std::max_element(errors.begin(), errors.end()); }
  double meanError() const {
    double sum = 0;
    for (const double error : errors) sum += error;
    return sum / static_cast<double>(errors.size());
  }

  test::ManualTime time;
  SlotLimiter limiter{time, kSlots, 1000};
  std::multimap<base::TimePoint, HoldKind> ends;  // of the requests that run, with their kinds
  std::vector<double> errors;                     // relative errors of the predicted waits
  std::vector<double> otherErrors;                // of these, those of requests that are not nested
  bool predicts = true;
  base::Duration deviation{0};  // mean absolute deviation of the predicted rests
  HoldKind nestedKind = -1;
  int requests = 0;
};

/// Sends groups of requests in which one kind prevails at a time.
void sendGroups(SharedSlots& slots) {
  base::RandomSource random(7);
  for (int group = 0; group < 60; ++group) {
    const auto prevailing = static_cast<HoldKind>(random.below(3));
    for (int i = 0; i < 45; ++i) {
      slots.request(random.chance(0.8) ? prevailing : static_cast<HoldKind>(random.below(3)));
    }
    slots.drain();
  }
}

}  // namespace

// Guards against a mean over kinds that differ by an order of magnitude: it refuses short requests that would be in
// time, and admits others behind long ones that are not.
TEST_CASE(
    "with three kinds on shared slots, predicted waits are near the real ones and those by one mean are far off") {
  SharedSlots predicted;
  predicted.limiter.usePredictor(&predicted);
  sendGroups(predicted);
  REQUIRE(predicted.errors.size() > 1000);
  CHECK(predicted.maxError() < 0.25);
  SharedSlots mean;
  sendGroups(mean);
  CHECK(mean.meanError() > 0.5);
}

// Guards against a wait that leaves out that nested calls, which go first, hold only their share while others wait.
TEST_CASE("the share of nested calls is part of the predicted wait") {
  SharedSlots slots;
  slots.limiter.usePredictor(&slots);
  slots.limiter.setNestedShare(0.75);
  slots.nestedKind = 1;
  for (int i = 0; i < kSlots; ++i) slots.request(0);
  for (int i = 0; i < 40; ++i) slots.request(1);
  for (int i = 0; i < 12; ++i) slots.request(0);
  slots.drain();
  // The nested calls were queued before others waited, so only the waits of the others are known exactly.
  const auto& errors = slots.otherErrors;
  REQUIRE(errors.size() > 5);
  CHECK(*std::max_element(errors.begin(), errors.end()) < 0.01);
}

// Guards against a predictor that decides anything while it has no predictions.
TEST_CASE("a predictor that is not available changes nothing") {
  SharedSlots with;
  with.predicts = false;
  with.limiter.usePredictor(&with);
  SharedSlots without;
  sendGroups(with);
  sendGroups(without);
  CHECK(with.errors == without.errors);
  CHECK(with.limiter.slotInterval() == without.limiter.slotInterval());
}

TEST_CASE("slots above a lowered limit are not expected to become free") {
  SharedSlots slots;
  slots.limiter.usePredictor(&slots);
  for (int i = 0; i < kSlots - 1; ++i) slots.request(0);
  slots.request(2);
  const auto far = slots.time.now() + base::seconds(100);
  CHECK(slots.limiter.expectedWait(Priority::kNormal, far) == base::milliseconds(47));
  slots.limiter.setLimits(1, 1000);
  CHECK(slots.limiter.expectedWait(Priority::kNormal, far) == base::milliseconds(760));
}

// Guards against waits that are too long where run times vary: the first of nine slots becomes free well before the
// mean.
TEST_CASE("the first of several slots is expected earlier the more their holding times vary") {
  constexpr int kRounds = 2000;
  constexpr double kStandardDeviationMs = 250;
  base::RandomSource random(3);
  double sumMs = 0;
  for (int round = 0; round < kRounds; ++round) {
    double firstMs = 1e9;
    for (int slot = 0; slot < kSlots; ++slot) {
      double normal = -6;
      for (int i = 0; i < 12; ++i) normal += random.unit();
      firstMs = std::min(firstMs, kHoldMs[2] + kStandardDeviationMs * normal);
    }
    sumMs += firstMs;
  }
  SharedSlots slots;
  slots.limiter.usePredictor(&slots);
  slots.deviation = base::milliseconds(200);  // of a normal distribution with that standard deviation
  for (int i = 0; i < kSlots; ++i) slots.request(2);
  const auto expected = slots.limiter.expectedWait(Priority::kNormal, slots.time.now() + base::seconds(100));
  CHECK(std::chrono::duration<double, std::milli>(expected).count() == Approx(sumMs / kRounds).epsilon(0.25));
}

// Guards against a back-off of callers that follows the mean of past requests while long ones hold the slots.
TEST_CASE("the interval between free slots follows what runs") {
  SharedSlots slots;
  slots.limiter.usePredictor(&slots);
  for (int i = 0; i < kSlots; ++i) slots.request(2);
  CHECK(slots.limiter.slotInterval() == base::Duration(base::milliseconds(760)) / kSlots);
}

}  // namespace driftlug::limits
