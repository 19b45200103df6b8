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

limits::TicketId requestSlot(limits::SlotLimiter& limiter, Outcome& outcome, int id, base::TimePoint deadline,
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
  for (int id = 0; id < 5; ++id) requestSlot(limiter, outcome, id, deadline);
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
  for (int id = 0; id < 3; ++id) requestSlot(limiter, outcome, id, deadline);
  requestSlot(limiter, outcome, 9, deadline + base::seconds(5), Priority::kMustRun);
  CHECK(outcome.refused == std::vector<int>{2});
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 9});
}

TEST_CASE("a request that would be late is refused at once") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 100);
  Outcome outcome;
  const auto far = time.now() + base::seconds(100);
  requestSlot(limiter, outcome, 0, far);
  limiter.release(base::milliseconds(100));
  for (int id = 1; id < 12; ++id) requestSlot(limiter, outcome, id, far, Priority::kMustRun);
  requestSlot(limiter, outcome, 99, time.now() + base::milliseconds(200));
  CHECK(outcome.refused == std::vector<int>{99});
}

TEST_CASE("a request ordered before all queued ones is not refused because of those behind it") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 100);
  Outcome outcome;
  const auto far = time.now() + base::seconds(100);
  requestSlot(limiter, outcome, 0, far);
  limiter.release(base::milliseconds(100));
  for (int id = 1; id < 12; ++id) requestSlot(limiter, outcome, id, far);
  requestSlot(limiter, outcome, 98, time.now() + base::milliseconds(200));
  requestSlot(limiter, outcome, 99, time.now() + base::milliseconds(90));
  CHECK(outcome.refused == std::vector<int>{99});
  limiter.release(base::milliseconds(100));
  CHECK(outcome.started == std::vector<int>{0, 1, 98});
}

TEST_CASE("lowering the limit does not abort running requests") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 4, 4);
  Outcome outcome;
  const auto deadline = time.now() + base::seconds(10);
  for (int id = 0; id < 8; ++id) requestSlot(limiter, outcome, id, deadline);
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
  requestSlot(limiter, outcome, 0, deadline);
  const auto ticket = requestSlot(limiter, outcome, 1, deadline);
  CHECK(limiter.cancel(ticket));
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0});
}

TEST_CASE("queued requests are ordered by priority, then by latest start time") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 10);
  Outcome outcome;
  const auto now = time.now();
  requestSlot(limiter, outcome, 0, now + base::seconds(9));
  requestSlot(limiter, outcome, 1, now + base::seconds(3), limits::priorityFor(2, true));
  requestSlot(limiter, outcome, 2, now + base::seconds(8), limits::priorityFor(1, true));
  requestSlot(limiter, outcome, 3, now + base::seconds(5), limits::priorityFor(1, true));
  for (int i = 0; i < 3; ++i) limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 3, 2, 1});
}

TEST_CASE("the expected wait counts only the requests that are ordered before") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 10);
  Outcome outcome;
  const auto now = time.now();
  requestSlot(limiter, outcome, 0, now + base::seconds(9));
  limiter.release(base::milliseconds(100));
  requestSlot(limiter, outcome, 1, now + base::seconds(9));
  for (int id = 2; id < 6; ++id) requestSlot(limiter, outcome, id, now + base::seconds(5));
  CHECK(limiter.expectedWait(Priority::kNormal, now + base::seconds(6)) == base::milliseconds(500));
  CHECK(limiter.expectedWait(Priority::kNormal, now + base::seconds(4)) == base::milliseconds(100));
  CHECK(limiter.expectedWait(Priority::kMustRun, now + base::seconds(6)) == base::milliseconds(100));
}

TEST_CASE("a request that can't start in time is refused, and refuseWaiting() refuses all that are queued") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 10);
  Outcome outcome;
  const auto now = time.now();
  requestSlot(limiter, outcome, 0, now + base::seconds(9));
  requestSlot(limiter, outcome, 1, now + base::seconds(1));
  requestSlot(limiter, outcome, 2, now + base::seconds(4));
  CHECK(limiter.nextExpiry() == now + base::seconds(1));
  time.advance(base::seconds(2));
  limiter.refuseExpired();
  CHECK(outcome.refused == std::vector<int>{1});
  limiter.refuseWaiting();
  CHECK(outcome.refused == std::vector<int>{1, 2});
  CHECK(!limiter.nextExpiry());
  CHECK(limiter.running() == 1);
}

TEST_CASE("nested requests go first, and leave others their share of the slots") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 4, 20);
  limiter.setNestedShare(0.5);
  Outcome outcome;
  const auto far = time.now() + base::seconds(9);
  for (int id = 0; id < 4; ++id) requestSlot(limiter, outcome, id, far);
  for (int id = 10; id < 14; ++id) requestSlot(limiter, outcome, id, far, Priority::kMustRun);
  for (int id = 20; id < 24; ++id) requestSlot(limiter, outcome, id, far, Priority::kNested);
  for (int i = 0; i < 4; ++i) limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 1, 2, 3, 20, 21, 10, 11});
  limiter.release(base::milliseconds(1), Priority::kNested);
  CHECK(outcome.started.back() == 22);
  for (int i = 0; i < 2; ++i) limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 1, 2, 3, 20, 21, 10, 11, 22, 12, 13});
  limiter.release(base::milliseconds(1));
  CHECK(outcome.started.back() == 23);  // no other request is queued
}

TEST_CASE("a request that is not ready keeps its place in the queue, and holds no slot meanwhile") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 10);
  Outcome outcome;
  const auto start = time.now();
  const auto requestSlotUnready = [&](int id, base::TimePoint latest) {
    return limiter.acquire(
        Priority::kNormal, latest, [&outcome, id] { outcome.started.push_back(id); },
        [&outcome, id](limits::SlotRefusal) { outcome.refused.push_back(id); }, false);
  };
  const auto first = requestSlotUnready(1, start + base::seconds(1));
  requestSlot(limiter, outcome, 2, start + base::seconds(2));
  CHECK(outcome.started == std::vector<int>{2});
  requestSlot(limiter, outcome, 3, start + base::seconds(2));
  limiter.setReady(first);
  CHECK(outcome.started == std::vector<int>{2});
  limiter.release(base::milliseconds(100));
  CHECK(outcome.started == std::vector<int>{2, 1});
  const auto late = requestSlotUnready(4, start + base::milliseconds(500));
  time.advance(base::milliseconds(600));
  limiter.refuseExpired();
  CHECK(outcome.refused == std::vector<int>{4});
  limiter.setReady(late);
  limiter.release(base::milliseconds(100));
  CHECK(outcome.started == std::vector<int>{2, 1, 3});
}

TEST_CASE("slots that are free while unready requests are queued count as free") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 2, 10);
  Outcome outcome;
  const auto far = time.now() + base::seconds(10);
  requestSlot(limiter, outcome, 0, far);
  limiter.release(base::seconds(1));
  (void)limiter.acquire(
      Priority::kNormal, far, [] {}, [](limits::SlotRefusal) {}, false);
  CHECK(limiter.expectedWait(Priority::kNormal, far) == base::Duration(0));
  requestSlot(limiter, outcome, 1, time.now() + base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{0, 1});
}

// Guards against a request that was promised a slot and is refused all the same.
TEST_CASE("a reserved request is neither refused by a full queue nor displaced") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 1);
  Outcome outcome;
  const auto deadline = time.now() + base::seconds(1);
  requestSlot(limiter, outcome, 1, deadline);
  requestSlot(limiter, outcome, 2, deadline);
  limiter.acquireReserved(
      Priority::kNormal, deadline, [&outcome] { outcome.started.push_back(3); },
      [&outcome](limits::SlotRefusal) { outcome.refused.push_back(3); });
  CHECK(outcome.refused.empty());
  CHECK(limiter.waiting() == 2);
  requestSlot(limiter, outcome, 4, deadline, Priority::kMustRun);
  CHECK(outcome.refused == std::vector<int>{2});
  requestSlot(limiter, outcome, 5, deadline, Priority::kMustRun);
  CHECK(outcome.refused == std::vector<int>{2, 5});
  for (int i = 0; i < 2; ++i) limiter.release(base::milliseconds(1));
  CHECK(outcome.started == std::vector<int>{1, 4, 3});
}

// Guards against requests that are queued in the belief that slots promised to others are theirs.
TEST_CASE("promised slots count in the expected wait of those that they go ahead of") {
  test::ManualTime time;
  limits::SlotLimiter limiter(time, 1, 8);
  Outcome outcome;
  requestSlot(limiter, outcome, 1, time.now() + base::seconds(1));
  limiter.release(base::milliseconds(100));
  requestSlot(limiter, outcome, 2, time.now() + base::seconds(1));
  const auto latest = time.now() + base::seconds(5);
  const auto without = limiter.expectedWait(Priority::kNormal, latest);
  limiter.usePromises([](Priority priority, base::TimePoint) { return priority >= Priority::kNormal ? 2 : 0; });
  CHECK(limiter.expectedWait(Priority::kNormal, latest) == 3 * without);
  CHECK(limiter.expectedWait(Priority::kMustRun, latest) == without);
}
