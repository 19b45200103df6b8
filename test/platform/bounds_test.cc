#include "bounds.h"

#include <catch2/catch.hpp>

#include "base/error.h"

namespace driftlug::platform {

TEST_CASE("a stop may take the grace that the platform states, less the time to end") {
  const auto bounds = parseBounds("seedLagS=3,reuseAfterS=2,graceS=10,retryBudgetRatio=0.2");
  REQUIRE(bounds.ok());
  CHECK(bounds->stopGrace == base::seconds(10));
  CHECK(stopTimeoutOf(*bounds) == base::milliseconds(9500));
}

TEST_CASE("no bounds, and bounds without a grace, say nothing of a stop") {
  CHECK(parseBounds("")->stopGrace.count() == 0);
  CHECK(parseBounds("seedLagS=3")->stopGrace.count() == 0);
  CHECK(stopTimeoutOf({}) == base::Duration(0));
}

TEST_CASE("a grace that is no number is an error with a type") {
  for (const auto* text : {"graceS", "graceS=", "graceS=soon", "graceS=-1"}) {
    const auto bounds = parseBounds(text);
    REQUIRE(!bounds.ok());
    CHECK(base::errorCodeOf(bounds.status()) == base::ErrorCode::kBadSetting);
  }
}

}  // namespace driftlug::platform
