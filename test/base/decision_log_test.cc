#include "base/decision_log.h"

#include <catch2/catch.hpp>

#include "manual_time.h"

namespace driftlug::base {

TEST_CASE("lines are rate-limited by priority, and a line that is not written is not built") {
  test::ManualTime time;
  DecisionLog log("test", time, {10, 2, 1});
  int linesBuilt = 0;
  const auto write = [&](LinePriority priority) {
    log.write(priority, [&] {
      ++linesBuilt;
      return std::string("line");
    });
  };
  for (int i = 0; i < 100; ++i) write(LinePriority::kFailure);
  CHECK(linesBuilt == 10);
  for (int i = 0; i < 100; ++i) write(LinePriority::kRoutine);
  CHECK(linesBuilt == 12);
  CHECK(log.dropped() == 188);
  time.advance(milliseconds(500));
  for (int i = 0; i < 100; ++i) write(LinePriority::kFailure);
  CHECK(linesBuilt == 17);
  time.advance(seconds(60));
  for (int i = 0; i < 100; ++i) write(LinePriority::kFailure);
  CHECK(linesBuilt == 27);
}

}  // namespace driftlug::base
