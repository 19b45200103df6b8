/// The endpoint side with a back end that advertises a rate limit.
#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "node/endpoint_calls.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {
namespace {

constexpr base::ConnectionId kCaller = 1;
constexpr char kHeader[] = "limit";

/// A back end that answers after a settable time, with the limit that it has when it answers.
class LimitedBackend : public BackendClient {
 public:
  explicit LimitedBackend(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  uint64_t send(const wire::CallRequest&, base::Duration, std::function<void(BackendAnswer)> done) override {
    startedAt.push_back(scheduler_.now());
    scheduler_.schedule(runTime, [this, done] {
      BackendAnswer answer{BackendOutcome::kCompleted, false, status, {}, ""};
      wire::HttpHeader header;
      header.name = kHeader;
      header.value = limit;
      if (!limit.empty()) answer.headers.push_back(header);
      done(std::move(answer));
    });
    return 1;
  }
  void cancel(uint64_t) override {}

  size_t maxStartsIn(base::Duration window, base::TimePoint since) const {
    size_t most = 0;
    for (auto first = std::lower_bound(startedAt.begin(), startedAt.end(), since); first != startedAt.end(); ++first) {
      const auto last = std::lower_bound(first, startedAt.end(), *first + window);
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }

  std::vector<base::TimePoint> startedAt;
  std::string limit;
  int status = 200;
  base::Duration runTime = base::milliseconds(50);

 private:
  base::Scheduler& scheduler_;
};

struct Fixture {
  Fixture() : process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000}), backend(process) {
    process.start();
    EndpointOptions options;
    options.service = "records";
    options.dynamicEndpoint = true;
    options.waitWithinTarget = true;
    options.notices.rateLimit = {kHeader};
    calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr);
    calls->useIncarnation("i-1", 8);
  }

  wire::CallRequest request() {
    wire::CallRequest made;
    made.callId = ++lastCall;
    made.serviceName = "records";
    made.endpoint = "i-1";
    made.remainingMs = 1000;
    made.targetLatencyMs = 300;
    made.hasAlternative = hasAlternative;
    return made;
  }

  void run(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  /// Sends 50 requests per second.
  void load(base::Duration duration) {
    constexpr auto kGap = base::milliseconds(20);
    for (base::Duration at{0}; at < duration; at += kGap) {
      calls->onRequest(kCaller, request());
      run(kGap);
    }
  }

  std::vector<wire::CallResponse> refusals() const {
    auto answers = network.all<wire::CallResponse>();
    std::erase_if(answers, [](const auto& answer) { return answer.outcome != wire::CallOutcome::NOT_RUN; });
    return answers;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  LimitedBackend backend;
  std::unique_ptr<EndpointCalls> calls;
  bool hasAlternative = true;
  int64_t lastCall = 0;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "requests beyond an advertised rate are refused at once, with the time until there is room") {
  backend.limit = "4";
  load(base::seconds(10));
  CHECK(backend.maxStartsIn(base::seconds(4), base::TimePoint{} + base::milliseconds(200)) <= 4 * 4 + 2);
  CHECK(backend.startedAt.size() >= 4 * 9);
  const auto refused = refusals();
  REQUIRE(!refused.empty());
  for (const auto& answer : refused) {
    CHECK(answer.errorCode == static_cast<int>(base::ErrorCode::kBackendRateLimited));
    CHECK(answer.retryAfterMs >= 1);
    CHECK(answer.retryAfterMs <= 500);
  }
  CHECK(calls->counters().refusedForRate == static_cast<int64_t>(refused.size()));
}

TEST_CASE_METHOD(Fixture, "a call without an alternative waits for an advertised rate if it can meet its target") {
  backend.limit = "10";
  hasAlternative = false;
  calls->onRequest(kCaller, request());
  run(base::milliseconds(100));
  calls->onRequest(kCaller, request());
  run(base::milliseconds(500));
  CHECK(refusals().empty());
  CHECK(backend.startedAt.size() == 2);
}

TEST_CASE_METHOD(Fixture, "a rate limit ends with the first response to a later request that does not name it") {
  backend.limit = "2";
  load(base::seconds(3));
  REQUIRE(calls->advertisedRatePerS() == 2);
  backend.limit = "";
  load(base::seconds(1));
  CHECK(!calls->advertisedRatePerS());
  const auto before = backend.startedAt.size();
  load(base::seconds(1));
  CHECK(backend.startedAt.size() - before == 50);
  CHECK(calls->counters().rateLimitChanges == 2);
}

TEST_CASE_METHOD(Fixture, "a back end with a rate limit of 0 still gets a request now and then, and recovers") {
  backend.limit = "0";
  load(base::seconds(20));
  const auto since = base::TimePoint{} + base::seconds(3);
  CHECK(backend.maxStartsIn(base::seconds(4), since) <= 5);
  CHECK(backend.maxStartsIn(base::seconds(6), since) >= 1);
  backend.limit = "";
  load(base::seconds(6));
  CHECK(!calls->advertisedRatePerS());
}

TEST_CASE_METHOD(Fixture, "an unreadable or huge rate limit limits nothing") {
  for (const char* value : {"-3", "soon", "nan", "1e300"}) {
    backend.limit = value;
    const auto before = backend.startedAt.size();
    load(base::seconds(1));
    CHECK(backend.startedAt.size() - before == 50);
  }
  CHECK(calls->counters().unreadableRateLimits >= 140);
}

TEST_CASE_METHOD(Fixture, "queued calls that can run elsewhere are refused when a rate limit begins") {
  backend.runTime = base::milliseconds(100);
  for (int i = 0; i < 20; ++i) calls->onRequest(kCaller, request());
  backend.limit = "5";
  run(base::milliseconds(110));
  CHECK(backend.startedAt.size() == 8);
  CHECK(calls->limiter().waiting() == 0);
  CHECK(refusals().size() == 12);
}

TEST_CASE_METHOD(Fixture, "a restarted node learns a rate limit from its callers before it sends more") {
  auto told = request();
  told.__set_knownRatePerS(2);
  calls->onRequest(kCaller, told);
  CHECK(calls->advertisedRatePerS() == 2);
  backend.limit = "2";
  load(base::seconds(4));
  CHECK(backend.startedAt.size() <= 9);
}

TEST_CASE_METHOD(Fixture, "a rate limit does not outlive the start of the back end that advertised it") {
  backend.limit = "2";
  load(base::seconds(1));
  REQUIRE(calls->advertisedRatePerS());
  calls->useIncarnation("i-2", 8);
  CHECK(!calls->advertisedRatePerS());
}

TEST_CASE_METHOD(Fixture, "health checks take a part of an advertised rate only") {
  CHECK(calls->healthCheckInterval(base::milliseconds(300)) == base::milliseconds(300));
  backend.limit = "0.5";
  load(base::seconds(1));
  CHECK(calls->healthCheckInterval(base::milliseconds(300)) == base::seconds(8));
}

TEST_CASE_METHOD(Fixture, "an answer of another incarnation says nothing about the rate limit") {
  backend.limit = "2";
  backend.status = 421;
  load(base::seconds(1));
  CHECK(!calls->advertisedRatePerS());
}

}  // namespace driftlug::node
