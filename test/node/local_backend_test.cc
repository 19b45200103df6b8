#include "node/local_backend.h"

#include <catch2/catch.hpp>

#include "node/backend_life.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {
namespace {

using wire::EndpointCondition;

/// A back end that never answers by itself.
class SilentBackend : public BackendClient {
 public:
  uint64_t send(const wire::CallRequest& request, base::Duration, std::function<void(BackendAnswer)> done) override {
    requests.push_back(request);
    pending.push_back(std::move(done));
    return requests.size();
  }
  void cancel(uint64_t) override { ++cancelled; }

  std::vector<wire::CallRequest> requests;
  std::vector<std::function<void(BackendAnswer)>> pending;
  int cancelled = 0;
};

BackendReport report(const std::string& incarnation, int64_t sequence, bool draining = false) {
  return {incarnation, sequence, 1, 0, draining};
}

constexpr int64_t kFirstStart = 1'764'720'000'000;  // Unix milliseconds

/// A report of a life of a back end that started again under its name.
BackendReport reportOf(int64_t startedAtMs, int64_t sequence, bool draining = false, int slots = 1) {
  return {"i-1", sequence, slots, 0, draining, startedAtMs};
}

struct Fixture {
  Fixture()
      : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 7000}),
        calls(options(), process, network, backend, nullptr),
        local(place(), process, calls, [this](const wire::EndpointState& state) { announced.push_back(state); }) {
    process.start();
    calls.onBackendContact([this](bool reached) { local.onContact(reached); });
    calls.onWrongIncarnation([this](const std::string& endpoint) { local.onWrongEndpoint(endpoint); });
  }

  static EndpointOptions options() {
    EndpointOptions options;
    options.service = "records";
    options.dynamicEndpoint = true;
    options.waitWithinTarget = true;
    return options;
  }

  static wire::EndpointState place() {
    wire::EndpointState place;
    place.serviceName = "records";
    place.address = "10.0.0.1";
    place.port = 7000;
    place.zone = "zone";
    return place;
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  void call(int64_t id, const std::string& endpoint, int targetMs = 0) {
    wire::CallRequest request;
    request.callId = id;
    request.serviceName = "records";
    request.endpoint = endpoint;
    request.remainingMs = 3000;
    request.targetLatencyMs = targetMs;
    calls.onRequest(1, request);
  }

  /// @return the error with which a call was refused, or kNone when it was not.
  base::ErrorCode refusalOf(int64_t id) {
    for (const auto& response : network.all<wire::CallResponse>()) {
      if (response.callId != id) continue;
      CHECK(response.outcome == wire::CallOutcome::NOT_RUN);
      return static_cast<base::ErrorCode>(response.errorCode);
    }
    return base::ErrorCode::kNone;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  SilentBackend backend;
  EndpointCalls calls;
  std::vector<wire::EndpointState> announced;
  LocalBackend local;
};

/// A back end that is asked for its name; the test gives the answers.
struct AskedFixture : Fixture {
  void askWhenUnsure(bool afterRestart) {
    local.setIdentityCheck([this](LocalBackend::IdentityCallback done) { questions.push_back(std::move(done)); },
                           afterRestart);
  }

  void answer(const std::string& incarnation, bool leaving = false) {
    REQUIRE(!questions.empty());
    const auto done = std::move(questions.front());
    questions.erase(questions.begin());
    done({incarnation, leaving});
  }

  std::vector<LocalBackend::IdentityCallback> questions;
};

}  // namespace

TEST_CASE_METHOD(AskedFixture, "a late report of an incarnation that this life does not know displaces none") {
  askWhenUnsure(true);
  local.onIdentified("i-2");
  local.onReport(report("i-2", 7));
  CHECK(local.onReport(report("i-1", 50)) == ReportVerdict::kHeld);
  call(1, "i-2");
  CHECK(backend.requests.size() == 1);
  answer("i-2");
  CHECK(local.incarnation() == "i-2");
  CHECK(announced.back().endpoint == "i-2");
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(local.onReport(report("i-2", 8)) == ReportVerdict::kTaken);
  SECTION("it comes once more") {
    CHECK(local.onReport(report("i-1", 50)) == ReportVerdict::kOutdated);
    CHECK(local.onReport(report("i-1", 49)) == ReportVerdict::kOutdated);
    CHECK(questions.empty());
  }
  SECTION("a newer one comes: the back end is asked again") {
    CHECK(local.onReport(report("i-1", 51)) == ReportVerdict::kHeld);
    answer("i-2");
    CHECK(local.incarnation() == "i-2");
  }
}

TEST_CASE_METHOD(AskedFixture,
                 "a back end that has started again is taken on its own word, and the old one never comes") {
  askWhenUnsure(false);
  CHECK(local.onReport(report("i-1", 9)) == ReportVerdict::kTaken);
  CHECK(local.onReport(report("i-2", 1)) == ReportVerdict::kHeld);
  answer("i-2");
  CHECK(local.incarnation() == "i-2");
  call(1, "i-2");
  CHECK(backend.requests.size() == 1);
  CHECK(local.onReport(report("i-1", 10)) == ReportVerdict::kOutdated);
  CHECK(questions.empty());
  CHECK(announced.back().endpoint == "i-2");
}

TEST_CASE_METHOD(AskedFixture, "of several names only the one that the back end gives is taken") {
  askWhenUnsure(false);
  local.onReport(report("i-1", 9));
  local.onReport(report("i-3", 1));
  local.onReport(report("i-2", 4));
  REQUIRE(questions.size() == 1);
  answer("i-3");
  CHECK(local.incarnation() == "i-3");
  CHECK(local.onReport(report("i-2", 4)) == ReportVerdict::kOutdated);
}

TEST_CASE_METHOD(AskedFixture, "a back end that does not say who it is is the sender of the last report, for now") {
  askWhenUnsure(false);
  local.onReport(report("i-2", 9));
  local.onReport(report("i-1", 50));
  answer("");
  CHECK(local.incarnation() == "i-1");
  // The one that gave way without proof comes back by a newer report, not by one that was late.
  CHECK(local.onReport(report("i-2", 9)) == ReportVerdict::kOutdated);
  CHECK(local.onReport(report("i-2", 10)) == ReportVerdict::kHeld);
  answer("i-2");
  CHECK(local.incarnation() == "i-2");
  CHECK(announced.back().endpoint == "i-2");
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(local.onReport(report("i-1", 51)) == ReportVerdict::kOutdated);
}

TEST_CASE_METHOD(AskedFixture, "after a restart of the node, a late report alone revives nobody") {
  askWhenUnsure(true);
  CHECK(local.onReport(report("i-1", 50)) == ReportVerdict::kHeld);
  CHECK(announced.empty());
  SECTION("another one runs") {
    answer("i-2");
    CHECK(local.incarnation().empty());
    CHECK(local.onReport(report("i-1", 50)) == ReportVerdict::kOutdated);
    CHECK(local.onReport(report("i-2", 3)) == ReportVerdict::kTaken);
    CHECK(announced.back().endpoint == "i-2");
  }
  SECTION("it runs") {
    answer("i-1");
    CHECK(local.incarnation() == "i-1");
    CHECK(announced.back().condition == EndpointCondition::LIVE);
  }
  SECTION("it runs, and had said to the node's earlier life that it drains") {
    answer("i-1", true);
    CHECK(announced.back().condition == EndpointCondition::DRAINING);
    call(1, "i-1");
    CHECK(backend.requests.empty());
    CHECK(local.onReport(report("i-1", 51)) == ReportVerdict::kTaken);
    CHECK(announced.back().condition == EndpointCondition::LIVE);
  }
  SECTION("nobody says") {
    answer("");
    CHECK(local.incarnation() == "i-1");
  }
}

TEST_CASE_METHOD(Fixture, "no call is taken before the back end has told of itself") {
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
  CHECK(local.onReport(report("i-1", 1)) == ReportVerdict::kTaken);
  call(2, "i-1");
  CHECK(backend.requests.size() == 1);
  REQUIRE(announced.size() == 1);
  CHECK(announced[0].endpoint == "i-1");
  CHECK(announced[0].condition == EndpointCondition::LIVE);
  CHECK(announced[0].slots == 1);
}

TEST_CASE_METHOD(Fixture, "a call for another incarnation is refused as not run") {
  local.onReport(report("i-1", 1));
  call(1, "i-0");
  CHECK(refusalOf(1) == base::ErrorCode::kWrongEndpoint);
  CHECK(backend.requests.empty());
}

TEST_CASE_METHOD(Fixture, "from the report on, a draining back end gets no new call, not even one that waited") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  call(2, "i-1");
  local.onReport(report("i-1", 2, true));
  call(3, "i-1");
  CHECK(backend.requests.size() == 1);
  CHECK(refusalOf(2) == base::ErrorCode::kDraining);
  CHECK(refusalOf(3) == base::ErrorCode::kDraining);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, "done"});
  CHECK(backend.requests.size() == 1);
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
}

TEST_CASE_METHOD(Fixture, "a late report changes nothing") {
  local.onReport(report("i-1", 5, true));
  CHECK(local.onReport(report("i-1", 4)) == ReportVerdict::kOutdated);
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
}

TEST_CASE_METHOD(Fixture, "an incarnation that has ended never comes back") {
  local.onReport(report("i-1", 1));
  SECTION("it left") { local.onLeave("i-1"); }
  SECTION("another one took its place") { local.onReport(report("i-2", 1)); }
  CHECK(announced.size() >= 2);
  CHECK(local.onReport(report("i-1", 9)) == ReportVerdict::kOutdated);
  call(1, "i-1");
  CHECK(refusalOf(1) != base::ErrorCode::kNone);
  CHECK(backend.requests.empty());
}

TEST_CASE_METHOD(Fixture, "a back end that says it is another one ends the incarnation") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  backend.pending[0]({BackendOutcome::kCompleted, false, 421, {}, ""});
  CHECK(refusalOf(1) == base::ErrorCode::kWrongEndpoint);
  CHECK(announced.back().condition == EndpointCondition::GONE);
  CHECK(local.onReport(report("i-1", 2)) == ReportVerdict::kOutdated);
  CHECK(local.onReport(report("i-2", 1)) == ReportVerdict::kTaken);
}

TEST_CASE_METHOD(Fixture, "after a restart of the node, the next report outdoes what its earlier life announced") {
  local.onReport(report("i-1", 3));
  const auto before = announced.back();
  std::vector<wire::EndpointState> later;
  LocalBackend restarted(place(), process, calls, [&](const wire::EndpointState& state) { later.push_back(state); });
  restarted.onReport(report("i-1", 4));
  REQUIRE(later.size() == 1);
  CHECK(later[0].incarnation > before.incarnation);
}

TEST_CASE_METHOD(Fixture,
                 "a back end that named itself takes calls, and its first report outdoes earlier announcements") {
  local.onIdentified("i-1");
  call(1, "i-1");
  CHECK(backend.requests.size() == 1);
  REQUIRE(announced.size() == 1);
  local.onReport(report("i-1", 4));
  REQUIRE(announced.size() == 2);
  CHECK(announced[1].incarnation > announced[0].incarnation);
  CHECK(announced[1].condition == EndpointCondition::LIVE);
  local.onIdentified("i-2");
  CHECK(local.incarnation() == "i-1");
  local.onLeave("i-1");
  local.onIdentified("i-1");
  CHECK(local.incarnation().empty());
}

TEST_CASE_METHOD(Fixture, "a back end that can't be reached takes no calls until it reports again") {
  local.onReport(report("i-1", 1));
  for (int64_t id = 1; id <= 3; ++id) {
    call(id, "i-1");
    REQUIRE(backend.pending.size() == static_cast<size_t>(id));
    backend.pending.back()({BackendOutcome::kNotSent, false, 0, {}, ""});
    CHECK(refusalOf(id) == base::ErrorCode::kBackendUnreachable);
  }
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  call(4, "i-1");
  CHECK(refusalOf(4) == base::ErrorCode::kDraining);
  local.onReport(report("i-1", 2));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  call(5, "i-1");
  CHECK(refusalOf(5) == base::ErrorCode::kNone);
}

TEST_CASE_METHOD(Fixture, "a back end that falls silent takes no calls; one that answers is not silent") {
  local.onReport(report("i-1", 1));
  call(1, "i-1");
  runFor(base::seconds(3));
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, ""});
  runFor(base::seconds(3));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  runFor(base::seconds(2));
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  local.onReport(report("i-1", 2));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
}

TEST_CASE_METHOD(Fixture, "a node that stops announces that its endpoint drains") {
  local.onReport(report("i-1", 1));
  local.setStopping();
  CHECK(announced.back().condition == EndpointCondition::DRAINING);
  local.onReport(report("i-1", 2));
  call(1, "i-1");
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
}

TEST_CASE_METHOD(Fixture, "what would miss its target by waiting is refused, at once or when that is certain") {
  local.onReport(report("i-1", 1));
  // A first run tells that a usual one takes 100 ms.
  call(1, "i-1", 200);
  runFor(base::milliseconds(100));
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, ""});
  call(2, "i-1", 200);
  call(3, "i-1", 1000);
  CHECK(refusalOf(2) == base::ErrorCode::kNone);
  CHECK(refusalOf(3) == base::ErrorCode::kNone);
  call(4, "i-1", 200);
  CHECK(refusalOf(4) == base::ErrorCode::kOverloaded);
  runFor(base::milliseconds(1100));
  CHECK(refusalOf(3) == base::ErrorCode::kOverloaded);
  CHECK(backend.requests.size() == 2);
}

TEST_CASE_METHOD(Fixture, "within a priority the nearer target goes first") {
  local.onReport(report("i-1", 1));
  call(1, "i-1", 1000);
  call(2, "i-1", 900);
  call(3, "i-1", 300);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, ""});
  REQUIRE(backend.requests.size() == 2);
  CHECK(backend.requests[1].callId == 3);
}

TEST_CASE_METHOD(Fixture, "a caller that leaves ends what may be repeated at the back end, and the next one starts") {
  local.onReport(report("i-1", 1));
  for (int64_t id = 1; id <= 4; ++id) call(id, "i-1");
  REQUIRE(backend.requests.size() == 1);
  calls.onCancel(1, 2);
  calls.onCancel(1, 1);
  CHECK(backend.cancelled == 1);
  REQUIRE(backend.requests.size() == 2);
  CHECK(backend.requests[1].callId == 3);
  calls.onClose(1);
  CHECK(calls.active() == 0);
  CHECK(calls.limiter().running() == 0);
  CHECK(calls.limiter().waiting() == 0);
  CHECK(backend.cancelled == static_cast<int>(backend.requests.size()));
}

TEST_CASE_METHOD(Fixture,
                 "what may not be repeated is let finish when its caller leaves, and withdrawn while it waits") {
  local.onReport(report("i-1", 1));
  wire::CallRequest request;
  request.serviceName = "records";
  request.endpoint = "i-1";
  request.remainingMs = 3000;
  request.runOnce = true;
  for (request.callId = 1; request.callId <= 2; ++request.callId) calls.onRequest(1, request);
  calls.onCancel(1, 2);
  calls.onCancel(1, 1);
  CHECK(backend.cancelled == 0);
  CHECK(calls.active() == 1);
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, "done"});
  CHECK(calls.active() == 0);
  CHECK(backend.requests.size() == 1);
}

TEST_CASE("lives of a back end have names of their own, and its own name can be told from them") {
  const auto first = endpointNameOf("i-1", kFirstStart);
  CHECK(first != endpointNameOf("i-1", kFirstStart + 1));
  CHECK(backendNameOf(first) == "i-1");
  CHECK(endpointNameOf("i-1", 0) == "i-1");
  CHECK(backendNameOf("i-1") == "i-1");
  CHECK(backendNameOf(endpointNameOf("odd~name", 0)) == "odd~name");
  CHECK(backendNameOf(endpointNameOf("odd~name", kFirstStart)) == "odd~name");
}

TEST_CASE_METHOD(Fixture, "a back end that starts again under its name is taken at its first report") {
  local.onReport(reportOf(kFirstStart, 400));
  const auto first = announced.back().endpoint;
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 1)) == ReportVerdict::kTaken);
  const auto second = announced.back().endpoint;
  CHECK(first != second);
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  REQUIRE(announced.size() == 3);
  CHECK(announced[1].endpoint == first);
  CHECK(announced[1].condition == EndpointCondition::GONE);
  call(1, second);
  CHECK(backend.requests.size() == 1);
  call(2, first);
  CHECK(refusalOf(2) == base::ErrorCode::kWrongEndpoint);
}

TEST_CASE_METHOD(Fixture, "what was said of the life before changes nothing any more") {
  local.onReport(reportOf(kFirstStart, 400));
  local.onReport(reportOf(kFirstStart + 3000, 1));
  const auto current = announced.back().endpoint;
  SECTION("a late report") { CHECK(local.onReport(reportOf(kFirstStart, 401)) == ReportVerdict::kOutdated); }
  SECTION("a late word of draining") {
    CHECK(local.onReport(reportOf(kFirstStart, 402, true)) == ReportVerdict::kOutdated);
  }
  SECTION("a late farewell that says of which life it is") { local.onLeave("i-1", kFirstStart); }
  SECTION("a late answer of an earlier call") { local.onWrongEndpoint(endpointNameOf("i-1", kFirstStart)); }
  CHECK(announced.back().endpoint == current);
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  call(1, current);
  CHECK(backend.requests.size() == 1);
}

TEST_CASE_METHOD(AskedFixture, "of a farewell that may be late the back end decides; until then it gets no calls") {
  askWhenUnsure(false);
  local.onReport(reportOf(kFirstStart, 400));
  local.onReport(reportOf(kFirstStart + 3000, 1));
  const auto current = announced.back().endpoint;
  local.onLeave("i-1");
  call(1, current);
  CHECK(refusalOf(1) == base::ErrorCode::kDraining);
  REQUIRE(questions.size() == 1);
  SECTION("it is well") {
    questions[0]({"i-1", false, true});
    CHECK(announced.back().condition == EndpointCondition::LIVE);
    call(2, current);
    CHECK(backend.requests.size() == 1);
  }
  SECTION("it leaves") {
    questions[0]({"i-1", true, false});
    CHECK(announced.back().condition == EndpointCondition::GONE);
    CHECK(local.onReport(reportOf(kFirstStart + 3000, 2)) == ReportVerdict::kOutdated);
  }
  SECTION("it does not say") {
    questions[0]({"", false, false});
    CHECK(announced.back().condition == EndpointCondition::GONE);
  }
}

TEST_CASE_METHOD(AskedFixture, "a farewell of the only life that is known ends it at once") {
  askWhenUnsure(false);
  local.onReport(reportOf(kFirstStart, 4));
  local.onLeave("i-1");
  CHECK(questions.empty());
  CHECK(announced.back().condition == EndpointCondition::GONE);
  CHECK(local.onReport(reportOf(kFirstStart, 5)) == ReportVerdict::kOutdated);
  CHECK(local.onReport(reportOf(kFirstStart + 9000, 1)) == ReportVerdict::kTaken);
  CHECK(announced.back().condition == EndpointCondition::LIVE);
}

TEST_CASE_METHOD(Fixture, "nothing of the life before holds for the next: slots, drain, runs, what waited") {
  local.onReport(reportOf(kFirstStart, 7));
  const auto first = announced.back().endpoint;
  call(1, first);
  call(2, first);
  CHECK(backend.requests.size() == 1);
  CHECK(local.onReport(reportOf(kFirstStart, 8, true)) == ReportVerdict::kTaken);
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 1, false, 3)) == ReportVerdict::kTaken);
  const auto second = announced.back().endpoint;
  CHECK(announced.back().condition == EndpointCondition::LIVE);
  CHECK(announced.back().slots == 3);
  // The run that the life before had begun is lost, and holds no slot of this one.
  CHECK(backend.cancelled == 1);
  CHECK(calls.limiter().running() == 0);
  for (int64_t id = 3; id <= 5; ++id) call(id, second);
  CHECK(backend.requests.size() == 4);
}

TEST_CASE_METHOD(Fixture, "a later life whose clock went back is taken once the one in use is over") {
  local.onReport(reportOf(kFirstStart, 7));
  const auto first = announced.back().endpoint;
  const auto earlier = kFirstStart - 2000;
  SECTION("nothing listened any more") {
    local.onCrash();
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportVerdict::kTaken);
  }
  SECTION("it is silent") {
    runFor(base::seconds(5));
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportVerdict::kTaken);
  }
  SECTION("the other one reports again, and it does not") {
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportVerdict::kDoubtful);
    CHECK(local.onReport(reportOf(earlier, 1)) == ReportVerdict::kDoubtful);
    CHECK(announced.back().endpoint == first);
    CHECK(local.onReport(reportOf(earlier, 2)) == ReportVerdict::kTaken);
  }
  CHECK(announced.back().endpoint == endpointNameOf("i-1", earlier));
  CHECK(announced.back().condition == EndpointCondition::LIVE);
}

TEST_CASE_METHOD(Fixture, "a late report of an earlier life that this node never knew displaces none") {
  local.onReport(reportOf(kFirstStart, 7));
  const auto current = announced.back().endpoint;
  CHECK(local.onReport(reportOf(kFirstStart - 9000, 50)) == ReportVerdict::kDoubtful);
  CHECK(local.onReport(reportOf(kFirstStart, 8)) == ReportVerdict::kTaken);
  CHECK(local.onReport(reportOf(kFirstStart - 9000, 51)) == ReportVerdict::kDoubtful);
  CHECK(announced.back().endpoint == current);
  SECTION("nor does it undo a drain that was acknowledged, however often it comes") {
    CHECK(local.onReport(reportOf(kFirstStart, 9, true)) == ReportVerdict::kTaken);
    for (int64_t sequence = 52; sequence < 56; ++sequence) {
      CHECK(local.onReport(reportOf(kFirstStart - 9000, sequence)) == ReportVerdict::kDoubtful);
    }
    CHECK(announced.back().condition == EndpointCondition::DRAINING);
    call(1, current);
    CHECK(refusalOf(1) == base::ErrorCode::kDraining);
  }
}

TEST_CASE_METHOD(Fixture, "a back end that was known by its name only goes by that of its life once it has told it") {
  local.onIdentified("i-1");
  call(1, "i-1");
  CHECK(backend.requests.size() == 1);
  CHECK(local.onReport(reportOf(kFirstStart, 4)) == ReportVerdict::kTaken);
  REQUIRE(announced.size() == 3);
  CHECK(announced[1].endpoint == "i-1");
  CHECK(announced[1].condition == EndpointCondition::GONE);
  CHECK(announced[2].endpoint == endpointNameOf("i-1", kFirstStart));
  // Calls that were on their way under the name are taken, and what runs goes on.
  backend.pending[0]({BackendOutcome::kCompleted, false, 200, {}, "done"});
  call(2, "i-1");
  call(3, endpointNameOf("i-1", kFirstStart));
  CHECK(refusalOf(2) == base::ErrorCode::kNone);
  CHECK(refusalOf(3) == base::ErrorCode::kNone);
  SECTION("a late report of the life before was first") {
    CHECK(local.onReport(reportOf(kFirstStart + 5000, 2)) == ReportVerdict::kTaken);
    CHECK(announced.back().endpoint == endpointNameOf("i-1", kFirstStart + 5000));
  }
}

TEST_CASE_METHOD(AskedFixture, "after a restart of the node, of two lives of a name the later one is taken") {
  askWhenUnsure(true);
  CHECK(local.onReport(reportOf(kFirstStart, 90)) == ReportVerdict::kHeld);
  CHECK(local.onReport(reportOf(kFirstStart + 3000, 2)) == ReportVerdict::kHeld);
  answer("i-1");
  CHECK(announced.back().endpoint == endpointNameOf("i-1", kFirstStart + 3000));
}

}  // namespace driftlug::node
