/// Admission of calls with large answers on a slow link.
#include <catch2/catch.hpp>

#include <algorithm>

#include "node/endpoint_calls.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {
namespace {

constexpr int64_t kLinkBytesPerSecond = 1'500'000;
constexpr size_t kLargeAnswer = 90'000;
constexpr int kTargetMs = 800;
constexpr base::ConnectionId kRemoteConnection = 1;
constexpr base::ConnectionId kLocalConnection = 2;

/// A back end that answers after 150 ms with large bodies.
class LargeAnswerBackend : public BackendClient {
 public:
  explicit LargeAnswerBackend(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  uint64_t send(const wire::CallRequest&, base::Duration, std::function<void(BackendAnswer)> done) override {
    ++runs;
    scheduler_.schedule(base::milliseconds(150), [done] {
      done({BackendOutcome::kCompleted, false, 200, {}, std::string(kLargeAnswer, 'x')});
    });
    return 1;
  }
  void cancel(uint64_t) override {}

  int runs = 0;

 private:
  base::Scheduler& scheduler_;
};

/// A network whose link sends kLinkBytesPerSecond and queues the rest.
class SlowLinkNetwork : public test::RecordingNetwork {
 public:
  explicit SlowLinkNetwork(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  void send(base::ConnectionId connection, const wire::FramePtr& frame) override {
    test::RecordingNetwork::send(connection, frame);
    if (connection == kLocalConnection) return;
    queuedUntil_ = std::max(queuedUntil_, scheduler_.now()) +
                   base::microsecondsOf(static_cast<double>(frame->size()) / kLinkBytesPerSecond * 1e6);
    longestQueue = std::max(longestQueue, queuedUntil_ - scheduler_.now());
  }

  size_t queuedBytes(base::ConnectionId connection) const override {
    const auto left = std::max(base::Duration(0), queuedUntil_ - scheduler_.now());
    return connection == kRemoteConnection ? static_cast<size_t>(left.count() * kLinkBytesPerSecond / 1'000'000) : 0;
  }

  base::Duration longestQueue{0};

 private:
  base::Scheduler& scheduler_;
  base::TimePoint queuedUntil_{};
};

struct Fixture {
  Fixture() : process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000}), network(process), backend(process) {
    process.start();
    EndpointOptions options;
    options.service = "archive";
    options.defaultSlots = 14;
    options.nodeId = "node";
    options.bodies.linkBytesPerSecond = kLinkBytesPerSecond;
    calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr);
    wire::Hello peer;
    peer.id = "far";
    calls->onOpen(kRemoteConnection, peer);
    peer.id = "node";
    calls->onOpen(kLocalConnection, peer);
  }

  /// Sends calls whose answers need twice the bandwidth of the link.
  void load(base::ConnectionId connection, base::Duration duration) {
    constexpr auto kGap = base::milliseconds(30);
    for (base::Duration at{0}; at < duration; at += kGap) {
      wire::CallRequest request;
      request.callId = ++lastCall;
      request.serviceName = "archive";
      request.remainingMs = 2000;
      request.targetLatencyMs = kTargetMs;
      calls->onRequest(connection, request);
      const auto until = queue.now() + kGap;
      while (queue.runNext(until)) {
      }
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  SlowLinkNetwork network;
  LargeAnswerBackend backend;
  std::unique_ptr<EndpointCalls> calls;
  int64_t lastCall = 0;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "calls whose answers a slow link can't carry in time are refused before they run") {
  load(kRemoteConnection, base::seconds(10));
  CHECK(network.longestQueue <= base::milliseconds(kTargetMs));
  CHECK(calls->counters().refusedForAnswer > 0);
  // At least nine tenths of the link's bandwidth is still used.
  CHECK(backend.runs * static_cast<int64_t>(kLargeAnswer) >= kLinkBytesPerSecond * 10 * 9 / 10);
}

TEST_CASE_METHOD(Fixture, "calls of this node's own callers do not use the link and are not refused") {
  load(kLocalConnection, base::seconds(3));
  CHECK(calls->counters().refusedForAnswer == 0);
}

}  // namespace driftlug::node
