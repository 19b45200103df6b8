#include "limits/slot_limiter.h"

#include <catch2/catch.hpp>

#include <vector>

#include "manual_time.h"

using namespace driftlug;
using limits::Priority;

namespace {

struct Outcome {
  std::vector<int> started;
  std::vector<int> refused;
};

limits::TicketId ask(limits::SlotLimiter& limiter, Outcome& outcome, int id, base::TimePoint deadline,
                     Priority priority = Priority::kNormal) {
  return limiter.acquire(
      priority, deadline, [&outcome, id] { outcome.started.push_back(id); },
      [&outcome, id](limits::SlotRefusal) { outcome.refused.push_back(id); });
}

}  // namespace

TEST_CASE("no more than the limit run at once, and each request is answered once") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 2, 1);
  Outcome outcome;
  const auto deadline = time.now() + base::seconds(10);
  for (int id = 0; id < 5; ++id) ask(limiter, outcome, id, deadline);
  CHECK(outcome.started == std::vector<int>{0, 1});
  CHECK(outcome.refused == std::vector<int>{3, 4});
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 1, 2});
  CHECK(limiter.running() == 2);
}

TEST_CASE("requests that must run go first and displace others from a full queue") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 2);
  Outcome outcome;
  const auto deadline = time.now() + base::seconds(10);
  for (int id = 0; id < 3; ++id) ask(limiter, outcome, id, deadline);
  ask(limiter, outcome, 9, deadline + base::seconds(5), Priority::kMustRun);
  CHECK(outcome.refused == std::vector<int>{2});
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 9});
}

TEST_CASE("a request that would be late is refused at once") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 100);
  Outcome outcome;
  const auto far = time.now() + base::seconds(100);
  ask(limiter, outcome, 0, far);
  limiter.release(base::milliseconds(100));
  for (int id = 1; id < 12; ++id) ask(limiter, outcome, id, far);
  ask(limiter, outcome, 99, time.now() + base::milliseconds(200));
  CHECK(outcome.refused == std::vector<int>{99});
}

TEST_CASE("a smaller limit cuts nothing that runs") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 4, 4);
  Outcome outcome;
  const auto deadline = time.now() + base::seconds(10);
  for (int id = 0; id < 8; ++id) ask(limiter, outcome, id, deadline);
  limiter.setLimits(1, 2);
  CHECK(limiter.running() == 4);
  CHECK(outcome.refused.size() == 2);
  limiter.release(base::milliseconds(1));
  limiter.release(base::milliseconds(1));
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started.size() == 4);
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started.size() == 5);
}

TEST_CASE("a cancelled ticket never starts") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 4);
  Outcome outcome;
  const auto deadline = time.now() + base::seconds(10);
  ask(limiter, outcome, 0, deadline);
  const auto ticket = ask(limiter, outcome, 1, deadline);
  CHECK(limiter.cancel(ticket));
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0});
}
