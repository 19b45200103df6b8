#include "memory/body_budget.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

#include "memory/shared_body.h"

namespace driftlug::memory {
namespace {
constexpr body_budget_options kOptions{1000, 200, 50};
}

// Guards against small requests that wait behind large ones.
TEST_CASE("large bodies leave the reserve to small ones") {
  body_budget budget(kOptions);
  const auto large = budget.reserve(body_use::caller_request, 800);
  REQUIRE(large);
  CHECK(!budget.reserve(body_use::backend_response, 51));
  const auto small = budget.reserve(body_use::backend_response, 50);
  CHECK(small);
  CHECK(850 == budget.heldBytes());
  CHECK(50 == budget.heldBytes(body_use::backend_response));
  CHECK(1 == budget.counters().refused);
}

// Guards against a body of the maximum size that is never served as long as small requests come.
TEST_CASE("small bodies leave room for a large one") {
  body_budget budget(kOptions);
  std::vector<body_reservation> small;
  for (int i = 0; i < 4; ++i) {
    small.push_back(std::move(*budget.reserve(body_use::caller_request, 50)));
  }
  auto large = budget.reserve(body_use::caller_request, 800);
  REQUIRE(large);
  CHECK(!budget.reserve(body_use::caller_request, 1));
  large.reset();
  CHECK(budget.reserve(body_use::backend_request, 800));
}

TEST_CASE("a body that never fits is told from one that has no room now") {
  body_budget budget(kOptions);
  const auto held = budget.reserve(body_use::caller_request, 700);
  CHECK(!budget.reserve(body_use::caller_request, 800));
  CHECK(budget.fitsAlone(800));
  CHECK(!budget.fitsAlone(801));
}

TEST_CASE("bytes are free again with the last copy of their body, also after the budget is gone") {
  shared_body survivor;
  {
    body_budget budget(kOptions);
    {
      shared_body body(std::string(700, 'x'), std::move(*budget.reserve(body_use::caller_request, 700)));
      survivor = body;
    }
    CHECK(700 == budget.heldBytes());
    survivor = {};
    CHECK(0 == budget.heldBytes());
    CHECK(700 == budget.peakBytes());
    survivor = shared_body(std::string(10, 'y'), std::move(*budget.reserve(body_use::caller_request, 10)));
  }
  CHECK(survivor == "yyyyyyyyyy");
}

TEST_CASE("a reservation grows only where there is room") {
  body_budget budget(kOptions);
  auto growing = budget.reserve(body_use::caller_request, 100);
  const auto other = budget.reserve(body_use::caller_request, 600);
  CHECK(growing->resize(200));
  CHECK(!growing->resize(201));
  CHECK(200 == growing->bytes());
  CHECK(800 == budget.heldBytes());
}

TEST_CASE("bytes that only save work are freed before a reservation fails") {
  body_budget budget(kOptions);
  auto kept = budget.reserve(body_use::caller_request, 600);
  int64_t asked = 0;
  budget.setReclaimer([&](int64_t _bytes) {
    asked += _bytes;
    kept.reset();
  });
  CHECK(budget.reserve(body_use::backend_response, 100));
  CHECK(0 == asked);
  CHECK(budget.reserve(body_use::backend_response, 700));
  CHECK(500 == asked);
  CHECK(600 == budget.counters().reclaimed);
}

}  // namespace driftlug::memory
