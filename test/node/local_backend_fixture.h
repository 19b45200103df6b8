/// Fixtures for a node and its local back end, on a virtual clock.
#pragma once

#include <catch2/catch.hpp>

#include "node/local_backend.h"
#include "recording_network.h"
#include "simulation/process.h"

namespace driftlug::node {

using wire::EndpointCondition;

/// A back end whose answers are given by the test.
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

inline BackendReport report(const std::string& incarnation, int64_t sequence, bool draining = false) {
  return {incarnation, sequence, 1, 0, draining};
}

inline constexpr int64_t kFirstStart = 1'764'720'000'000;  // Unix milliseconds

/// A report of one of several starts of the back end i-1.
inline BackendReport reportOf(int64_t startedAtMs, int64_t sequence, bool draining = false, int slots = 1) {
  return {"i-1", sequence, slots, 0, draining, startedAtMs};
}

struct LocalBackendFixture {
  LocalBackendFixture()
      : process(queue, "node", {"zone", "region"}, {"10.0.0.1", 7000}),
        calls(options(), process, network, backend, nullptr),
        local(endpointState(), process, calls,
              [this](const wire::EndpointState& state) { announced.push_back(state); }) {
    process.start();
    calls.onBackendLeaving([this](const std::string& endpoint) { local.onLeaving(endpoint); });
    calls.onBackendContact([this](bool reached) { local.onContact(reached); });
    calls.onWrongIncarnation([this](const std::string& endpoint) { local.onWrongEndpoint(endpoint); });
  }

  static EndpointOptions options() {
    EndpointOptions options;
    options.service = "records";
    options.dynamicEndpoint = true;
    options.waitWithinTarget = true;
    options.notices.leaving = {"leaving"};
    return options;
  }

  static wire::EndpointState endpointState() {
    wire::EndpointState endpointState;
    endpointState.serviceName = "records";
    endpointState.address = "10.0.0.1";
    endpointState.port = 7000;
    endpointState.zone = "zone";
    return endpointState;
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

  /// @return the error with which a call was refused, or kNone if it was not.
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

/// Records identity checks; the test gives the answers.
struct IdentityCheckFixture : LocalBackendFixture {
  void enableIdentityCheck(bool afterRestart) {
    local.setIdentityCheck([this](LocalBackend::IdentityCallback done) { identityChecks.push_back(std::move(done)); },
                           afterRestart);
  }

  void answer(const BackendIdentity& identity) {
    REQUIRE(!identityChecks.empty());
    const auto done = std::move(identityChecks.front());
    identityChecks.erase(identityChecks.begin());
    done(identity);
  }

  /// The back end answers that it is healthy, or unavailable.
  void answer(const std::string& incarnation, bool unavailable = false) {
    answer(BackendIdentity{incarnation, unavailable, !unavailable});
  }

  void refuseForLackOfSlot(const std::string& incarnation = "") { answer(BackendIdentity{incarnation}); }
  void answerNothing() { answer(BackendIdentity{}); }

  std::vector<LocalBackend::IdentityCallback> identityChecks;
};

}  // namespace driftlug::node
