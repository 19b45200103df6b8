/// Sending of large answers in pieces on the endpoint side.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "node/endpoint_calls.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {
namespace {

constexpr int64_t kLinkBytesPerSecond = 1'500'000;  // 12 Mbit/s
constexpr size_t kLargeAnswer = 90'000;
constexpr int kTargetMs = 800;
constexpr int kLargeRunMs = 150;
constexpr int kSmallRunMs = 20;
constexpr base::ConnectionId kPeer = 1;
constexpr base::ConnectionId kOtherPeer = 2;
constexpr base::ConnectionId kOldPeer = 3;
constexpr base::ConnectionId kOwn = 4;
constexpr char kLargePath[] = "/large";

std::string largeBody() {
  std::string body;
  for (size_t i = 0; i < kLargeAnswer; ++i) body += static_cast<char>('a' + i % 26);
  return body;
}

/// A back end that answers with a large or a small body.
class AnsweringBackend : public BackendClient {
 public:
  explicit AnsweringBackend(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  uint64_t send(const wire::CallRequest& request, base::Duration, std::function<void(BackendAnswer)> done) override {
    const bool large = request.path == kLargePath;
    runs += large ? 1 : 0;
    scheduler_.schedule(base::milliseconds(large ? kLargeRunMs : kSmallRunMs), [done, large] {
      done({BackendOutcome::kCompleted, false, 200, {}, large ? largeBody() : "small"});
    });
    return ++last_;
  }
  void cancel(uint64_t) override {}

  int runs = 0;  // of requests with large answers

 private:
  base::Scheduler& scheduler_;
  uint64_t last_ = 0;
};

/// A network behind one slow link, whose peers give credits for whole answers after 2 ms.
class SlowLinkNetwork : public test::RecordingNetwork {
 public:
  explicit SlowLinkNetwork(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  void send(base::ConnectionId connection, const wire::FramePtr& frame) override {
    RecordingNetwork::send(connection, frame);
    if (connection == kOwn) return;
    const auto bytes = static_cast<double>(frame->size());
    freeAt_ = std::max(freeAt_, scheduler_.now()) + base::microsecondsOf(bytes / kLinkBytesPerSecond * 1e6);
    unacknowledged_[connection] += frame->size();
    scheduler_.schedule(freeAt_ - scheduler_.now(),
                        [this, connection, size = frame->size()] { unacknowledged_[connection] -= size; });
    const auto& message = sent.back().message;
    if (const auto* response = std::get_if<wire::CallResponse>(&message)) {
      carriedAt[response->callId] = freeAt_;
      if (response->bodyBytes > 0 && reads[connection]) giveCredit(connection, response->callId, response->bodyBytes);
    }
    if (const auto* piece = std::get_if<wire::CallAnswerPiece>(&message)) {
      bodies[piece->callId] += piece->data;
      carriedAt[piece->callId] = freeAt_;
    }
  }

  size_t unacknowledgedBytes(base::ConnectionId connection) const override {
    const auto found = unacknowledged_.find(connection);
    return found == unacknowledged_.end() ? 0 : found->second;
  }

  void giveCredit(base::ConnectionId connection, int64_t call, int64_t upTo) {
    wire::CallAnswerCredit credit;
    credit.callId = call;
    credit.upToBytes = upTo;
    scheduler_.schedule(base::milliseconds(2),
                        [this, connection, credit] { calls->onAnswerCredit(connection, credit); });
  }

  EndpointCalls* calls = nullptr;
  std::map<base::ConnectionId, bool> reads{{kPeer, true}, {kOtherPeer, true}};  // whether it gives credits by itself
  std::map<int64_t, base::TimePoint> carriedAt;                                 // last byte so far, by call
  std::map<int64_t, std::string> bodies;                                        // by call

 private:
  base::Scheduler& scheduler_;
  base::TimePoint freeAt_{};
  std::map<base::ConnectionId, size_t> unacknowledged_;
};

struct PiecesFixture {
  PiecesFixture()
      : process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000}), network(process), backend(process) {
    process.start();
    EndpointOptions options;
    options.service = "archive";
    options.defaultSlots = 14;
    options.defaultQueue = 56;
    options.nodeId = "node";
    options.bodies.linkBytesPerSecond = kLinkBytesPerSecond;
    calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr);
    network.calls = calls.get();
    wire::Hello peer;
    peer.id = "far";
    calls->onOpen(kOldPeer, peer);
    peer.takesAnswerPieces = true;
    calls->onOpen(kPeer, peer);
    calls->onOpen(kOtherPeer, peer);
    peer.id = "node";
    calls->onOpen(kOwn, peer);
  }

  int64_t request(base::ConnectionId connection, const char* path = kLargePath, bool largeAnswer = true) {
    const bool large = path == std::string(kLargePath);
    wire::CallRequest request;
    request.callId = ++lastCall;
    request.serviceName = "archive";
    request.path = path;
    request.remainingMs = 2000;
    request.priority = large ? 1 : 0;
    request.targetLatencyMs = large ? kTargetMs : 200;
    request.largeAnswer = largeAnswer;
    calls->onRequest(connection, request);
    return lastCall;
  }

  void runFor(int milliseconds) {
    const auto until = queue.now() + base::milliseconds(milliseconds);
    while (queue.runNext(until)) {
    }
  }

  wire::CallResponse responseTo(int64_t call) {
    for (const auto& response : network.all<wire::CallResponse>()) {
      if (response.callId == call) return response;
    }
    FAIL("call " << call << " was not answered");
    return {};
  }

  simulation::EventQueue queue;
  simulation::Process process;
  SlowLinkNetwork network;
  AnsweringBackend backend;
  std::unique_ptr<EndpointCalls> calls;
  int64_t lastCall = 0;
};

}  // namespace

// Guards against a body that is sent before its receiver has room for it, and against one that arrives changed.
TEST_CASE_METHOD(PiecesFixture, "the head of a large answer goes first, its body in pieces as credits come") {
  network.reads[kPeer] = false;
  const auto call = request(kPeer);
  runFor(kLargeRunMs + 50);
  const auto head = responseTo(call);
  CHECK(head.outcome == wire::CallOutcome::COMPLETED);
  CHECK(head.httpStatus == 200);
  CHECK(head.body.empty());
  CHECK(head.bodyBytes == static_cast<int64_t>(kLargeAnswer));
  CHECK(network.bodies[call].empty());
  CHECK(calls->limiter().running() == 0);
  network.giveCredit(kPeer, call, 20'000);
  runFor(100);
  CHECK(network.bodies[call] == largeBody().substr(0, 20'000));
  CHECK(calls->answers().scheduler().queuedBytes() == 70'000);
  CHECK(calls->active() == 1);
  network.giveCredit(kPeer, call, 1'000'000);
  runFor(100);
  CHECK(network.bodies[call] == largeBody());
  CHECK(calls->active() == 0);
}

TEST_CASE_METHOD(PiecesFixture, "small answers, older callers' nodes and this node's own callers get answers whole") {
  const auto small = request(kPeer, "/small");
  const auto old = request(kOldPeer);
  const auto own = request(kOwn);
  const auto otherRoute = request(kPeer, kLargePath, false);
  runFor(1000);
  CHECK(responseTo(small).body == "small");
  for (const auto call : {old, own, otherRoute}) {
    CHECK(responseTo(call).body == largeBody());
    CHECK(responseTo(call).bodyBytes == 0);
  }
  CHECK(network.all<wire::CallAnswerPiece>().empty());
}

// Guards against refusals for a link that the answers don't cross: the transport opens both ends of a connection within
// the process, and calls arrive on the one that is opened first.
TEST_CASE_METHOD(PiecesFixture, "calls of this node's own callers are not refused, whichever end is opened last") {
  wire::Hello own;
  own.id = "node";
  own.takesAnswerPieces = true;
  calls->onOpen(kOwn + 1, own);
  const bool largeAnswer = GENERATE(true, false);
  for (int i = 0; i < 100; ++i) {
    (void)request(kOwn, kLargePath, largeAnswer);
    runFor(10);
  }
  runFor(1000);
  CHECK(calls->counters().refusedForAnswer == 0);
  CHECK(calls->counters().completed == 100);
}

// Guards against head-of-line blocking of small answers, against a link that stands idle, and against answers that cost
// a run and a transfer and are late.
TEST_CASE_METHOD(PiecesFixture,
                 "under twice the load of the link, small answers wait 20 ms at most and large ones are in time") {
  constexpr int kGapMs = 30;
  constexpr int kLengthMs = 10'000;
  std::map<int64_t, base::TimePoint> largeSince;
  std::map<int64_t, base::TimePoint> smallSince;
  for (int at = 0; at < kLengthMs; at += kGapMs) {
    const auto large = request(kPeer);
    largeSince[large] = queue.now();
    runFor(7);
    const auto small = request(kOtherPeer, "/small", false);
    smallSince[small] = queue.now();
    runFor(kGapMs - 7);
  }
  runFor(2000);
  for (const auto& [call, since] : smallSince) {
    CHECK(responseTo(call).outcome == wire::CallOutcome::COMPLETED);
    CHECK(network.carriedAt[call] - since <= base::milliseconds(kSmallRunMs + 20));
  }
  int inTime = 0;
  int late = 0;
  int refused = 0;
  for (const auto& [call, since] : largeSince) {
    const auto response = responseTo(call);
    if (response.outcome == wire::CallOutcome::NOT_RUN) {
      ++refused;
      // The time at which the link has capacity: less than the queue that the target allows.
      CHECK(response.retryAfterMs > 0);
      CHECK(response.retryAfterMs <= kTargetMs);
      continue;
    }
    CHECK(network.bodies[call].size() == kLargeAnswer);
    ++(network.carriedAt[call] - since <= base::milliseconds(kTargetMs) ? inTime : late);
  }
  INFO("in time " << inTime << ", late " << late << ", refused " << refused);
  CHECK(inTime >= static_cast<double>(kLinkBytesPerSecond) * kLengthMs / 1000 / kLargeAnswer * 0.9);
  CHECK(late <= inTime / 20);
  CHECK(calls->counters().refusedForAnswer == refused);
  // Refused requests cost no run.
  CHECK(backend.runs == inTime + late);
}

// Guards against a caller that went away and still takes the link from others.
TEST_CASE_METHOD(PiecesFixture, "a cancelled answer is not sent any further") {
  const auto gone = request(kPeer);
  runFor(kLargeRunMs + 30);
  const auto sent = network.bodies[gone].size();
  REQUIRE(sent > 0);
  REQUIRE(sent < kLargeAnswer);
  calls->onCancel(kPeer, gone);
  CHECK(calls->active() == 0);
  CHECK(calls->answers().scheduler().queuedBytes() == 0);
  CHECK(calls->counters().cancelled == 1);
  CHECK(calls->answers().counters().dropped == 1);
  runFor(500);
  CHECK(network.bodies[gone].size() == sent);
}

// Guards against answers that are kept for ever for a receiver that was killed.
TEST_CASE_METHOD(PiecesFixture, "answers to a lost connection are dropped, and others continue") {
  const auto lost = request(kPeer);
  const auto other = request(kOtherPeer);
  runFor(kLargeRunMs + 30);
  calls->onClose(kPeer);
  const auto sent = network.bodies[lost].size();
  CHECK(calls->active() == 1);
  runFor(500);
  CHECK(network.bodies[lost].size() == sent);
  CHECK(network.bodies[other] == largeBody());
  CHECK(calls->active() == 0);
}

// Guards against a receiver that doesn't read and holds up others.
TEST_CASE_METHOD(PiecesFixture, "a receiver without credits holds up only its own answers") {
  network.reads[kPeer] = false;
  for (int i = 0; i < 5; ++i) (void)request(kPeer);
  runFor(kLargeRunMs + 300);
  const auto other = request(kOtherPeer);
  const auto since = queue.now();
  runFor(1000);
  CHECK(network.bodies[other] == largeBody());
  CHECK(network.carriedAt[other] - since <= base::milliseconds(kLargeRunMs + 80));
  CHECK(calls->active() == 5);
}

// Guards against a planned stop that ends before queued answers are sent.
TEST_CASE_METHOD(PiecesFixture, "a draining node is active until its last answer is sent whole") {
  const auto first = request(kPeer);
  const auto second = request(kOtherPeer);
  runFor(kLargeRunMs + 10);
  calls->setDraining(true);
  CHECK(calls->limiter().running() == 0);
  CHECK(calls->active() == 2);
  runFor(500);
  CHECK(calls->active() == 0);
  CHECK(network.bodies[first] == largeBody());
  CHECK(network.bodies[second] == largeBody());
}

// Guards against credits of a faulty or foreign peer that release bytes or end the connection.
TEST_CASE_METHOD(PiecesFixture, "invalid credits are counted and ignored") {
  network.reads[kPeer] = false;
  const auto call = request(kPeer);
  runFor(kLargeRunMs + 10);
  network.giveCredit(kPeer, call + 1, 1000);
  network.giveCredit(kOtherPeer, call, 1000);
  network.giveCredit(kPeer, call, -1);
  runFor(100);
  CHECK(calls->answers().counters().invalidCredits == 3);
  CHECK(network.all<wire::CallAnswerPiece>().empty());
  CHECK(network.closed.empty());
  CHECK(calls->active() == 1);
}

}  // namespace driftlug::node
