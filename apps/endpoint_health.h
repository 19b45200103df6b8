/// Health checks of a back end that is configured in the table.
#pragma once

#include <gflags/gflags.h>

#include <chrono>

#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "transport/http_client.h"

DECLARE_string(name);
DECLARE_string(service);
DECLARE_int32(health_interval_ms);

namespace driftlug::apps {

/// Decides whether the endpoint accepts new calls, from health checks of the back end and drain requests of operators.
class EndpointHealth {
 public:
  EndpointHealth(transport::EventLoop& loop, node::ControlClient& control, node::EndpointCalls& calls,
                 const base::Address& backend)
      : control_(control),
        calls_(calls),
        pool_(loop, "health", backend, poolOptions()),
        timer_(loop, [this] { check(); }) {
    state_.endpoint = FLAGS_name;
    state_.serviceName = FLAGS_service;
    state_.condition = wire::EndpointCondition::LIVE;
    state_.incarnation =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
  }

  void start() {
    control_.announce(state_);
    if (FLAGS_health_interval_ms > 0) timer_.start(base::milliseconds(FLAGS_health_interval_ms));
  }

  /// Drains the endpoint until the back end has ended, since it said in a response that it is shutting down.
  void onLeaving() {
    leaving_ = true;
    update();
  }

  /// Starts or ends draining on request of an operator.
  void setDrainRequested(bool requested) {
    drainRequested_ = requested;
    update();
  }

 private:
  static transport::HttpPoolOptions poolOptions() {
    constexpr size_t kMaxResponseBytes = size_t{64} << 10;
    transport::HttpPoolOptions options;
    options.maxBodyBytes = kMaxResponseBytes;
    return options;
  }

  void check() {
    const base::Duration interval = base::milliseconds(FLAGS_health_interval_ms);
    transport::HttpRequest request;
    request.method = "GET";
    request.path = "/healthz";
    pool_.send(request, interval * 2, [this, interval, sentAt = calls_.now()](const transport::HttpResult& result) {
      // Only an explicit 503 counts: other requests may succeed even though a health check failed.
      const bool answered = result.outcome == transport::HttpOutcome::kCompleted;
      backendDraining_ = answered && result.response.status == 503;
      if (answered) calls_.onHealthLoad(result.response.headers, sentAt);
      if (result.outcome == transport::HttpOutcome::kNotSent) leaving_ = false;  // nothing listens any more
      update();
      timer_.start(calls_.healthCheckInterval(interval));
    });
  }

  void update() {
    const bool draining = drainRequested_ || backendDraining_ || leaving_;
    calls_.setDraining(draining);
    const auto condition = draining ? wire::EndpointCondition::DRAINING : wire::EndpointCondition::LIVE;
    if (condition == state_.condition) return;
    state_.condition = condition;
    control_.announce(state_);
  }

  node::ControlClient& control_;
  node::EndpointCalls& calls_;
  transport::HttpClientPool pool_;
  base::Timer timer_;
  wire::EndpointState state_;
  bool drainRequested_ = false;
  bool backendDraining_ = false;
  bool leaving_ = false;  // the back end said in a response that it is shutting down
};

}  // namespace driftlug::apps
