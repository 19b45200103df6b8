#include "base/decision_log.h"

#include <catch2/catch.hpp>

#include "manual_time.h"

namespace driftlug::base {

TEST_CASE("lines are bounded by kind, and a line that is not written is not made") {
  test::ManualTime time;
  DecisionLog log("test", time, {10, 2, 1});
  int made = 0;
  const auto write = [&](LineWorth worth) {
    log.write(worth, [&] {
      ++made;
      return std::string("line");
    });
  };
  for (int i = 0; i < 100; ++i) write(LineWorth::kFailure);
  CHECK(made == 10);
  for (int i = 0; i < 100; ++i) write(LineWorth::kRoutine);
  CHECK(made == 12);
  CHECK(log.dropped() == 188);
  time.advance(milliseconds(500));
  for (int i = 0; i < 100; ++i) write(LineWorth::kFailure);
  CHECK(made == 17);
  time.advance(seconds(60));
  for (int i = 0; i < 100; ++i) write(LineWorth::kFailure);
  CHECK(made == 27);
}

}  // namespace driftlug::base
