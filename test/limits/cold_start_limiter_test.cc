#include "limits/cold_start_limiter.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "limits/slot_limiter.h"
#include "manual_time.h"

namespace driftlug::limits {
namespace {

constexpr double kColdRatePerSecond = 8;

/// Offers short requests at a higher rate than a cold back end can handle.
struct Load {
  void offer(base::Duration duration) {
    constexpr auto kGap = base::milliseconds(10);
    for (base::Duration at{0}; at < duration; at += kGap) {
      limiter.refuseExpired();
      limiter.startWaiting();
      limiter.acquire(
          Priority::kNormal, time.now() + base::milliseconds(400), [this] { started.push_back(time.now()); },
          [](SlotRefusal) {});
      while (limiter.running() > 0) limiter.release(base::milliseconds(1));
      time.advance(kGap);
    }
  }

  /// @return the maximum number of starts within any one-second window
  size_t maxStartsInOneSecond() const {
    size_t most = 0;
    for (auto first = started.begin(); first != started.end(); ++first) {
      const auto last = std::lower_bound(first, started.end(), *first + base::seconds(1));
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }

  Load() {
    coldStart.setRate(kColdRatePerSecond);
    limiter.addStartLimiter(&coldStart);
  }

  test::ManualTime time;
  ColdStartLimiter coldStart{time};
  SlotLimiter limiter{time, 4, 16};
  std::vector<base::TimePoint> started;
};

}  // namespace

TEST_CASE("a cold back end gets no more requests in any second than its cold rate") {
  Load load;
  load.coldStart.onColdReport(base::seconds(10), true);
  load.offer(base::seconds(5));
  CHECK(load.maxStartsInOneSecond() == static_cast<size_t>(kColdRatePerSecond));
  CHECK(load.started.size() >= 4 * static_cast<size_t>(kColdRatePerSecond));
}

TEST_CASE("a back end that may have turned cold counts as cold until its state has been queried") {
  Load load;
  load.coldStart.markUncertain();
  load.coldStart.onColdReport(base::Duration(0), false);  // may have been sent before the state became uncertain
  load.offer(base::seconds(2));
  CHECK(load.maxStartsInOneSecond() == static_cast<size_t>(kColdRatePerSecond));
  load.coldStart.onColdReport(base::Duration(0), true);
  const auto before = load.started.size();
  load.offer(base::seconds(1));
  CHECK(load.started.size() - before > 5 * static_cast<size_t>(kColdRatePerSecond));
}

TEST_CASE("requests started just before a back end turns cold count toward its first second") {
  Load load;
  load.offer(base::milliseconds(500));
  const auto warm = load.started.size();
  load.coldStart.onColdReport(base::seconds(10), true);
  load.offer(base::milliseconds(400));
  CHECK(load.started.size() == warm);
}

TEST_CASE("nothing is limited while the rate of a cold back end is unknown") {
  Load load;
  load.coldStart.setRate(0);
  load.coldStart.onColdReport(base::seconds(10), true);
  load.offer(base::seconds(1));
  CHECK(load.started.size() >= 99);
}

/// A clock that advances on each reading, as real clocks do.
class MovingTime : public base::TimeSource {
 public:
  base::TimePoint now() const override { return now_ += base::microseconds(1); }

 private:
  mutable base::TimePoint now_{base::seconds(1)};
};

TEST_CASE("a request starts at once while a slot is free and no rate limit applies, also while the clock advances") {
  MovingTime time;
  ColdStartLimiter coldStart(time);
  SlotLimiter limiter(time, 4, 16);
  limiter.addStartLimiter(&coldStart);
  int started = 0;
  for (int i = 0; i < 4; ++i) {
    limiter.acquire(
        Priority::kNormal, time.now() + base::seconds(1), [&] { ++started; }, [](SlotRefusal) {});
  }
  CHECK(started == 4);
  CHECK(limiter.waiting() == 0);
}

}  // namespace driftlug::limits
