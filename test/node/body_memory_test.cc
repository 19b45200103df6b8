// Bodies that find no room in the budget of a node, on both sides of it.
#include "entry_calls_fixture.h"
#include "node/endpoint_calls.h"

namespace driftlug::node {
namespace {

constexpr int64_t kBodyBytes = 400'000;
/// Room for one of the bodies.
constexpr memory::body_budget_options kOneBody{700'000, 100'000, 50'000};

/// A back end that keeps the bodies it is sent until the test answers.
class KeepingBackend : public BackendClient {
 public:
  uint64_t send(const wire::CallRequest& request, base::Duration, std::function<void(BackendAnswer)> done) override {
    return sendWithBody(request, request.body, base::Duration(0), std::move(done));
  }
  uint64_t sendWithBody(const wire::CallRequest&, memory::shared_body body, base::Duration,
                        std::function<void(BackendAnswer)> done) override {
    bodies.push_back(std::move(body));
    answers.push_back(std::move(done));
    return bodies.size();
  }
  void cancel(uint64_t) override {}

  std::vector<memory::shared_body> bodies;
  std::vector<std::function<void(BackendAnswer)>> answers;
};

/// The endpoint side of a node with room for one large body.
struct EndpointFixture {
  EndpointFixture() : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 1}) {
    process.start();
    EndpointOptions options;
    options.service = "proofs";
    options.nodeId = "node";
    calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr);
    calls->useBodyBudget(&budget);
    wire::Hello peer;
    peer.id = "other";
    peer.takesAnswerPieces = true;
    calls->onOpen(1, peer);
  }

  void announce(int64_t id, int64_t bytes = kBodyBytes) {
    wire::CallRequest request;
    request.callId = id;
    request.serviceName = "proofs";
    request.method = "POST";
    request.path = "/proofs";
    request.bodyBytes = bytes;
    request.runOnce = true;
    request.remainingMs = 6000;
    calls->onRequest(1, request);
  }

  /// Sends all of a body that has been granted, until it is complete.
  void sendBody(int64_t id) {
    int64_t sent = 0;
    for (size_t i = 0; i < network.sent.size(); ++i) {
      const auto* grant = std::get_if<wire::CallBodyGrant>(&network.sent[i].message);
      if (grant == nullptr || grant->callId != id || grant->upToBytes <= sent) continue;
      wire::CallBodyPiece piece;
      piece.callId = id;
      piece.data.assign(static_cast<size_t>(grant->upToBytes - sent), static_cast<char>('a' + id));
      sent = grant->upToBytes;
      calls->onBodyPiece(1, piece);
    }
  }

  bool granted(int64_t id) const {
    const auto grants = network.all<wire::CallBodyGrant>();
    return std::any_of(grants.begin(), grants.end(), [id](const auto& grant) { return grant.callId == id; });
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  memory::body_budget budget{kOneBody};
  KeepingBackend backend;
  std::unique_ptr<EndpointCalls> calls;
};

}  // namespace

// Guards against bodies that together are more than the memory of the node beside the back end.
TEST_CASE_METHOD(EndpointFixture, "a body is granted once the bodies before it have been sent to the back end") {
  announce(1);
  announce(2);
  CHECK(granted(1));
  CHECK_FALSE(granted(2));
  sendBody(1);
  REQUIRE(backend.bodies.size() == 1);
  runFor(base::milliseconds(200));
  CHECK_FALSE(granted(2));
  backend.bodies[0] = {};
  runFor(base::milliseconds(100));
  CHECK(granted(2));
  sendBody(2);
  REQUIRE(backend.bodies.size() == 2);
  CHECK(backend.bodies[1] == std::string(kBodyBytes, 'c'));
}

// Guards against small requests that wait behind large ones.
TEST_CASE_METHOD(EndpointFixture, "a small body passes large ones that wait for room") {
  announce(1);
  announce(2);
  announce(3, 20'000);
  sendBody(1);
  sendBody(3);
  REQUIRE(backend.bodies.size() == 2);
  CHECK(backend.bodies[1] == std::string(20'000, 'd'));
  CHECK_FALSE(granted(2));
}

TEST_CASE_METHOD(EndpointFixture, "a body that finds no room in time is refused as not run, before any of it is sent") {
  announce(1);
  announce(2);
  runFor(base::milliseconds(1200));
  const auto responses = network.all<wire::CallResponse>();
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].callId == 2);
  CHECK(responses[0].outcome == wire::CallOutcome::NOT_RUN);
  CHECK(responses[0].errorCode == static_cast<int>(base::ErrorCode::kNoBodyMemory));
  CHECK(responses[0].retryAfterMs > 0);
  CHECK_FALSE(responses[0].fullForBodies);
  CHECK_FALSE(granted(2));
  CHECK(calls->counters().refusedForMemory == 1);
}

TEST_CASE_METHOD(EndpointFixture, "a body that never fits is refused at once, and so are many that would wait") {
  announce(1, 650'000);
  CHECK(network.all<wire::CallResponse>().size() == 1);
  for (int64_t id = 2; id <= 20; ++id) announce(id);
  CHECK(network.all<wire::CallResponse>().size() == 15);  // one has room, and four wait
}

TEST_CASE_METHOD(EndpointFixture, "a cancelled call frees the room of its body") {
  announce(1);
  announce(2);
  CHECK(budget.heldBytes() == kBodyBytes);
  calls->onCancel(1, 1);
  CHECK(budget.heldBytes() == 0);
  runFor(base::milliseconds(100));
  CHECK(granted(2));
}

// Guards against a sender that ignores the grants of a node without room.
TEST_CASE_METHOD(EndpointFixture, "pieces of a body that waits for room are ignored") {
  announce(1);
  announce(2);
  wire::CallBodyPiece piece;
  piece.callId = 2;
  piece.data.assign(kBodyBytes, 'x');
  calls->onBodyPiece(1, piece);
  sendBody(1);
  CHECK(backend.bodies.size() == 1);
  CHECK(budget.heldBytes() == kBodyBytes);
}

// Guards against an answer of over 32 MiB in one frame, which can't be decoded and ends all calls on the connection.
TEST_CASE_METHOD(EndpointFixture, "a large answer is sent in pieces, whatever its route") {
  announce(1, 10'000);
  sendBody(1);
  REQUIRE(backend.answers.size() == 1);
  BackendAnswer answer{BackendOutcome::kCompleted, false, 200, {}, std::string(1 << 20, 'x')};
  backend.answers[0](answer);
  const auto responses = network.all<wire::CallResponse>();
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].body.empty());
  CHECK(responses[0].bodyBytes == 1 << 20);
  wire::CallAnswerCredit credit;
  credit.callId = 1;
  credit.upToBytes = 1 << 20;
  calls->onAnswerCredit(1, credit);
  runFor(base::seconds(1));
  int64_t arrived = 0;
  for (const auto& piece : network.all<wire::CallAnswerPiece>()) arrived += static_cast<int64_t>(piece.data.size());
  CHECK(arrived == 1 << 20);
}

// Guards against a back end without an end to its answer, which looks like one that has crashed.
TEST_CASE_METHOD(EndpointFixture, "a call whose answer is over the limit has an unknown outcome") {
  announce(1, 10'000);
  sendBody(1);
  BackendAnswer answer;
  answer.overLimit = true;
  backend.answers[0](answer);
  const auto responses = network.all<wire::CallResponse>();
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].outcome == wire::CallOutcome::UNKNOWN);
  CHECK(calls->counters().cutRuns == 0);
}

namespace {

/// The entry side of a node with room for one large body, whose peers take bodies in pieces.
struct EntryFixture : EntryCallsFixture {
  EntryFixture() {
    entry->useBodyBudget(&budget);
    wire::Hello peer;
    peer.id = "other";
    peer.takesBodyPieces = true;
    for (const auto& [connection, address] : network.connected) entry->onOpen(connection, peer);
  }

  void upload(const std::string& path) {
    InboundCall inbound;
    inbound.method = "POST";
    inbound.host = "shop.example";
    inbound.path = path;
    inbound.body = memory::shared_body(std::string(kBodyBytes, 'x'),
                                       std::move(*budget.reserve(memory::body_use::caller_request, kBodyBytes)));
    entry->begin(std::move(inbound), [this](CallAnswer got) { answers.push_back(std::move(got)); });
    runFor(base::milliseconds(1));
  }

  int64_t lastCallId() { return std::get<wire::CallRequest>(lastRequest().message).callId; }

  void grantAll() {
    wire::CallBodyGrant grant;
    grant.callId = lastCallId();
    grant.upToBytes = kBodyBytes;
    entry->onMessage(lastRequest().connection, grant);
  }

  void head(int64_t bytes) {
    wire::CallResponse response;
    response.callId = lastCallId();
    response.outcome = CallOutcome::COMPLETED;
    response.httpStatus = 200;
    response.bodyBytes = bytes;
    entry->onMessage(lastRequest().connection, response);
  }

  void pieces(int64_t bytes) {
    wire::CallAnswerPiece piece;
    piece.callId = lastCallId();
    piece.data.assign(static_cast<size_t>(bytes), 'y');
    entry->onMessage(lastRequest().connection, piece);
    runFor(base::milliseconds(1));
  }

  memory::body_budget budget{kOneBody};
};

}  // namespace

// Guards against a large request and its large answer that wait for each other's room.
TEST_CASE_METHOD(EntryFixture, "an answer takes the room of its request once that was sent") {
  upload("/safe/1");
  grantAll();
  head(kBodyBytes);
  CHECK(budget.heldBytes(memory::body_use::caller_request) == 0);
  CHECK(budget.heldBytes(memory::body_use::caller_response) == kBodyBytes);
  CHECK(entry->counters().releasedBodies == 1);
  CHECK(!network.all<wire::CallAnswerCredit>().empty());
}

// Guards against an attempt without the body, which would run another request than the caller's.
TEST_CASE_METHOD(EntryFixture, "a call whose body was dropped is not attempted again") {
  upload("/safe/1");
  grantAll();
  head(kBodyBytes);
  entry->onClose(lastRequest().connection);
  runFor(base::milliseconds(10));
  CHECK(requestedEndpoints().size() == 1);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].outcome == CallOutcome::UNKNOWN);
  CHECK(budget.heldBytes() == 0);
}

TEST_CASE_METHOD(EntryFixture, "a body that is not sent whole is kept, and its call is attempted again") {
  upload("/once/1");
  CHECK(!budget.reserve(memory::body_use::caller_response, kBodyBytes));
  CHECK(entry->counters().releasedBodies == 0);
  respond(CallOutcome::NOT_RUN, ErrorCode::kNoBodyMemory);
  CHECK(requestedEndpoints() == std::vector<std::string>{"near", "far"});
  grantAll();
  const auto sent = network.all<wire::CallBodyPiece>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].data == std::string(kBodyBytes, 'x'));
}

TEST_CASE_METHOD(EntryFixture, "an answer without room gets no credit until there is room") {
  auto other = budget.reserve(memory::body_use::caller_response, 500'000);
  call("/safe/1");
  head(kBodyBytes);
  runFor(base::milliseconds(50));
  CHECK(network.all<wire::CallAnswerCredit>().empty());
  other.reset();
  runFor(base::milliseconds(50));
  CHECK(!network.all<wire::CallAnswerCredit>().empty());
  pieces(kBodyBytes);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].body == std::string(kBodyBytes, 'y'));
  CHECK(budget.heldBytes() == kBodyBytes);
  answers.clear();
  CHECK(budget.heldBytes() == 0);
}

// Guards against small answers that wait behind large ones.
TEST_CASE_METHOD(EntryFixture, "a small answer passes large ones that wait for room or arrive") {
  const auto answerOf = [this](int64_t bytes) {
    call("/safe/1");
    head(bytes);
    return lastCallId();
  };
  const auto credited = [this](int64_t id) {
    const auto credits = network.all<wire::CallAnswerCredit>();
    return std::any_of(credits.begin(), credits.end(), [id](const auto& credit) { return credit.callId == id; });
  };
  const auto arriving = answerOf(kBodyBytes);
  const auto waiting = answerOf(kBodyBytes);
  const auto small = answerOf(20'000);
  CHECK(credited(arriving));
  CHECK_FALSE(credited(waiting));
  CHECK(credited(small));
}

namespace {

/// A network whose connections are all within the process.
class LocalNetwork : public test::RecordingNetwork {
 public:
  bool isWithinProcess(base::ConnectionId) const override { return true; }
};

}  // namespace

// Guards against a body that the process holds twice, and against one over 32 MiB that no frame carries.
TEST_CASE("a node holds the bodies of a call to its own back end once") {
  simulation::EventQueue queue;
  simulation::Process process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000});
  process.start();
  LocalNetwork network;
  BodyExchange exchange;
  memory::body_budget budget(kOneBody);
  EntryOptions entryOptions;
  entryOptions.nodeId = "node";
  entryOptions.zone = "zone-1";
  EntryCalls entry(entryOptions, process, base::RandomSource(3), network);
  KeepingBackend backend;
  EndpointOptions endpointOptions;
  endpointOptions.service = "records";
  EndpointCalls endpointSide(endpointOptions, process, network, backend, nullptr);
  entry.useBodyBudget(&budget);
  entry.useBodyExchange(&exchange);
  endpointSide.useBodyBudget(&budget);
  endpointSide.useBodyExchange(&exchange);
  table::Table rows;
  rows.put(table::storeRow(routeRow("safe", "/safe/", true)));
  entry.useTable(std::make_shared<routing::RoutingTable>(rows, 1));
  entry.onEndpointStates({endpoint("near", 1, wire::EndpointCondition::LIVE)});
  wire::Hello self;
  self.id = "node";
  self.takesBodyPieces = true;
  for (const auto& [connection, address] : network.connected) entry.onOpen(connection, self);
  const auto runFor = [&](base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  };
  InboundCall inbound;
  inbound.method = "POST";
  inbound.host = "shop.example";
  inbound.path = "/safe/1";
  inbound.body = memory::shared_body(std::string(kBodyBytes, 'x'),
                                     std::move(*budget.reserve(memory::body_use::caller_request, kBodyBytes)));
  std::vector<CallAnswer> answers;
  entry.begin(std::move(inbound), [&](CallAnswer got) { answers.push_back(std::move(got)); });
  runFor(base::milliseconds(1));
  const auto request = network.all<wire::CallRequest>().at(0);
  CHECK(request.body.empty());
  endpointSide.onRequest(1, request);
  REQUIRE(backend.bodies.size() == 1);
  CHECK(backend.bodies[0] == std::string(kBodyBytes, 'x'));
  CHECK(budget.heldBytes() == kBodyBytes);
  backend.bodies.clear();
  backend.answers[0]({BackendOutcome::kCompleted, false, 200, {}, std::string(kBodyBytes, 'y')});
  const auto response = network.all<wire::CallResponse>().at(0);
  CHECK(response.body.empty());
  entry.onMessage(1, response);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].body == std::string(kBodyBytes, 'y'));
  CHECK(budget.heldBytes() == 0);
}

}  // namespace driftlug::node
