/// The endpoint side with a back end that reports its load.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "base/random.h"
#include "node/endpoint_calls.h"
#include "recording_network.h"
#include "simulation/process.h"
#include "table_rows.h"

namespace driftlug::node {
namespace {

constexpr base::ConnectionId kCaller = 1;
constexpr char kHeader[] = "load";

/// A kind of request.
struct Kind {
  int workMs = 0;  // at speed 1 and the usual pace
  int targetMs = 0;
  int remainingMs = 0;
};

constexpr Kind kSeal{47, 200, 600};
constexpr Kind kLookup{190, 400, 1500};
constexpr Kind kSearch{760, 4000, 5000};
constexpr Kind kKinds[] = {kSeal, kLookup, kSearch};

/// A back end of some speed that works at a settable pace, and reports its load in the manner set.
class ReportingBackend : public BackendClient {
 public:
  enum class Reports { kNothing, kThreeFigures, kFourFigures };

  explicit ReportingBackend(base::Scheduler& scheduler) : scheduler_(scheduler) {}

  uint64_t send(const wire::CallRequest& request, base::Duration, std::function<void(BackendAnswer)> done) override {
    startedAt[request.callId] = scheduler_.now();
    ++running;
    const double factor = 1 + spread * (2 * random_.unit() - 1);
    const double workMs = std::stoi(request.path) * factor / speed * pacePercent / 100;
    const auto id = ++lastId_;
    timers_[id] = scheduler_.schedule(base::microsecondsOf(workMs * 1000), [this, id, done] {
      --running;
      timers_.erase(id);
      BackendAnswer answer{BackendOutcome::kCompleted, false, 200, headers(), ""};
      done(std::move(answer));
    });
    return id;
  }

  void cancel(uint64_t id) override {
    scheduler_.cancel(timers_[id]);
    running -= static_cast<int>(timers_.erase(id));
  }

  std::vector<wire::HttpHeader> headers() const {
    wire::HttpHeader header;
    header.name = kHeader;
    header.value = value;
    if (value.empty() && reports != Reports::kNothing) {
      header.value = std::to_string(running) + ",0,9";
      if (reports == Reports::kFourFigures) header.value += "," + std::to_string(pacePercent);
    }
    if (header.value.empty()) return {};
    return {header};
  }

  std::map<int64_t, base::TimePoint> startedAt;  // by call
  Reports reports = Reports::kFourFigures;
  std::string value;  // sent in place of the true load, if it is not empty
  double speed = 1;
  double spread = 0.1;  // largest deviation of a run time from its mean
  int pacePercent = 100;
  int running = 0;

 private:
  base::Scheduler& scheduler_;
  base::RandomSource random_{11};
  std::map<uint64_t, base::TimerId> timers_;
  uint64_t lastId_ = 0;
};

/// A node with 9 slots beside such a back end.
struct Endpoint {
  explicit Endpoint(const std::string& header = kHeader)
      : process(queue, "node", {"zone-1", "region"}, {"10.0.0.1", 7000}), backend(process) {
    process.start();
    options.service = "records";
    options.dynamicEndpoint = true;
    options.waitWithinTarget = true;
    options.defaultQueue = 200;
    options.loadHeader = header;
    restart();
  }

  /// Restarts the node; its back end keeps running.
  void restart() {
    calls = std::make_unique<EndpointCalls>(options, process, network, backend, nullptr);
    calls->useIncarnation("i-1", 9);
  }

  wire::CallRequest request(const Kind& kind) {
    wire::CallRequest made;
    made.callId = ++lastCall;
    made.serviceName = "records";
    made.endpoint = "i-1";
    made.path = std::to_string(kind.workMs);
    made.remainingMs = kind.remainingMs;
    made.targetLatencyMs = kind.targetMs;
    made.hasAlternative = hasAlternative;
    return made;
  }

  int64_t send(const Kind& kind) {
    calls->onRequest(kCaller, request(kind));
    return lastCall;
  }

  void run(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  /// Sends 17 requests per second, of the kinds in turn: 0.6 of the slots are busy at the usual pace.
  void load(base::Duration duration) {
    constexpr auto kGap = base::milliseconds(60);
    for (base::Duration at{0}; at < duration; at += kGap) {
      send(kKinds[lastCall % 3]);
      run(kGap);
    }
  }

  /// Lets the node learn the service times of all kinds.
  void learn() {
    load(base::seconds(4));
    run(base::seconds(3));
    load(base::seconds(1));
    run(base::seconds(3));
    network.sent.clear();
  }

  /// Ends everything that runs or waits, and takes a fresh report.
  void settle() {
    run(base::seconds(60));
    send(kSeal);
    run(base::seconds(1));
  }

  std::optional<wire::CallResponse> answerOf(int64_t call) const {
    for (const auto& answer : network.all<wire::CallResponse>()) {
      if (answer.callId == call) return answer;
    }
    return std::nullopt;
  }

  std::vector<wire::CallResponse> refusals() const {
    auto answers = network.all<wire::CallResponse>();
    std::erase_if(answers, [](const auto& answer) { return answer.outcome != wire::CallOutcome::NOT_RUN; });
    return answers;
  }

  /// Puts a table with a tenant in force.
  void useTenant(double ratePerS) {
    wire::Row row = test::makeRow(wire::RowKind::TENANT, "press", 1);
    row.__isset.tenantRow = true;
    row.tenantRow.keys = {"key"};
    if (ratePerS > 0) row.tenantRow.__set_ratePerS(ratePerS);
    table::Table rows;
    rows.put(table::storeRow(row));
    calls->useTable(routing::RoutingTable(rows, 2));
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  ReportingBackend backend;
  EndpointOptions options;
  std::unique_ptr<EndpointCalls> calls;
  bool hasAlternative = true;
  int64_t lastCall = 0;
};

/// Sends groups of requests in which one kind prevails, and at the end of each a request behind all of them.
/// @return relative errors of the waits that were predicted for these last requests
std::vector<double> errorsOfPredictedWaits(Endpoint& node) {
  // Targets far away, in the order of the kinds, so that nothing is refused and the last request is the last to start.
  constexpr Kind kPatient[] = {{47, 30'000, 60'000}, {190, 30'001, 60'000}, {760, 30'002, 60'000}};
  for (int i = 0; i < 90; ++i) {
    node.send(kPatient[i % 3]);
    node.run(base::milliseconds(100));
  }
  base::RandomSource random(5);
  std::vector<double> errors;
  for (int group = 0; group < 30; ++group) {
    const auto prevailing = random.below(3);
    for (int i = 0; i < 50; ++i) node.send(kPatient[random.chance(0.85) ? prevailing : random.below(3)]);
    node.run(base::milliseconds(30));
    auto probe = node.request({47, 40'000, 60'000});
    const auto predicted = node.calls->predictedWait(probe);
    const auto sentAt = node.queue.now();
    node.calls->onRequest(kCaller, probe);
    node.settle();
    const auto waited = node.backend.startedAt.at(probe.callId) - sentAt;
    if (waited < base::milliseconds(50)) continue;
    errors.push_back(std::abs(static_cast<double>((predicted - waited).count())) / static_cast<double>(waited.count()));
  }
  return errors;
}

}  // namespace

// Guards against one mean of holding times for kinds that differ by an order of magnitude.
TEST_CASE("the predicted wait behind three kinds is within a quarter of the real one, that by one mean is far off") {
  Endpoint reporting;
  const auto errors = errorsOfPredictedWaits(reporting);
  REQUIRE(errors.size() > 20);
  CHECK(*std::max_element(errors.begin(), errors.end()) < 0.25);
  Endpoint silent("");
  auto others = errorsOfPredictedWaits(silent);
  REQUIRE(others.size() > 20);
  std::sort(others.begin(), others.end());
  CHECK(others[others.size() / 2] > 0.5);
}

// Guards against a wait for an answer that is known to be late, and against refusals of what is still in time.
TEST_CASE("while a back end says that it is slow, what can't be in time is refused at once and nothing else") {
  Endpoint node;
  node.learn();
  node.load(base::seconds(2));
  CHECK(node.refusals().empty());
  node.backend.pacePercent = 250;
  node.load(base::milliseconds(200));  // until a report states it
  node.network.sent.clear();
  const auto slowFrom = node.lastCall;
  node.load(base::milliseconds(400));
  const auto slowTo = node.lastCall;
  const auto refused = node.refusals();
  // A lookup takes 475 ms then, beyond its target of 400 ms; the others stay within theirs.
  std::vector<int64_t> refusedCalls;
  for (const auto& answer : refused) refusedCalls.push_back(answer.callId);
  std::vector<int64_t> lookups;
  for (auto call = slowFrom + 1; call <= slowTo; ++call) {
    if ((call - 1) % 3 == 1) lookups.push_back(call);
  }
  CHECK(lookups.size() >= 2);
  CHECK(refusedCalls == lookups);
  // The back end still has slots for other kinds, so the refusal names no back-off.
  for (const auto& answer : refused) CHECK(answer.fullForMs == 0);
  CHECK(node.calls->load().refusedForPace >= static_cast<int64_t>(lookups.size()));
  node.backend.pacePercent = 100;
  node.load(base::milliseconds(300));
  node.network.sent.clear();
  node.load(base::seconds(3));
  CHECK(node.refusals().empty());
}

// Guards against calls that wait in the queue of a back end that has become too slow for them.
TEST_CASE("when a back end becomes slow, queued calls that it can't serve in time any more are refused at once") {
  Endpoint node;
  node.learn();
  for (int i = 0; i < 9; ++i) node.send(kLookup);
  node.run(base::milliseconds(120));
  const auto lookup = node.send(kLookup);
  const auto seal = node.send(kSeal);
  CHECK(node.calls->limiter().waiting() == 2);
  node.backend.pacePercent = 250;
  node.calls->onHealthLoad(node.backend.headers(), node.queue.now());
  REQUIRE(node.answerOf(lookup));
  CHECK(node.answerOf(lookup)->outcome == wire::CallOutcome::NOT_RUN);
  CHECK(!node.answerOf(seal));
  CHECK(node.calls->load().refusedForPace == 1);
}

// Guards against a refusal where late service is the best that the caller can get.
TEST_CASE("a slow back end serves late what has no other endpoint") {
  Endpoint node;
  node.hasAlternative = false;
  node.learn();
  node.backend.pacePercent = 250;
  node.load(base::milliseconds(600));
  node.run(base::seconds(10));
  CHECK(node.refusals().empty());
  CHECK(node.network.all<wire::CallResponse>().size() == 10);
}

// Guards against endpoints that refuse a kind by turns, although none of them is ever fast enough for it.
TEST_CASE("a back end that is always too slow for a kind serves it late") {
  Endpoint node;
  node.backend.speed = 0.4;
  node.learn();
  const auto call = node.send(kLookup);
  node.run(base::seconds(2));
  CHECK(node.answerOf(call)->outcome == wire::CallOutcome::COMPLETED);
  CHECK(node.calls->load().refusedForPace == 0);
}

// Guards against a latest start by the times of other back ends, or of other kinds.
TEST_CASE("run times and latest starts are those of the own back end") {
  for (const double speed : {0.5, 1.0, 1.5}) {
    CAPTURE(speed);
    Endpoint node;
    node.backend.speed = speed;
    node.backend.spread = 0;
    node.learn();
    for (const auto& kind : kKinds) {
      const auto call = node.send(kind);
      node.run(base::seconds(3));
      CHECK(node.answerOf(call)->load.runMs == Approx(kind.workMs / speed).epsilon(0.12));
    }
    // 9 searches hold the slots; a lookup that has to wait for 90 ms can be in time only on the faster back ends.
    for (int i = 0; i < 9; ++i) node.send(kSearch);
    node.run(base::milliseconds(static_cast<int>(kSearch.workMs / speed) - 90));
    const Kind urgent{190, 400, 1500};
    const auto call = node.send(urgent);
    const bool refusedAtOnce = node.answerOf(call).has_value();
    CHECK(refusedAtOnce == (speed < 1));
    node.run(base::seconds(5));
  }
}

// Guards against predictions by a kind's time at a slow pace after the pace has returned to the usual one.
TEST_CASE("a time with a slow pace does not change the run times learned for the usual pace") {
  Endpoint node;
  node.learn();
  for (int i = 0; i < 5; ++i) {
    node.backend.pacePercent = 250;
    node.load(base::milliseconds(600));
    node.backend.pacePercent = 100;
    node.load(base::milliseconds(1400));
  }
  node.settle();
  CHECK(base::millisecondsOf(*node.calls->predictedRun(node.request(kSeal))) == Approx(47).epsilon(0.25));
  CHECK(base::millisecondsOf(*node.calls->predictedRun(node.request(kLookup))) == Approx(190).epsilon(0.25));
}

// Guards against a value that is no load and is used as one.
TEST_CASE("ill load reports are counted and ignored, and calls are served") {
  Endpoint node;
  for (const char* value : {"soon", "1,-2,9,100", "1,2,99999999999,100", "1,2", "1,2,9,100,7", "1,2,9,0"}) {
    node.backend.value = value;
    const auto before = node.calls->load().unreadableReports;
    const auto call = node.send(kSeal);
    node.run(base::seconds(1));
    CAPTURE(value);
    CHECK(node.calls->load().unreadableReports == before + 1);
    CHECK(node.answerOf(call)->outcome == wire::CallOutcome::COMPLETED);
    CHECK(!node.answerOf(call)->__isset.load);
  }
  node.backend.value.clear();
  const auto call = node.send(kSeal);
  node.run(base::seconds(1));
  CHECK(node.answerOf(call)->__isset.load);
}

// Guards against decisions by a load of some time ago.
TEST_CASE("a stale load is forgotten and not sent") {
  Endpoint node;
  node.learn();
  node.send(kSeal);
  REQUIRE(node.network.all<wire::CallAccepted>().back().__isset.load);
  CHECK(node.network.all<wire::CallAccepted>().back().load.ageMs >= 2000);
  node.run(base::seconds(6));
  CHECK(!node.calls->loadAware());
  node.send(kSeal);
  CHECK(!node.network.all<wire::CallAccepted>().back().__isset.load);
  node.run(base::seconds(1));
  CHECK(node.calls->loadAware());
}

// Guards against a response that was sent earlier, and overtaken, as the last word on the pace.
TEST_CASE("a late report does not replace a newer one") {
  Endpoint node;
  node.learn();
  const auto before = node.queue.now();
  node.run(base::milliseconds(5));
  node.send(kSeal);
  node.run(base::milliseconds(100));
  node.backend.pacePercent = 400;
  node.calls->onHealthLoad(node.backend.headers(), before);
  CHECK(node.calls->pace() == Approx(1));
  node.calls->onHealthLoad(node.backend.headers(), node.queue.now());
  CHECK(node.calls->pace() == Approx(4));
}

// Guards against decisions of a new process by values that it does not have.
TEST_CASE("a node that starts anew knows nothing until the next response or health check") {
  Endpoint node;
  node.learn();
  node.restart();
  CHECK(!node.calls->loadAware());
  node.send(kSeal);
  CHECK(!node.network.all<wire::CallAccepted>().back().__isset.load);
  node.run(base::seconds(1));
  CHECK(node.network.all<wire::CallResponse>().back().__isset.load);
  node.restart();
  node.calls->onHealthLoad(node.backend.headers(), node.queue.now());
  node.send(kSeal);
  CHECK(node.network.all<wire::CallAccepted>().back().__isset.load);
  CHECK(node.network.all<wire::CallAccepted>().back().load.runMs == 0);
}

// Guards against the load of the start before, which a response to an earlier health check can still bring.
TEST_CASE("a back end that restarts under the same name has no load until its next report") {
  Endpoint node;
  node.learn();
  node.load(base::milliseconds(100));
  REQUIRE(node.calls->loadAware());
  const auto checkSentAt = node.queue.now();
  node.run(base::milliseconds(5));
  node.calls->onBackendRestarted();
  CHECK(!node.calls->loadAware());
  node.backend.pacePercent = 300;
  node.calls->onHealthLoad(node.backend.headers(), checkSentAt);
  CHECK(!node.calls->loadAware());
  CHECK(node.calls->pace() == 1);
  node.calls->onHealthLoad(node.backend.headers(), node.queue.now());
  CHECK(node.calls->pace() == Approx(3));
  node.calls->useIncarnation("i-2", 9);
  CHECK(!node.calls->loadAware());
}

// Guards against changes for deployments that do not call for them.
TEST_CASE("without a pace and without limited tenants, a back end that reports its load is served as before") {
  using Reports = ReportingBackend::Reports;
  const auto messages = [](const std::string& header, Reports reports, double tenantRate) {
    Endpoint node(header);
    node.backend.reports = reports;
    node.useTenant(tenantRate);
    base::RandomSource random(3);
    for (int i = 0; i < 2000; ++i) {
      if (i == 1000) node.backend.pacePercent = 250;
      node.hasAlternative = random.chance(0.5);
      auto request = node.request(kKinds[random.below(3)]);
      request.runOnce = random.chance(0.3);
      request.waitedMs = random.chance(0.2) ? 300 : 0;
      node.calls->onRequest(kCaller, request);
      node.run(base::milliseconds(random.below(50)));
    }
    node.run(base::seconds(10));
    std::vector<std::string> texts;
    for (const auto& sent : node.network.sent) {
      if (const auto* accepted = std::get_if<wire::CallAccepted>(&sent.message)) {
        texts.push_back(fmt::format("accepted {} {}", accepted->callId, bool(accepted->__isset.load)));
      } else {
        auto answer = std::get<wire::CallResponse>(sent.message);
        texts.push_back(fmt::format("answer {} {} {} {} {} {} {}", answer.callId, static_cast<int>(answer.outcome),
                                    answer.errorCode, answer.retryAfterMs, answer.fullForMs, answer.inFlight,
                                    bool(answer.__isset.load)));
      }
    }
    return texts;
  };
  const auto before = messages("", Reports::kFourFigures, 10);
  CHECK(std::count_if(before.begin(), before.end(), [](const auto& text) { return text.ends_with("true"); }) == 0);
  CHECK(messages(kHeader, Reports::kThreeFigures, 0) == before);
  CHECK(messages(kHeader, Reports::kNothing, 10) == before);
  CHECK(messages(kHeader, Reports::kFourFigures, 0) != before);
  CHECK(messages(kHeader, Reports::kThreeFigures, 10) != before);
}

TEST_CASE("three figures are enough where the table holds tenants with limits") {
  Endpoint node;
  node.backend.reports = ReportingBackend::Reports::kThreeFigures;
  node.learn();
  CHECK(!node.calls->loadAware());
  node.useTenant(0);
  CHECK(!node.calls->loadAware());
  node.useTenant(10);
  CHECK(node.calls->loadAware());
  for (int i = 0; i < 12; ++i) node.send(kSearch);
  const auto load = node.network.all<wire::CallAccepted>().back().load;
  CHECK(load.running == 9);
  CHECK(load.waiting == 3);
  CHECK(load.slots == 9);
  CHECK(load.pacePercent == 100);
  CHECK(load.runMs == Approx(760).epsilon(0.1));
  CHECK(load.waitMs >= load.runMs * 0.9);
}

TEST_CASE("an accepted call says whether its kind was found to be nested, also without load reports") {
  Endpoint node("");
  wire::Hello hello;
  for (const char* service : {"orders", "catalogue"}) {
    hello.serviceName = service;
    node.calls->onOpen(service == std::string("orders") ? 2 : 3, hello);
  }
  for (int i = 0; i < 200; ++i) {
    node.calls->onRequest(2, node.request(kSeal));
    node.calls->onRequest(2 + i % 2, node.request(kLookup));
    node.run(base::milliseconds(200));
  }
  const auto accepted = node.network.all<wire::CallAccepted>();
  const auto& seal = accepted[accepted.size() - 2];
  const auto& lookup = accepted.back();
  CHECK(seal.nested);
  CHECK(!lookup.nested);
}

}  // namespace driftlug::node
