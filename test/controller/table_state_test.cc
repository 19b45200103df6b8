#include "controller/table_state.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "base/error.h"
#include "table_rows.h"

using namespace driftlug;

namespace {

constexpr int kRows = 1000;
constexpr int kEdits = 250;
constexpr int64_t kAnyRevision = -1;

wire::EditCommand editOfServices(int64_t index, int64_t expectedRevision) {
  wire::EditCommand edit;
  edit.requestId = "edit-" + std::to_string(index);
  edit.baseRevision = index - 1;
  for (int i = 0; i < kRows; ++i) {
    wire::Mutation mutation;
    mutation.row = *test::serviceRow("s" + std::to_string(i), 0);
    mutation.expectedRevision = expectedRevision;
    edit.mutations.push_back(std::move(mutation));
  }
  return edit;
}

const wire::EditOutcome& applyTo(controller::TableState* state, int64_t index, int64_t expectedRevision) {
  table::ChangedRows rows;
  return state->apply(index, editOfServices(index, expectedRevision), &rows);
}

size_t historyKeyCount(const controller::TableState& state) {
  size_t keys = 0;
  for (const auto& record : state.history()) keys += record.keys.size();
  return keys;
}

}  // namespace

TEST_CASE("the history of large edits is bounded by the keys that it names") {
  controller::TableState state;
  for (int64_t index = 1; index <= kEdits; ++index) CHECK(applyTo(&state, index, kAnyRevision).code == 0);
  CHECK(historyKeyCount(state) <= controller::kMaxHistoryKeys);
  CHECK(state.history().back().revision == kEdits);
  controller::TableState restored;
  restored.restore(state.takeSnapshot());
  CHECK(applyTo(&restored, kEdits + 1, kAnyRevision).code == 0);
  CHECK(historyKeyCount(restored) <= controller::kMaxHistoryKeys);
}

TEST_CASE("outcomes of large rejected edits are bounded by the number of rows in them") {
  constexpr int64_t kNone = 0;
  controller::TableState state;
  CHECK(applyTo(&state, 1, kNone).code == 0);
  for (int64_t index = 2; index <= kEdits; ++index) {
    CHECK(applyTo(&state, index, kNone).currentRows.size() == kRows);
  }
  size_t rows = 0;
  for (const auto& outcome : state.takeSnapshot().outcomes) rows += outcome.currentRows.size();
  CHECK(rows <= controller::kMaxOutcomeDetails);
  CHECK(state.findOutcome("edit-" + std::to_string(kEdits)) != nullptr);
  // An edit based on a revision before the window is rejected, as its outcome may have been dropped.
  CHECK(state.windowFloor() > 1);
  CHECK(state.findOutcome("edit-2") == nullptr);
  CHECK(state.findOutcome("edit-1") != nullptr);
}

namespace {

/// Applies an edit of one service.
int applySmallEdit(controller::TableState* state, int64_t index, int64_t expectedRevision) {
  wire::EditCommand edit;
  edit.requestId = "edit-" + std::to_string(index);
  edit.baseRevision = index - 1;
  edit.mutations.emplace_back();
  edit.mutations.back().row = *test::serviceRow("s", 0);
  edit.mutations.back().expectedRevision = expectedRevision;
  table::ChangedRows rows;
  return state->apply(index, edit, &rows).code;
}

}  // namespace

TEST_CASE("an accepted edit keeps its outcome when rejected ones fill the window after it, also in a snapshot") {
  constexpr int64_t kMustNotExist = 0;
  constexpr auto kWindow = static_cast<int64_t>(controller::kOutcomeWindow);
  controller::TableState state;
  SECTION("with many rows each") {
    CHECK(applyTo(&state, 1, kAnyRevision).code == 0);
    for (int64_t index = 2; index <= kEdits; ++index) CHECK(applyTo(&state, index, kMustNotExist).code != 0);
  }
  SECTION("with one row each") {
    CHECK(applySmallEdit(&state, 1, kAnyRevision) == 0);
    for (int64_t index = 2; index <= kWindow + 2; ++index) REQUIRE(applySmallEdit(&state, index, kMustNotExist) != 0);
  }
  REQUIRE(state.windowFloor() >= 1);
  REQUIRE(state.findOutcome("edit-1") != nullptr);
  CHECK(state.findOutcome("edit-1")->code == 0);
  CHECK(state.findOutcome("edit-1")->revision == 1);
  CHECK(state.findOutcome("edit-2") == nullptr);
  controller::TableState restored;
  restored.restore(state.takeSnapshot());
  REQUIRE(restored.findOutcome("edit-1") != nullptr);
  CHECK(restored.findOutcome("edit-1")->fingerprint == state.findOutcome("edit-1")->fingerprint);
}

TEST_CASE("accepted edits of a snapshot without their outcomes are known from the history") {
  controller::TableState state;
  CHECK(applySmallEdit(&state, 1, kAnyRevision) == 0);
  CHECK(applySmallEdit(&state, 2, 0) != 0);
  auto snapshot = state.takeSnapshot();
  snapshot.outcomes.erase(snapshot.outcomes.begin());
  snapshot.historyFloor = 1;
  controller::TableState restored;
  restored.restore(snapshot);
  REQUIRE(restored.findOutcome("edit-1") != nullptr);
  CHECK(restored.findOutcome("edit-1")->code == 0);
  CHECK(restored.findOutcome("edit-1")->revision == 1);
  CHECK(restored.findOutcome("edit-2")->code != 0);
}

TEST_CASE("an accepted edit of a snapshot that has expired since is known as accepted") {
  controller::TableState state;
  CHECK(applySmallEdit(&state, 1, kAnyRevision) == 0);
  auto snapshot = state.takeSnapshot();
  snapshot.outcomes.front().code = static_cast<int>(base::ErrorCode::kRequestIdExpired);
  controller::TableState restored;
  restored.restore(snapshot);
  REQUIRE(restored.findOutcome("edit-1") != nullptr);
  CHECK(restored.findOutcome("edit-1")->code == 0);
}

TEST_CASE("the number of accepted edits whose outcomes are known is bounded, whatever is rejected between them") {
  constexpr auto kWindow = static_cast<int64_t>(controller::kOutcomeWindow);
  controller::TableState state;
  for (int64_t index = 1; index <= 4 * kWindow; ++index) {
    const bool rejected = index % 2 == 0;
    REQUIRE((applySmallEdit(&state, index, rejected ? 0 : kAnyRevision) != 0) == rejected);
  }
  const auto snapshot = state.takeSnapshot();
  const auto accepted = std::count_if(snapshot.outcomes.begin(), snapshot.outcomes.end(),
                                      [](const auto& outcome) { return outcome.code == 0; });
  CHECK(static_cast<size_t>(accepted) + snapshot.displacedOutcomes.size() == controller::kOutcomeWindow);
  CHECK(state.findOutcome("edit-" + std::to_string(2 * kWindow + 1)) != nullptr);
  CHECK(state.findOutcome("edit-" + std::to_string(2 * kWindow - 1)) == nullptr);
}
