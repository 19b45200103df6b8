/// driftlug-node: takes calls of callers, carries them to other nodes, and admits them to the back end beside it.
#include <absl/strings/numbers.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/settings.h"
#include "daemon.h"
#include "http_backend.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"
#include "storage/posix_disk.h"
#include "transport/frame_transport.h"

DEFINE_string(name, "", "name of this node; the name of its endpoint row when it runs beside a back end");
DEFINE_string(zone, "", "zone that this process runs in");
DEFINE_string(listen_host, "127.0.0.1", "IP number to listen on");
DEFINE_int32(frame_port, 0, "port for calls of other nodes; 0 on a node without a back end");
DEFINE_int32(entry_port, 0, "port for HTTP calls of callers; 0 for none");
DEFINE_int32(http_port, 0, "port for health, metrics and drain");
DEFINE_string(relays, "", "relays of the zone's release group as host:port, nearest first");
DEFINE_string(hosts, "", "hosts that this node accepts calls for, separated by commas");
DEFINE_string(service, "", "service of the back end beside this node; empty for none");
DEFINE_string(backend, "", "address of the back end as host:port");
DEFINE_int32(backend_connections, 130, "connections to the back end at most");
DEFINE_int32(backend_slots, 20, "requests in the back end at once, where the table has no limit");
DEFINE_int32(backend_queue, 64, "requests waiting at once, where the table has no limit");
DEFINE_string(data_folder, "", "folder for the last version; empty on a machine without a disk");
DEFINE_int32(stop_timeout_ms, 10000, "longest time that a planned stop waits for calls in progress");
DEFINE_bool(ledger, true, "claim requests that may not be repeated in the ledger before they run");
DEFINE_int32(health_interval_ms, 250, "interval of health checks of the back end; 0 for none");
DEFINE_int32(emulated_zone_delay_us, 0, "delay of frames to other zones; for tests only");

namespace {

using namespace driftlug;

constexpr int kMillisecondsPerSecond = 1000;

/// Endpoint and entry sides of calls share one set of connections.
class CallHandler : public base::ConnectionHandler {
 public:
  CallHandler(node::EntryCalls& entry, node::EndpointCalls& endpoint) : entry_(entry), endpoint_(endpoint) {}

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override { entry_.onOpen(connection, peer); }

  void onMessage(base::ConnectionId connection, wire::Message message) override {
    if (const auto* request = std::get_if<wire::CallRequest>(&message)) {
      endpoint_.onRequest(connection, *request);
    } else if (const auto* cancel = std::get_if<wire::CallCancel>(&message)) {
      endpoint_.onCancel(connection, cancel->callId);
    } else {
      entry_.onMessage(connection, std::move(message));
    }
  }

  void onClose(base::ConnectionId connection) override {
    endpoint_.onClose(connection);
    entry_.onClose(connection);
  }

 private:
  node::EntryCalls& entry_;
  node::EndpointCalls& endpoint_;
};

/// Turns an answer into HTTP; failures get a typed JSON body and, where it is known, Retry-After.
transport::HttpResponse toHttp(node::CallAnswer answer) {
  transport::HttpResponse response;
  response.status = answer.httpStatus;
  response.headers = std::move(answer.headers);
  if (answer.outcome == wire::CallOutcome::COMPLETED) {
    response.body = std::move(answer.body);
    return response;
  }
  const bool unknown = answer.outcome == wire::CallOutcome::UNKNOWN;
  const nlohmann::json body = {{"error", base::errorName(answer.error)}, {"outcome", unknown ? "unknown" : "not_run"}};
  response.headers.push_back(transport::makeHeader("content-type", "application/json"));
  if (answer.retryAfterMs > 0) {
    const int seconds = (answer.retryAfterMs + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    response.headers.push_back(transport::makeHeader("retry-after", std::to_string(seconds)));
  }
  response.body = body.dump() + "\n";
  return response;
}

node::InboundCall toInbound(transport::HttpRequest request) {
  node::InboundCall call;
  call.method = std::move(request.method);
  call.host = std::string(request.header("host"));
  call.host = call.host.substr(0, call.host.find(':'));
  call.path = std::move(request.path);
  if (!request.query.empty()) call.path += "?" + request.query;
  (void)absl::SimpleAtoi(std::string(request.header("x-deadline-ms")), &call.deadlineMs);
  call.headers = std::move(request.headers);
  call.body = std::move(request.body);
  return call;
}

/// The HTTP listener for callers.
class EntryServer {
 public:
  EntryServer(transport::EventLoop& loop, node::EntryCalls& entry)
      : entry_(entry),
        server_(
            loop, "entry", {},
            [this](transport::ExchangeId exchange, transport::HttpRequest request) {
              onRequest(exchange, std::move(request));
            },
            [this](transport::ExchangeId exchange) { onAbort(exchange); }) {}

  transport::HttpServer& server() { return server_; }

 private:
  void onRequest(transport::ExchangeId exchange, transport::HttpRequest request) {
    calls_[exchange] = entry_.begin(toInbound(std::move(request)), [this, exchange](node::CallAnswer answer) {
      calls_.erase(exchange);
      server_.respond(exchange, toHttp(std::move(answer)));
    });
  }

  void onAbort(transport::ExchangeId exchange) {
    const auto call = calls_.find(exchange);
    if (call == calls_.end()) return;
    entry_.abandon(call->second);
    calls_.erase(call);
  }

  node::EntryCalls& entry_;
  std::map<transport::ExchangeId, node::CallId> calls_;
  transport::HttpServer server_;
};

/// Decides whether the endpoint takes new work, from the back end's health and the operator's wish.
class EndpointHealth {
 public:
  EndpointHealth(transport::EventLoop& loop, node::ControlClient& control, node::EndpointCalls& calls,
                 const base::Address& backend)
      : control_(control),
        calls_(calls),
        pool_(loop, "health", backend.host, backend.port, 1),
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

  /// Takes no new work, or takes it again.
  void setDrainAsked(bool asked) {
    drainAsked_ = asked;
    update();
  }

 private:
  void check() {
    const base::Duration interval = base::milliseconds(FLAGS_health_interval_ms);
    transport::HttpRequest request;
    request.method = "GET";
    request.path = "/healthz";
    pool_.send(request, interval * 2, [this, interval](const transport::HttpResult& result) {
      // Only a clear word of the back end counts; a lost health check says nothing of requests.
      const bool answered = result.outcome == transport::HttpOutcome::kCompleted;
      backendDrains_ = answered && result.response.status == 503;
      update();
      timer_.start(interval);
    });
  }

  void update() {
    const bool draining = drainAsked_ || backendDrains_;
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
  bool drainAsked_ = false;
  bool backendDrains_ = false;
};

void addMetrics(const node::ControlClient& control, const node::EntryCalls& entry, const node::EndpointCalls& endpoint,
                const transport::FrameTransport& controlFrames, base::MetricsPage* page) {
  page->gauge("table_revision", "revision in force", static_cast<double>(control.slices().revision()));
  page->gauge("node_connected", "1 while a relay is connected", control.connected() ? 1 : 0);
  page->gauge("node_fresh", "1 while a quorum of controllers is heard of", control.fresh() ? 1 : 0);
  page->counter("node_activations_total", "versions activated", control.counters().activations);
  page->counter("node_rejected_total", "updates refused", control.counters().rejected);
  page->counter("node_reconnects_total", "changes of relay", control.counters().reconnects);
  page->counter("node_control_bytes_received_total", "bytes received from relays",
                controlFrames.counters().bytesReceived);
  page->counter("node_control_bytes_sent_total", "bytes sent to relays", controlFrames.counters().bytesSent);
  const auto& calls = entry.counters();
  page->counter("entry_calls_total", "calls taken from callers", calls.calls);
  page->counter("entry_completed_total", "calls completed", calls.completed);
  page->counter("entry_refused_total", "calls answered not run", calls.refused);
  page->counter("entry_unknown_total", "calls answered outcome unknown", calls.unknown);
  page->counter("entry_attempts_total", "attempts sent to endpoints", calls.attempts);
  page->counter("entry_retries_total", "attempts after the first", calls.retries);
  page->counter("entry_late_answers_total", "answers that came after their call had ended", calls.lateAnswers);
  const auto& runs = endpoint.counters();
  page->counter("endpoint_calls_total", "calls taken from nodes", runs.calls);
  page->counter("endpoint_completed_total", "calls completed by the back end", runs.completed);
  page->counter("endpoint_refused_total", "calls refused as not run", runs.refused);
  page->counter("endpoint_replayed_total", "calls answered from the ledger without a run", runs.replayed);
  page->counter("endpoint_unknown_total", "calls whose outcome is unknown", runs.unknown);
  page->gauge("endpoint_running", "requests in the back end", endpoint.limiter().running());
  page->gauge("endpoint_waiting", "requests waiting for a slot", static_cast<double>(endpoint.limiter().waiting()));
}

node::ControlOptions controlOptionsFromSettings() {
  node::ControlOptions options;
  options.nodeId = FLAGS_name;
  options.zone = FLAGS_zone;
  for (const auto& text : base::splitList(FLAGS_relays)) {
    options.relays.push_back(apps::parseAddressOrExit("relays", text));
  }
  options.hosts = base::splitList(FLAGS_hosts);
  if (!FLAGS_service.empty()) options.services.push_back(FLAGS_service);
  return options;
}

void declareSettings() {
  base::declareRequired("name");
  base::declareRequired("zone");
  base::declareRequired("relays");
  base::declareRange("frame_port", 0, 65535);
  base::declareRange("entry_port", 0, 65535);
  base::declareRange("http_port", 1, 65535);
  base::declareRange("backend_connections", 1, 10'000);
  base::declareRange("backend_slots", 1, 100'000);
  base::declareRange("backend_queue", 0, 100'000);
  base::declareRange("stop_timeout_ms", 0, 600'000);
  base::declareRange("health_interval_ms", 0, 60'000);
  base::declareRange("emulated_zone_delay_us", 0, 10'000'000);
}

}  // namespace

int main(int argc, char** argv) {
  declareSettings();
  base::loadSettingsOrExit(argc, argv, "driftlug-node: carries calls between callers and back ends", false);
  apps::configureLogsFromSettings();
  const bool hasBackend = !FLAGS_service.empty();
  const auto backendAddress =
      hasBackend ? apps::parseAddressOrExit("backend", FLAGS_backend) : base::Address{FLAGS_listen_host, 1};

  transport::EventLoop loop;
  transport::FrameTransport controlFrames(loop, "control");
  transport::FrameTransport callFrames(loop, "calls");
  controlFrames.setEmulatedZoneDelay(base::microseconds(FLAGS_emulated_zone_delay_us));
  callFrames.setEmulatedZoneDelay(base::microseconds(FLAGS_emulated_zone_delay_us));
  base::RandomSource random(apps::processSeed());

  node::EntryOptions entryOptions;
  entryOptions.nodeId = FLAGS_name;
  entryOptions.zone = FLAGS_zone;
  node::EntryCalls entry(entryOptions, loop, base::RandomSource(random.bits()), callFrames);
  apps::HttpBackend backend(loop, backendAddress, static_cast<size_t>(FLAGS_backend_connections));
  node::ControlClient* controlClient = nullptr;
  ledger::LedgerClient ledgerClient(loop, base::RandomSource(random.bits()), FLAGS_name,
                                    [&](const wire::Message& message) { return controlClient->send(message); });
  node::EndpointCalls endpoint({FLAGS_service, FLAGS_backend_slots, FLAGS_backend_queue}, loop, callFrames, backend,
                               FLAGS_ledger ? &ledgerClient : nullptr);
  CallHandler callHandler(entry, endpoint);
  callFrames.setHandler(&callHandler);
  wire::Hello hello;
  hello.role = wire::Role::NODE;
  hello.id = FLAGS_name;
  hello.zone = FLAGS_zone;
  callFrames.setHello(hello);

  node::ControlClient control(
      controlOptionsFromSettings(), loop, base::RandomSource(random.bits()), controlFrames,
      [&](const routing::RoutingTablePtr& table) {
        entry.useTable(table);
        endpoint.useTable(*table);
      },
      [&](const std::vector<wire::EndpointState>& states) { entry.onEndpointStates(states); });
  controlClient = &control;
  control.onLedgerReply([&](const wire::LedgerReply& reply) { ledgerClient.onReply(reply); });
  controlFrames.setHandler(&control);

  EndpointHealth health(loop, control, endpoint, backendAddress);
  EntryServer entryServer(loop, entry);
  apps::DaemonPages pages;
  pages.ready = [&] { return control.slices().active() != nullptr && control.fresh(); };
  pages.metrics = [&](base::MetricsPage* page) { addMetrics(control, entry, endpoint, controlFrames, page); };
  pages.other = [&](const transport::HttpRequest& request, const auto& respond) {
    if (request.path != "/drain" || request.method == "GET") {
      return respond(transport::jsonResponse(404, "{\"error\":\"row_not_found\",\"message\":\"no such path\"}\n"));
    }
    health.setDrainAsked(request.method == "POST");
    respond(transport::jsonResponse(
        200, "{\"result\":\"" + std::string(endpoint.draining() ? "draining" : "live") + "\"}\n"));
  };
  apps::AdminServer admin(loop, pages);
  admin.listenOrExit(FLAGS_listen_host, FLAGS_http_port);
  if (FLAGS_frame_port > 0) {
    if (const auto status = callFrames.listen(FLAGS_listen_host, FLAGS_frame_port); !status.ok())
      apps::exitWithError(status);
  }
  if (FLAGS_entry_port > 0) {
    const auto status = entryServer.server().listen(FLAGS_listen_host, FLAGS_entry_port);
    if (!status.ok()) apps::exitWithError(status);
  }
  std::unique_ptr<storage::PosixDisk> disk;
  if (!FLAGS_data_folder.empty()) {
    disk = std::make_unique<storage::PosixDisk>(FLAGS_data_folder, loop);
    if (const auto status = disk->prepare(); !status.ok()) apps::exitWithError(status);
  }
  control.start(disk.get());
  if (hasBackend) health.start();

  std::function<void(base::TimePoint)> waitForCalls = [&](base::TimePoint until) {
    constexpr base::Duration kPoll = base::milliseconds(20);
    const bool idle = entry.active() == 0 && endpoint.active() == 0 && entryServer.server().pending() == 0;
    if (idle || loop.now() >= until) return loop.stop();
    loop.schedule(kPoll, [&, until] { waitForCalls(until); });
  };
  loop.onTerminate([&] {
    // Others need a moment to hear that this node leaves before the last calls have ended.
    constexpr base::Duration kAnnounceTime = base::milliseconds(300);
    admin.setStopping();
    entryServer.server().setDraining();
    if (hasBackend) health.setDrainAsked(true);
    const auto until = loop.now() + base::milliseconds(FLAGS_stop_timeout_ms);
    loop.schedule(kAnnounceTime, [&, until] { waitForCalls(until); });
  });
  loop.run();
  return 0;
}
