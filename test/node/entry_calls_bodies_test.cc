/// Transfer of large request bodies on the entry side.
#include "entry_calls_fixture.h"

namespace driftlug::node {
namespace {

/// Entry side whose peers use flow control for large bodies.
struct BodyPiecesFixture : EntryCallsFixture {
  static constexpr size_t kBodyBytes = 20'000;

  explicit BodyPiecesFixture(size_t inlineBodyBytes = 4096) : EntryCallsFixture(0.5, inlineBodyBytes) {
    wire::Hello peer;
    peer.id = "other";
    peer.takesBodyPieces = true;
    for (const auto& [connection, address] : network.connected) entry->onOpen(connection, peer);
  }

  CallId upload(size_t bytes) {
    InboundCall inbound;
    inbound.method = "POST";
    inbound.host = "shop.example";
    inbound.path = "/once/1";
    body.clear();
    for (size_t i = 0; i < bytes; ++i) body += static_cast<char>('a' + i % 26);
    inbound.body = body;
    const auto id = entry->begin(inbound, [this](CallAnswer got) { answers.push_back(std::move(got)); });
    runFor(base::milliseconds(1));
    return id;
  }

  void grant(int64_t upToBytes) {
    wire::CallBodyGrant message;
    message.callId = std::get<wire::CallRequest>(lastRequest().message).callId;
    message.upToBytes = upToBytes;
    entry->onMessage(lastRequest().connection, message);
  }

  std::string pieces() {
    std::string joined;
    for (const auto& piece : network.all<wire::CallBodyPiece>()) joined += piece.data;
    return joined;
  }

  std::string body;
};

}  // namespace

TEST_CASE("a body above the inline size is not sent with its call") {
  constexpr size_t kBytes = 500;  // 4 ms on a link of 1 Mbit/s
  BodyPiecesFixture node(kBytes);
  node.upload(kBytes + 1);
  CHECK(node.network.all<wire::CallRequest>()[0].body.empty());
  node.upload(kBytes);
  CHECK(node.network.all<wire::CallRequest>()[1].body == node.body);
}

TEST_CASE_METHOD(BodyPiecesFixture, "only the granted bytes of a large body are sent, once and in order") {
  upload(kBodyBytes);
  const auto request = network.all<wire::CallRequest>()[0];
  CHECK(request.body.empty());
  CHECK(request.bodyBytes == static_cast<int64_t>(kBodyBytes));
  CHECK(pieces().empty());
  grant(8192);
  grant(8192);
  grant(4096);
  CHECK(pieces() == body.substr(0, 8192));
  grant(1'000'000);
  CHECK(pieces() == body);
  respond(CallOutcome::COMPLETED, ErrorCode::kNone);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].httpStatus == 200);
}

TEST_CASE_METHOD(BodyPiecesFixture, "a small body, and one for a node that takes no pieces, travels with its call") {
  upload(300);
  CHECK(network.all<wire::CallRequest>()[0].body == body);
  CHECK(network.all<wire::CallRequest>()[0].bodyBytes == 0);
  openAll();
  upload(kBodyBytes);
  CHECK(network.all<wire::CallRequest>()[1].body == body);
  CHECK(network.all<wire::CallRequest>()[1].bodyBytes == 0);
}

TEST_CASE_METHOD(BodyPiecesFixture, "a call is retried elsewhere if the link is lost before its body is fully sent") {
  upload(kBodyBytes);
  grant(8192);
  entry->onClose(lastRequest().connection);
  runFor(base::milliseconds(1));
  CHECK(requestedEndpoints() == std::vector<std::string>{"near", "far"});
  CHECK(answers.empty());
  grant(1'000'000);
  entry->onClose(lastRequest().connection);
  runFor(base::milliseconds(1));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == CallOutcome::UNKNOWN);
}

TEST_CASE_METHOD(BodyPiecesFixture, "a stop answers calls whose bodies are not fully sent, and keeps the others") {
  upload(kBodyBytes);
  grant(1'000'000);
  upload(kBodyBytes);
  grant(8192);
  entry->refuseWaiting();
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == CallOutcome::NOT_RUN);
  CHECK(answers[0].httpStatus == 503);
  CHECK(network.all<wire::CallCancel>().size() == 1);
  CHECK(entry->active() == 1);
}

TEST_CASE_METHOD(BodyPiecesFixture,
                 "an endpoint whose link is full gets no large bodies for a while, and small calls go on") {
  upload(kBodyBytes);
  wire::CallResponse refusal;
  refusal.callId = network.all<wire::CallRequest>()[0].callId;
  refusal.outcome = CallOutcome::NOT_RUN;
  refusal.errorCode = static_cast<int>(ErrorCode::kOverloaded);
  refusal.fullForBodies = true;
  refusal.fullForMs = 1000;
  entry->onMessage(lastRequest().connection, refusal);
  runFor(base::milliseconds(1));
  upload(kBodyBytes);
  call("/safe/1");
  CHECK(requestedEndpoints() == std::vector<std::string>{"near", "far", "far", "near"});
}

}  // namespace driftlug::node
