/// The endpoint side with a cold back end or an evacuated zone.
#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "node/endpoint_calls.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {
namespace {

constexpr int kSlots = 6;
constexpr double kColdRatePerS = 8;
constexpr base::ConnectionId kCaller = 1;

/// A back end that answers after 5 ms and records when requests arrive.
class FastBackend : public BackendClient {
 public:
  explicit FastBackend(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  uint64_t send(const wire::CallRequest&, base::Duration, std::function<void(BackendAnswer)> done) override {
    startedAt.push_back(scheduler_.now());
    scheduler_.schedule(base::milliseconds(5), [done] { done({BackendOutcome::kCompleted, false, 200, {}, ""}); });
    return 1;
  }
  void cancel(uint64_t) override {}

  size_t maxStartsPerSecond() const {
    size_t most = 0;
    for (auto first = startedAt.begin(); first != startedAt.end(); ++first) {
      const auto last = std::lower_bound(first, startedAt.end(), *first + base::seconds(1));
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }

  std::vector<base::TimePoint> startedAt;

 private:
  base::Scheduler& scheduler_;
};

struct Fixture {
  Fixture() : process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000}), backend(process) {
    process.start();
    EndpointOptions options;
    options.service = "records";
    options.zone = "zone-1";
    options.dynamicEndpoint = true;
    calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr);
    calls->onColdCheckNeeded([this] { ++coldChecks; });
    calls->useIncarnation("i-1", kSlots);
  }

  void useTable(bool evacuated) {
    table::Table rows;
    wire::Row service;
    service.key = table::makeKey(wire::RowKind::SERVICE, "records");
    service.__isset.serviceRow = true;
    service.serviceRow.__set_coldPerS(kColdRatePerS);
    rows.put(table::storeRow(service));
    wire::Row zone;
    zone.key = table::makeKey(wire::RowKind::EVACUATION, "zone-1");
    zone.__isset.evacuationRow = true;
    if (evacuated) rows.put(table::storeRow(zone));
    calls->useTable(routing::RoutingTable(rows, ++revision));
  }

  /// Sends 50 requests per second, far more than a cold back end can handle.
  void load(base::Duration duration) {
    constexpr auto kGap = base::milliseconds(20);
    for (base::Duration at{0}; at < duration; at += kGap) {
      wire::CallRequest request;
      request.callId = ++lastCall;
      request.serviceName = "records";
      request.endpoint = "i-1";
      request.remainingMs = 300;
      calls->onRequest(kCaller, request);
      const auto until = queue.now() + kGap;
      while (queue.runNext(until)) {
      }
    }
  }

  size_t refusedWith(base::ErrorCode error) const {
    const auto answers = network.all<wire::CallResponse>();
    return static_cast<size_t>(std::count_if(answers.begin(), answers.end(), [&](const auto& answer) {
      return answer.outcome == wire::CallOutcome::NOT_RUN && answer.errorCode == static_cast<int>(error);
    }));
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  FastBackend backend;
  std::unique_ptr<EndpointCalls> calls;
  int64_t revision = 0;
  int64_t lastCall = 0;
  int coldChecks = 0;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "a back end that may be cold gets a low rate of requests before the node has a table") {
  calls->markPossiblyCold();
  load(base::seconds(2));
  CHECK(backend.maxStartsPerSecond() <= kSlots);
  useTable(false);
  load(base::seconds(2));
  CHECK(backend.maxStartsPerSecond() <= static_cast<size_t>(kColdRatePerS));
  CHECK(coldChecks > 0);
}

TEST_CASE_METHOD(Fixture, "a cold back end gets at most the rate in the table, and a warm one gets all requests") {
  useTable(false);
  calls->onColdReport(base::seconds(3), false);
  load(base::seconds(2));
  CHECK(backend.maxStartsPerSecond() <= static_cast<size_t>(kColdRatePerS));
  load(base::seconds(2));
  CHECK(backend.maxStartsPerSecond() > 3 * static_cast<size_t>(kColdRatePerS));
}

TEST_CASE_METHOD(
    Fixture,
    "calls in an evacuated zone are refused as not run; afterwards the back end counts as cold until checked") {
  useTable(true);
  load(base::seconds(1));
  CHECK(backend.startedAt.empty());
  CHECK(refusedWith(base::ErrorCode::kZoneEvacuated) == 50);
  useTable(false);
  CHECK(coldChecks == 1);
  load(base::seconds(2));
  CHECK(backend.maxStartsPerSecond() <= static_cast<size_t>(kColdRatePerS));
  calls->onColdReport(base::Duration(0), true);
  load(base::seconds(1));
  CHECK(backend.maxStartsPerSecond() > 3 * static_cast<size_t>(kColdRatePerS));
}

}  // namespace driftlug::node
