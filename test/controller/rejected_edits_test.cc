/// Edits while the window of outcomes holds only rejected ones.
#include <optional>

#include "controller_host.h"
#include "table_rows.h"

namespace driftlug::controller {
namespace {

using base::ErrorCode;

constexpr int64_t kAnyRevision = -1;
constexpr int64_t kMustNotExist = 0;
/// Rows in a rejected edit; a few such edits fill the window.
constexpr int kConflicts = 30'000;

/// Three simulated controllers with a table of one service.
struct Fixture {
  Fixture() : network(queue, base::RandomSource(7), {}) {
    for (int i = 1; i <= 3; ++i) {
      hosts.push_back(std::make_unique<test::Host>(queue, network, "10.0.0." + std::to_string(i),
                                                   "zone-" + std::to_string(i), static_cast<uint64_t>(i)));
    }
    for (const auto& host : hosts) host->start(seeds, true);
    runFor(base::seconds(3));
    REQUIRE(submit(editOf("first", "s-1", kAnyRevision)).code == ErrorCode::kNone);
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  Controller& leader() {
    for (const auto& host : hosts) {
      if (host->running() && host->controller().leads()) return host->controller();
    }
    FAIL("no controller is the leader");
    return hosts[0]->controller();
  }

  const TableState& state() { return leader().state(); }

  /// @return an edit of one service, based on the current table
  wire::EditCommand editOf(const std::string& requestId, const std::string& service, int64_t expectedRevision) {
    wire::EditCommand edit;
    edit.requestId = requestId;
    edit.baseRevision = state().table().revision();
    edit.mutations.emplace_back();
    edit.mutations.back().row = *test::serviceRow(service, 0);
    edit.mutations.back().expectedRevision = expectedRevision;
    return edit;
  }

  EditAnswer submit(const wire::EditCommand& edit) {
    std::optional<EditAnswer> answer;
    leader().submitEdit(edit, [&](const EditAnswer& got) { answer = got; });
    for (int i = 0; i < 30 && !answer; ++i) runFor(base::milliseconds(100));
    REQUIRE(answer);
    return *answer;
  }

  /// Submits edits that are rejected until the window does not reach back to the table's revision.
  void fillWindow() {
    for (int i = 0; i < 10 && state().windowFloor() <= state().table().revision(); ++i) {
      auto edit = editOf("rejected-" + std::to_string(++rejected), "s-1", kMustNotExist);
      edit.mutations.resize(kConflicts, edit.mutations.front());
      REQUIRE(submit(edit).code == ErrorCode::kRevisionConflict);
    }
    REQUIRE(state().windowFloor() > state().table().revision());
  }

  bool hasService(const std::string& name) {
    return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) {
      const auto& table = host->controller().state().table();
      return table.find(table::makeKey(wire::RowKind::SERVICE, name)) != nullptr;
    });
  }

  simulation::EventQueue queue;
  simulation::SimulatedNetwork network;
  std::vector<std::string> seeds{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  std::vector<std::unique_ptr<test::Host>> hosts;
  int rejected = 0;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "rejected edits do not make later ones expire that are based on the current table") {
  fillWindow();
  SECTION("in the same term") {}
  SECTION("after a restart of all controllers") {
    for (const auto& host : hosts) host->losePower();
    for (const auto& host : hosts) host->start(seeds, false);
    runFor(base::seconds(3));
  }
  CHECK(submit(editOf("next", "s-2", kAnyRevision)).code == ErrorCode::kNone);
  runFor(base::seconds(1));
  CHECK(hasService("s-2"));
  fillWindow();
  std::optional<ErrorCode> evacuated;
  leader().evacuations().evacuate("zone-1", [&](ErrorCode code) { evacuated = code; });
  runFor(base::seconds(1));
  CHECK(evacuated == ErrorCode::kNone);
}

TEST_CASE_METHOD(Fixture, "an edit that expired is decided when it is sent again on top of the current table") {
  fillWindow();
  auto edit = editOf("next", "s-2", kAnyRevision);
  --edit.baseRevision;
  CHECK(submit(edit).code == ErrorCode::kRequestIdExpired);
  CHECK(submit(edit).code == ErrorCode::kRequestIdExpired);
  ++edit.baseRevision;
  const auto answer = submit(edit);
  CHECK(answer.code == ErrorCode::kNone);
  CHECK(answer.outcome.requestId == "next");
  CHECK(state().history().back().requestId == "next");
  const auto again = submit(edit);
  CHECK(again.code == ErrorCode::kNone);
  CHECK(again.outcome.revision == answer.outcome.revision);
  CHECK(state().table().revision() == answer.outcome.revision);
  edit.mutations.front().row = *test::serviceRow("s-3", 0);
  CHECK(submit(edit).code == ErrorCode::kRequestIdReused);
}

TEST_CASE_METHOD(Fixture, "a copy of an edit that is decided after all is not answered as expired") {
  fillWindow();
  auto edit = editOf("next", "s-2", kAnyRevision);
  --edit.baseRevision;
  CHECK(submit(edit).code == ErrorCode::kRequestIdExpired);
  ++edit.baseRevision;
  std::vector<ErrorCode> codes;
  for (int i = 0; i < 2; ++i) {
    leader().submitEdit(edit, [&](const EditAnswer& answer) { codes.push_back(answer.code); });
  }
  runFor(base::seconds(1));
  CHECK(codes == std::vector<ErrorCode>{ErrorCode::kOutcomeUnknown, ErrorCode::kNone});
  CHECK(submit(edit).code == ErrorCode::kNone);
}

TEST_CASE_METHOD(Fixture, "two copies of an edit in flight take effect once, whatever is rejected between them") {
  fillWindow();
  const auto edit = editOf("next", "s-2", kAnyRevision);
  auto large = editOf("large", "s-1", kMustNotExist);
  large.mutations.resize(kConflicts, large.mutations.front());
  std::vector<EditAnswer> answers;
  const auto keep = [&](const EditAnswer& answer) { answers.push_back(answer); };
  leader().submitEdit(edit, keep);
  for (int i = 0; i < 4; ++i) {
    large.requestId = "large-" + std::to_string(i);
    leader().submitEdit(large, [](const EditAnswer&) {});
  }
  leader().submitEdit(edit, keep);
  runFor(base::seconds(2));
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].code == ErrorCode::kNone);
  CHECK(answers[1].code == ErrorCode::kNone);
  CHECK(answers[1].outcome.revision == answers[0].outcome.revision);
  CHECK(state().table().revision() == answers[0].outcome.revision);
}

}  // namespace driftlug::controller
