/// Gathering of large answers that arrive in pieces on the entry side.
#include "entry_calls_fixture.h"

namespace driftlug::node {
namespace {

constexpr int64_t kBodyBytes = 90'000;

struct GatherFixture : EntryCallsFixture {
  GatherFixture() {
    table::Table rows;
    for (auto row : {routeRow("safe", "/safe/", true), routeRow("once", "/once/", false)}) {
      row.routeRow.largeAnswers = true;
      rows.put(table::storeRow(row));
    }
    rows.put(table::storeRow(routeRow("plain", "/plain/", true)));
    entry->useTable(std::make_shared<routing::RoutingTable>(rows, 2));
  }

  int64_t lastCallId() { return std::get<wire::CallRequest>(lastRequest().message).callId; }

  void head(int64_t bytes, const std::string& body = "") {
    wire::CallResponse response;
    response.callId = lastCallId();
    response.outcome = CallOutcome::COMPLETED;
    response.httpStatus = 200;
    response.body = body;
    response.bodyBytes = bytes;
    entry->onMessage(lastRequest().connection, response);
    runFor(base::milliseconds(1));
  }

  void piece(int64_t callId, const std::string& data) { piece(lastRequest().connection, callId, data); }

  void piece(base::ConnectionId connection, int64_t callId, const std::string& data) {
    wire::CallAnswerPiece message;
    message.callId = callId;
    message.data = data;
    entry->onMessage(connection, message);
    runFor(base::milliseconds(1));
  }

  static std::string bytes(int64_t count, char fill = 'x') { return std::string(static_cast<size_t>(count), fill); }
};

}  // namespace

TEST_CASE_METHOD(GatherFixture, "requests say whether their route has large answers") {
  call("/safe/1");
  CHECK(std::get<wire::CallRequest>(lastRequest().message).largeAnswer);
  call("/plain/1");
  CHECK_FALSE(std::get<wire::CallRequest>(lastRequest().message).largeAnswer);
}

// Guards against a caller that gets its answer before the body is whole, or in another order.
TEST_CASE_METHOD(GatherFixture, "an answer in pieces is credited, gathered, and given to its caller when it is whole") {
  call("/safe/1");
  head(kBodyBytes);
  const auto credits = network.all<wire::CallAnswerCredit>();
  REQUIRE(credits.size() == 1);
  CHECK(credits[0].callId == lastCallId());
  CHECK(credits[0].upToBytes == kBodyBytes);
  piece(lastCallId(), bytes(kBodyBytes - 1000, 'a'));
  CHECK(answers.empty());
  CHECK(entry->answers().gatheredBytes() == kBodyBytes - 1000);
  piece(lastCallId(), bytes(1000, 'b'));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == CallOutcome::COMPLETED);
  CHECK(answers[0].httpStatus == 200);
  CHECK(answers[0].body == bytes(kBodyBytes - 1000, 'a') + bytes(1000, 'b'));
  CHECK(entry->answers().gatheredBytes() == 0);
  CHECK(entry->active() == 0);
}

// Guards against a truncated answer that looks complete after its link or its node was lost.
TEST_CASE_METHOD(GatherFixture, "a repeatable call whose answer was cut halfway is sent to another endpoint") {
  call("/safe/1");
  head(kBodyBytes);
  const auto firstConnection = lastRequest().connection;
  const auto first = lastCallId();
  piece(first, bytes(50'000));
  entry->onClose(firstConnection);
  runFor(base::milliseconds(1));
  CHECK(answers.empty());
  CHECK(entry->answers().gatheredBytes() == 0);
  CHECK(requestedEndpoints() == std::vector<std::string>{"near", "far"});
  // The rest of the first answer does not count for the second.
  piece(firstConnection, first, bytes(40'000));
  CHECK(entry->answers().counters().latePieces == 1);
  head(10);
  piece(lastCallId(), bytes(10, 'z'));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].body == bytes(10, 'z'));
}

TEST_CASE_METHOD(GatherFixture,
                 "a call that must not be repeated and whose answer was cut halfway has an unknown outcome") {
  call("/once/1");
  head(kBodyBytes);
  piece(lastCallId(), bytes(kBodyBytes - 1));
  entry->onClose(lastRequest().connection);
  runFor(base::milliseconds(1));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == CallOutcome::UNKNOWN);
  CHECK(answers[0].error == ErrorCode::kConnectionLost);
  CHECK(answers[0].body.empty());
  CHECK(requestedEndpoints().size() == 1);
}

// Guards against a node that was killed in silence halfway through its answer.
TEST_CASE_METHOD(GatherFixture,
                 "an answer that stops halfway ends with the deadline of its call, and its sender is told") {
  call("/once/1");
  head(kBodyBytes);
  piece(lastCallId(), bytes(50'000));
  runFor(base::seconds(3));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == CallOutcome::UNKNOWN);
  CHECK(answers[0].error == ErrorCode::kDeadlineExceeded);
  CHECK(answers[0].body.empty());
  REQUIRE(network.all<wire::CallCancel>().size() == 1);
  CHECK(network.all<wire::CallCancel>()[0].callId == lastCallId());
  CHECK(entry->answers().gatheredBytes() == 0);
}

TEST_CASE_METHOD(GatherFixture, "a caller that leaves halfway frees its answer here and at the sender") {
  const auto id = call("/safe/1");
  head(kBodyBytes);
  piece(lastCallId(), bytes(50'000));
  entry->abandon(id);
  CHECK(entry->answers().gatheredBytes() == 0);
  CHECK(network.all<wire::CallCancel>().size() == 1);
  piece(lastCallId(), bytes(40'000));
  CHECK(answers.empty());
  CHECK(entry->answers().counters().latePieces == 1);
  CHECK(entry->answers().counters().invalidPieces == 0);
}

// Guards against pieces of a faulty or foreign peer that become a part of an answer or end the connection.
TEST_CASE_METHOD(GatherFixture, "invalid pieces are counted and ignored") {
  call("/safe/1");
  const auto connection = lastRequest().connection;
  piece(lastCallId(), bytes(10));  // before the head
  head(100);
  piece(lastCallId(), bytes(101));                 // beyond the announced size
  piece(lastCallId() + 1000, bytes(10));           // never sent
  piece(connection + 1, lastCallId(), bytes(10));  // of another connection
  piece(-1, bytes(10));
  CHECK(entry->answers().counters().invalidPieces == 5);
  head(50);  // a second head
  CHECK(entry->answers().counters().invalidHeads == 1);
  CHECK(answers.empty());
  CHECK(network.closed.empty());
  piece(lastCallId(), bytes(100, 'y'));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].body == bytes(100, 'y'));
}

// Guards against an announced size by which an empty or partial body would look complete, or memory would run out.
TEST_CASE_METHOD(GatherFixture, "an answer with an impossible size is no answer") {
  for (const int64_t size : {int64_t{-1}, int64_t{1} << 40}) {
    call("/once/1");
    head(size);
  }
  call("/once/1");
  head(100, "body");
  REQUIRE(answers.size() == 3);
  for (const auto& answer : answers) {
    CHECK(answer.outcome == CallOutcome::UNKNOWN);
    CHECK(answer.error == ErrorCode::kBadFrame);
    CHECK(answer.body.empty());
  }
  CHECK(entry->answers().counters().invalidHeads == 3);
  CHECK(network.all<wire::CallCancel>().size() == 3);
  CHECK(entry->active() == 0);
}

// Guards against a second large answer on full links while the first one arrives.
TEST_CASE_METHOD(GatherFixture, "a call whose answer is arriving is not hedged") {
  const bool arriving = GENERATE(true, false);
  call("/safe/1");
  if (arriving) {
    head(kBodyBytes);
    piece(lastCallId(), bytes(50'000));
  }
  runFor(base::milliseconds(400));  // hedged after 200 ms without an answer
  CHECK(requestedEndpoints().size() == (arriving ? 1 : 2));
}

}  // namespace driftlug::node
