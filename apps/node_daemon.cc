#include "node_daemon.h"

#include <absl/strings/numbers.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <optional>

#include "base/error.h"
#include "base/settings.h"
#include "endpoint_health.h"
#include "entry_server.h"
#include "http_backend.h"
#include "lifecycle/planned_stop.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"
#include "node/version_reporter.h"
#include "node_settings.h"
#include "quarantine_page.h"
#include "storage/posix_disk.h"
#include "tcp_presence_check.h"
#include "transport/frame_transport.h"

DECLARE_string(backend);
DECLARE_int32(backend_connections);
DECLARE_string(cold_header);
DECLARE_bool(compress);
DECLARE_string(correlation_header);
DECLARE_string(data_folder);
DECLARE_string(deadline_header);
DECLARE_int32(emulated_zone_delay_us);
DECLARE_string(entry_listen);
DECLARE_int32(entry_port);
DECLARE_bool(first_start);
DECLARE_string(http_listen);
DECLARE_int32(http_port);
DECLARE_string(identity_header);
DECLARE_string(identity_path);
DECLARE_string(incarnation_header);
DECLARE_bool(ledger);
DECLARE_string(listen_host);
DECLARE_string(name);
DECLARE_string(not_run_header);
DECLARE_bool(quarantine);
DECLARE_string(report_listen);
DECLARE_int32(seed_relay_port);
DECLARE_string(service);
DECLARE_string(zone);

namespace driftlug::apps {
namespace {

constexpr int kOkStatus = 200;
/// Calls of rate-limited tenants wait for permits, as long as an answer is still of use. Calls that arrive within 5 ms
/// share a request. The timeout of 700 ms, the time of one or two elections, is for calls that do not state a time.
constexpr quota::quota_queue_options kQuotaQueueOptions{base::milliseconds(5), base::milliseconds(700),
                                                        base::milliseconds(250)};
/// Timeout of an identity query. The back end is on this machine; while all its slots are taken, the query waits in its
/// queue.
constexpr base::Duration kIdentityTimeout = base::milliseconds(500);
/// Timeout of a query for the cold state.
constexpr base::Duration kColdStateTimeout = base::milliseconds(200);
/// Maximum size of the body of an identity response.
constexpr size_t kMaxIdentityBytes = size_t{64} << 10;
/// Blocks from this size on, as of large bodies, are returned to the system when they are freed. By default glibc
/// raises this threshold with the size of freed blocks, and keeps them.
constexpr int kMappedBlockBytes = 1 << 20;
/// Free memory at the end of the heap that is kept, since the threshold above disables its adjustment by glibc too.
constexpr int kKeptHeapBytes = 512 << 10;

/// @param healthy whether the back end is healthy; a healthy back end that sends no cold time is warm
/// @return remaining cold-start time in milliseconds; nullopt if an unhealthy back end does not send it
std::optional<int> remainingColdMs(const std::vector<wire::HttpHeader>& headers, bool healthy) {
  const std::string text(transport::findHeader(headers, FLAGS_cold_header));
  int coldMs = 0;
  if (absl::SimpleAtoi(text, &coldMs)) return coldMs;
  return healthy ? std::optional(0) : std::nullopt;
}

/// Dispatches messages to the endpoint and the entry side of calls, which share connections.
class CallHandler : public base::ConnectionHandler {
 public:
  CallHandler(node::EntryCalls& entry, node::EndpointCalls& endpoint) : entry_(entry), endpoint_(endpoint) {}

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override {
    entry_.onOpen(connection, peer);
    endpoint_.onOpen(connection, peer);
  }

  void onMessage(base::ConnectionId connection, wire::Message message) override {
    if (const auto* request = std::get_if<wire::CallRequest>(&message)) {
      endpoint_.onRequest(connection, *request);
    } else if (const auto* cancel = std::get_if<wire::CallCancel>(&message)) {
      endpoint_.onCancel(connection, cancel->callId);
    } else if (const auto* withdraw = std::get_if<wire::CallWithdraw>(&message)) {
      endpoint_.onWithdraw(connection, withdraw->callId);
    } else if (const auto* piece = std::get_if<wire::CallBodyPiece>(&message)) {
      endpoint_.onBodyPiece(connection, *piece);
    } else if (const auto* credit = std::get_if<wire::CallAnswerCredit>(&message)) {
      endpoint_.onAnswerCredit(connection, *credit);
    } else if (std::holds_alternative<wire::KeepAlive>(message) && !entry_.isOutbound(connection)) {
      endpoint_.onKeepAlive(connection);
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

void addLoadMetrics(const node::EndpointCalls& endpoint, base::MetricsPage* page) {
  const auto& load = endpoint.load();
  const auto report = load.reports.current(endpoint.now());
  const auto age = load.reports.age(endpoint.now());
  page->gauge("endpoint_load_aware", "1 while decisions use the load that the back end reports",
              endpoint.loadAware() ? 1 : 0);
  page->gauge("endpoint_pace", "factor by which work on the back end takes longer than usual, as taken now",
              endpoint.pace());
  page->gauge("endpoint_reported_running", "requests that the back end says it runs; 0 without a current report",
              report ? report->running : 0);
  page->gauge("endpoint_reported_waiting", "requests that the back end says wait in it; 0 without a current report",
              report ? report->waiting : 0);
  page->gauge("endpoint_load_report_age_seconds", "age of the last load report; -1 without a current report",
              age ? std::chrono::duration<double>(*age).count() : -1);
  page->counter("endpoint_unreadable_load_reports_total", "load reports that are not three or four whole numbers",
                load.unreadableReports);
  page->counter("endpoint_refused_for_pace_total", "calls refused since the back end was too slow for their target",
                load.refusedForPace);
}

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
  page->gauge("entry_rate_limited_endpoints", "endpoints whose back ends name a rate limit, as far as is known here",
              static_cast<double>(entry.rateLimitedEndpoints()));
  page->gauge("entry_links", "links to endpoints of all services", static_cast<double>(entry.links()));
  const auto& runs = endpoint.counters();
  page->counter("endpoint_calls_total", "calls taken from nodes", runs.calls);
  page->counter("endpoint_completed_total", "calls completed by the back end", runs.completed);
  page->counter("endpoint_refused_total", "calls refused as not run", runs.refused);
  page->counter("endpoint_replayed_total", "calls answered from the ledger without a run", runs.replayed);
  page->counter("endpoint_refused_for_link_total", "calls refused since their body could not arrive in time",
                runs.refusedForLink);
  page->counter("endpoint_refused_for_answer_total", "calls refused since their answer could not leave in time",
                runs.refusedForAnswer);
  page->gauge("endpoint_rate_limit", "requests per second that the back end accepts; 0 while it names no limit",
              endpoint.advertisedRatePerS().value_or(0));
  page->counter("endpoint_refused_for_rate_total", "calls refused since the back end's rate limit left no room",
                runs.refusedForRate);
  page->counter("endpoint_rate_limit_changes_total", "times the back end began, changed or ended its rate limit",
                runs.rateLimitChanges);
  page->counter("endpoint_unreadable_rate_limits_total", "responses whose rate limit is not a number of requests",
                runs.unreadableRateLimits);
  page->counter("endpoint_leaving_notices_total", "responses in which the back end said that it is shutting down",
                runs.leavingNotices);
  addLoadMetrics(endpoint, page);
  page->gauge("answer_bytes_queued", "bytes of large answers that are not sent yet",
              static_cast<double>(endpoint.answers().scheduler().queuedBytes()));
  page->gauge("answer_bytes_gathered", "bytes of large answers that have arrived and are incomplete",
              static_cast<double>(entry.answers().gatheredBytes()));
  const auto& sentAnswers = endpoint.answers().counters();
  page->counter("answer_pieces_sent_total", "pieces of large answers sent", sentAnswers.pieces);
  page->counter("answer_dropped_total", "large answers whose receiver left before they were sent", sentAnswers.dropped);
  page->counter("answer_late_total", "large answers sent after their target latency", sentAnswers.late);
  page->counter("answer_invalid_credits_total", "credits for answers that are not queued", sentAnswers.invalidCredits);
  const auto& gatheredAnswers = entry.answers().counters();
  page->counter("answer_pieces_received_total", "pieces of large answers received", gatheredAnswers.pieces);
  page->counter("answer_pieces_late_total", "pieces of calls that had ended", gatheredAnswers.latePieces);
  page->counter("answer_pieces_invalid_total", "pieces of unknown calls or beyond the announced size",
                gatheredAnswers.invalidPieces);
  page->counter("answer_heads_invalid_total", "answers with an impossible announced size, and second answers",
                gatheredAnswers.invalidHeads);
  const auto& reservations = endpoint.reservations();
  page->counter("endpoint_reservations_offered_total", "times offered to refused requests at which there is capacity",
                reservations.offered);
  page->counter("endpoint_reservations_used_total", "offered times at which the request returned", reservations.used);
  page->counter("endpoint_reservations_expired_total", "offered times at which no request returned",
                reservations.expired);
  page->counter("endpoint_refused_for_nested_total", "calls refused since nested calls of the back end lack capacity",
                runs.refusedForNested);
  page->gauge("endpoint_admitted_share", "share of calls admitted while nested calls of the back end lack capacity",
              endpoint.admittedShare());
  page->gauge("entry_reservations_kept", "offered times kept for refused requests that may return",
              static_cast<double>(entry.keptReservations()));
  page->gauge("endpoint_body_missing_bytes", "bytes of announced bodies that have not arrived",
              static_cast<double>(endpoint.bodies().missingBytes()));
  page->gauge("endpoint_body_bytes_per_second", "what the link is taken to carry of bodies",
              static_cast<double>(endpoint.bodies().bytesPerSecond()));
  page->counter("endpoint_unknown_total", "calls whose outcome is unknown", runs.unknown);
  page->counter("endpoint_cut_runs_total", "runs whose connection the back end closed without an answer", runs.cutRuns);
  page->counter("endpoint_probation_runs_total", "runs of suspects", runs.probationRuns);
  page->counter("endpoint_held_back_total", "calls refused since their request is held", runs.heldBack);
  page->counter("entry_probations_total", "attempts of suspects", calls.probations);
  page->counter("entry_held_back_total", "calls refused since their request is held", calls.heldBack);
  page->counter("entry_hedges_total", "second attempts beside a first without an answer", calls.hedges);
  const auto& placement = entry.placementCounters();
  page->counter("entry_placed_by_completion_total", "attempts whose endpoint was chosen by expected completion",
                placement.byCompletion);
  page->counter("entry_placed_in_other_zone_total", "of these, attempts sent out of the zone", placement.leftZone);
  page->counter("entry_unreadable_loads_total", "reported loads of endpoints with impossible values",
                placement.unreadableLoads);
  page->counter("entry_silent_links_total", "links that did not acknowledge what was sent on them", calls.silentLinks);
  page->counter("entry_over_quota_total", "calls refused since their tenant is beyond its limit", calls.overQuota);
  page->counter("entry_unknown_keys_total", "calls refused since no tenant holds their key", calls.unknownKeys);
  page->counter("entry_refused_for_stop_total", "calls refused since they could not end before this process",
                calls.refusedForStop);
  page->counter("entry_abandoned_total", "calls whose caller went away", calls.abandoned);
  page->counter("entry_budget_spent_total", "retries that the budget did not allow", calls.budgetDenials);
  page->histogram("entry_latency_seconds", "from a request to its answer, completed calls", calls.completedLatency);
  page->histogram("endpoint_wait_seconds", "from a call's arrival to its start", runs.waitTimes);
  page->histogram("endpoint_run_seconds", "from a call's start to the back end's answer", runs.runTimes);
  page->counter("log_lines_dropped_total", "log lines that nobody read in time", base::droppedLogLines());
  page->gauge("endpoint_running", "requests in the back end", endpoint.limiter().running());
  page->gauge("endpoint_waiting", "requests waiting for a slot", static_cast<double>(endpoint.limiter().waiting()));
}

void addBodyMetrics(const memory::body_budget& budget, const node::EntryCalls& entry,
                    const node::EndpointCalls& endpoint, const transport::HttpServer& callers,
                    const transport::HttpClientPool& backend, base::MetricsPage* page) {
  for (size_t i = 0; i < memory::kBodyUses; ++i) {
    const auto use = static_cast<memory::body_use>(i);
    page->gauge(std::string("body_bytes_") + memory::nameOf(use), "bytes held of bodies of this use",
                static_cast<double>(budget.heldBytes(use)));
  }
  page->gauge("body_bytes_max", "bound of the bytes held of all bodies",
              static_cast<double>(budget.options().totalBytes));
  page->gauge("body_bytes_peak", "the most bytes of bodies that were ever held",
              static_cast<double>(budget.peakBytes()));
  page->counter("body_no_room_total", "times that a body found no room, including repeated tries",
                budget.counters().refused);
  page->counter("body_requests_waited_total", "requests that waited unread for room for their bodies",
                callers.counters().waitedForRoom);
  page->counter("body_requests_refused_total", "requests of callers refused for lack of room for their bodies",
                callers.counters().noRoom);
  page->counter("body_calls_refused_total", "calls of nodes refused for lack of room for their bodies",
                endpoint.counters().refusedForMemory);
  page->counter("body_responses_waited_total", "responses of the back end that waited unread for room for their bodies",
                backend.counters().waitedForRoom);
  page->counter("body_requests_released_total", "sent bodies dropped for lack of room before their calls ended",
                entry.counters().releasedBodies);
  page->counter("backend_over_limit_total", "requests to the back end that failed since it sent more than is read",
                backend.counters().overLimit);
}

void addMalformedMetrics(const transport::HttpServer& callers, const transport::HttpClientPool& backend,
                         const node::EntryCalls& entry, base::MetricsPage* page) {
  const auto& malformed = backend.counters().malformed;
  for (size_t i = 0; i < malformed.size(); ++i) {
    const auto name = std::string("backend_malformed_") + wire::nameOf(static_cast<wire::HttpHeadError>(i)) + "_total";
    page->counter(name, "responses of the back end that are not HTTP, by what is invalid", malformed[i]);
  }
  page->counter("entry_malformed_requests_total", "requests of callers that are not HTTP",
                callers.counters().malformed);
  page->counter("entry_invalid_responses_total", "responses that are not HTTP, passed on by nodes of earlier builds",
                entry.counters().invalidResponses);
}

/// Users of file descriptors, and the limit of each.
struct DescriptorUsers {
  const transport::EventLoop& loop;
  const transport::HttpServer& callers;
  const transport::FrameTransport& nodes;
  const node::EntryCalls& entry;
  const transport::HttpClientPool& backend;
  const descriptors::descriptor_shares& shares;
};

void addDescriptorMetrics(const DescriptorUsers& users, base::MetricsPage* page) {
  const auto count = [page](const std::string& name, const std::string& help, size_t value) {
    page->gauge(name, help, static_cast<double>(value));
  };
  count("sockets_open", "open sockets of all kinds but listeners", users.loop.openSockets());
  count("entry_connections", "open connections of callers", users.callers.connections());
  count("entry_connections_max", "bound of connections of callers", users.shares.callers);
  count("entry_accepting", "1 while connections of callers are taken", users.callers.accepting() ? 1 : 0);
  page->counter("entry_connections_closed_for_room_total", "idle connections of callers closed for new ones",
                users.callers.counters().idleConnectionsEvicted);
  page->counter("entry_connections_held_total", "times that callers began to wait at the bound of connections",
                users.callers.counters().acceptPauses);
  page->counter("entry_no_descriptor_total", "tries to accept a caller that found no descriptor",
                users.callers.descriptorShortages());
  count("node_connections_accepted", "open connections that other nodes opened", users.nodes.accepted());
  count("node_connections_accepted_max", "bound of connections that other nodes open", users.shares.accepted);
  page->counter("node_connections_refused_total", "connections of other nodes refused at the bound",
                users.nodes.counters().refused);
  count("node_connections_opened", "connections to other nodes, open or being opened", users.nodes.opened());
  count("entry_links_max", "bound of links to endpoints", users.shares.links);
  page->counter("entry_links_left_out_total", "endpoints left without a link at the bound", users.entry.skippedLinks());
  count("backend_connections", "connections to the back end, open or being opened", users.backend.connections());
  count("backend_connections_max", "bound of connections to the back end", users.backend.maxConnections());
  count("backend_requests_waiting", "requests that wait for a connection to the back end", users.backend.queued());
}

/// Owns and connects all components of a node.
class NodeDaemon : private lifecycle::stop_target {
 public:
  explicit NodeDaemon(const ReportPagesFactory& makeReportPages);

  /// Opens all listeners; on failure prints an error line and exits with status 2.
  void listenOrExit();

  void run();

 private:
  bool hasBackend() const { return !FLAGS_service.empty(); }
  base::Address backendAddress() const;
  size_t backendConnections(int connections) const;
  void onActivation(const routing::RoutingTablePtr& table);
  void onEndpointStates(const std::vector<wire::EndpointState>& states);
  bool isOfService(const std::string& incarnation) const;
  void onDrainRequest(const transport::HttpRequest& request,
                      const std::function<void(transport::HttpResponse)>& respond);
  void onTerminate();
  void onReload();
  void onStall(base::Duration stallTime);
  void prepareEnd(base::TimePoint answeredBy) override { entry_.prepareEnd(answeredBy); }
  void refuseNew() override { entry_.refuseNew(); }
  void refuseWaiting() override { entry_.refuseWaiting(); }
  void answerPending() override { entry_.answerPending(); }
  void stopReadingRequests() override { entryServer_.server().stopReadingRequests(); }
  bool idle() const override;
  size_t unsentBytes() const override { return entryServer_.server().unsentBytes() + callFrames_.unsentBytes(); }
  void end() override { loop_.stop(); }
  void onBackendLeaving(const std::string& endpoint);
  void onBackendCrash(uint64_t crash, const std::vector<quarantine::crashed_run>& runs);
  void queryColdState();
  void queryBackend(base::Duration timeout, node::LocalBackend::IdentityCallback done);
  DaemonPages pages();

  transport::EventLoop loop_;
  base::Logger log_{"node"};
  const descriptors::descriptor_shares shares_ = descriptorSharesFromSettings();
  base::RandomSource random_{processSeed()};
  transport::FrameTransport controlFrames_{loop_, "control"};
  transport::FrameTransport callFrames_{loop_, "calls"};
  memory::body_budget bodyBudget_{bodyBudgetFromSettings()};
  node::BodyExchange bodyExchange_;
  node::EntryCalls entry_{entryOptionsFromSettings(), loop_, base::RandomSource(random_.bits()), callFrames_};
  HttpBackend backend_;
  ledger::LedgerClient ledgerClient_;
  node::EndpointCalls endpoint_;
  CallHandler callHandler_{entry_, endpoint_};
  node::ControlClient control_;
  node::VersionReporter versionReporter_;
  EndpointHealth health_;
  node::LocalBackend localBackend_;
  quarantine::request_quarantine quarantine_{loop_};
  quota::quota_queue quotas_;
  TcpPresenceCheck presenceCheck_;
  quarantine::crash_detector crashWatch_;
  EntryServer entryServer_;
  AdminServer admin_;
  bool endpointStatesAwaited_ = false;
  bool endpointStatesReceived_ = false;  // whether the relay has sent the endpoints that have been announced
  PageHandler reportPages_;              // empty if the back end does not report its state
  std::unique_ptr<PageServer> reportServer_;
  std::unique_ptr<transport::HttpClientPool> identityPool_;  // created by the first identity query
  std::unique_ptr<storage::PosixDisk> disk_;
  lifecycle::planned_stop stop_{stopTimesFromSettings(), loop_, *this};
};

base::Address NodeDaemon::backendAddress() const {
  return hasBackend() ? parseAddressOrExit("backend", FLAGS_backend) : base::Address{FLAGS_listen_host, 1};
}

NodeDaemon::NodeDaemon(const ReportPagesFactory& makeReportPages)
    : backend_(loop_, backendAddress(), backendConnections(FLAGS_backend_connections),
               {FLAGS_deadline_header, FLAGS_correlation_header, FLAGS_incarnation_header}, &bodyBudget_),
      ledgerClient_(loop_, base::RandomSource(random_.bits()), FLAGS_name,
                    [this](const wire::Message& message) { return control_.send(message); }),
      endpoint_(endpointOptionsFromSettings(), loop_, callFrames_, backend_, FLAGS_ledger ? &ledgerClient_ : nullptr),
      control_(
          controlOptionsFromSettings(), loop_, base::RandomSource(random_.bits()), controlFrames_,
          [this](const routing::RoutingTablePtr& table) { onActivation(table); },
          [this](const std::vector<wire::EndpointState>& states) { onEndpointStates(states); }),
      versionReporter_(FLAGS_service, loop_, base::RandomSource(random_.bits()), endpoint_,
                       [this](const wire::Message& message) { return control_.sendVersions(message); }),
      health_(loop_, control_, endpoint_, backendAddress()),
      localBackend_(endpointStateFromSettings(), loop_, endpoint_,
                    [this](const wire::EndpointState& state) { control_.announce(state); }),
      quotas_(loop_, kQuotaQueueOptions,
              [this](const wire::QuotaAsk& question) { return control_.requestPermits(question); }),
      presenceCheck_(loop_, backendAddress()),
      crashWatch_(loop_, base::RandomSource(random_.bits()), presenceCheck_,
                  [this](uint64_t crash, const auto& runs) { onBackendCrash(crash, runs); }),
      entryServer_(loop_, entry_, entryHeadersFromSettings(), shares_.callers, &bodyBudget_),
      admin_(loop_, pages()) {
  loop_.onSignals({[this] { onTerminate(); }, [this] { onReload(); }});
  controlFrames_.setEmulatedZoneDelay(base::microseconds(FLAGS_emulated_zone_delay_us));
  callFrames_.setEmulatedZoneDelay(base::microseconds(FLAGS_emulated_zone_delay_us));
  if (FLAGS_compress) callFrames_.enableCrossZoneCompression();
  callFrames_.setMaxAcceptedConnections(shares_.accepted);
  callFrames_.setHandler(&callHandler_);
  controlFrames_.setHandler(&control_);
  wire::Hello hello;
  hello.role = wire::Role::NODE;
  hello.id = FLAGS_name;
  hello.zone = FLAGS_zone;
  hello.serviceName = FLAGS_service;
  hello.takesBodyPieces = true;
  hello.acknowledgesCalls = true;
  hello.takesAnswerPieces = true;
  callFrames_.setHello(hello);
  control_.onLedgerReply([this](const wire::LedgerReply& reply) { ledgerClient_.onReply(reply); });
  entry_.useBodyBudget(&bodyBudget_);
  entry_.useBodyExchange(&bodyExchange_);
  endpoint_.useBodyBudget(&bodyBudget_);
  endpoint_.useBodyExchange(&bodyExchange_);
  entry_.useQuotas(&quotas_);
  control_.useQuotas(&quotas_);
  if (FLAGS_quarantine) {
    entry_.useQuarantine(&quarantine_);
    endpoint_.useQuarantine(&quarantine_, &crashWatch_);
    control_.useQuarantine(&quarantine_);
  }
  quarantine_.onChange([this] { endpoint_.onQuarantineChange(); });
  endpoint_.onWrongIncarnation([this](const std::string& endpoint) { localBackend_.onWrongEndpoint(endpoint); });
  entry_.onNestedCalls(
      [this] { endpoint_.onNestedBegan(); },
      [this](overload::nested_outcome outcome, base::Duration latency) { endpoint_.onNestedEnded(outcome, latency); });
  endpoint_.onBackendContact([this](bool reached) { localBackend_.onContact(reached); });
  endpoint_.onBackendLeaving([this](const std::string& endpoint) { onBackendLeaving(endpoint); });
  endpoint_.onRunEnded([this](const node::BackendRunResult& run) { versionReporter_.onRun(run); });
  endpoint_.onColdCheckNeeded([this] { queryColdState(); });
  localBackend_.onBackend([this](const std::string& endpoint, const node::BackendReport& report) {
    endpoint_.onColdReport(base::milliseconds(report.coldMs), false);
    versionReporter_.useBackend(endpoint, report.version, report.slots, report.coldMs);
  });
  entry_.setFreshnessCheck([this] { return control_.fresh(); });
  if (makeReportPages) reportPages_ = makeReportPages(localBackend_);
  if (!FLAGS_identity_header.empty()) {
    localBackend_.setIdentityCheck(
        [this](node::LocalBackend::IdentityCallback done) { queryBackend(kIdentityTimeout, std::move(done)); },
        !FLAGS_first_start);
    localBackend_.setServiceCheck([this](const std::string& incarnation) { return isOfService(incarnation); });
  }
}

DaemonPages NodeDaemon::pages() {
  DaemonPages pages;
  // A node that lost its relays serves its last table. A node at its connection limit can't serve new callers.
  pages.ready = [this] { return control_.slices().active() != nullptr && entryServer_.server().accepting(); };
  pages.metrics = [this](base::MetricsPage* page) {
    addMetrics(control_, entry_, endpoint_, controlFrames_, page);
    addQuarantineMetrics(quarantine_, page);
    page->counter("backend_reports_refused_total", "reports of the back end that could not be read",
                  localBackend_.unreadableReports());
    page->gauge("quota_waiting", "calls that wait for a permit", static_cast<double>(quotas_.waiting()));
    page->counter("quota_invalid_decisions_total", "decisions on permits with negative numbers",
                  quotas_.invalidDecisions());
    addBodyMetrics(bodyBudget_, entry_, endpoint_, entryServer_.server(), backend_.pool(), page);
    addMalformedMetrics(entryServer_.server(), backend_.pool(), entry_, page);
    addLoopMetrics(loop_, page);
    addDescriptorMetrics({loop_, entryServer_.server(), callFrames_, entry_, backend_.pool(), shares_}, page);
  };
  pages.other = [this](const transport::HttpRequest& request, const auto& respond) {
    if (isQuarantinePage(request.path)) return respond(answerQuarantinePage(request, &quarantine_));
    onDrainRequest(request, respond);
  };
  return pages;
}

/// @return whether a back end has been announced for this node's service, or no other one has been announced at this
/// node's address, as after the relays have lost what was announced
bool NodeDaemon::isOfService(const std::string& incarnation) const {
  if (entry_.isAnnounced(FLAGS_service, incarnation)) return true;
  return endpointStatesReceived_ && !entry_.isAnnouncedAt(frameAddressFromSettings());
}

void NodeDaemon::onEndpointStates(const std::vector<wire::EndpointState>& states) {
  entry_.onEndpointStates(states);
  localBackend_.onEndpointStates();
}

void NodeDaemon::onActivation(const routing::RoutingTablePtr& table) {
  if (!endpointStatesAwaited_) {
    // The relay sends the endpoints that have been announced together with the first version.
    constexpr base::Duration kEndpointStatesDelay = base::milliseconds(50);
    endpointStatesAwaited_ = true;
    loop_.schedule(kEndpointStatesDelay, [this] {
      endpointStatesReceived_ = true;
      localBackend_.onEndpointStates();
    });
  }
  entry_.useTable(table);
  endpoint_.useTable(*table);
  versionReporter_.useTable(*table);
  entryServer_.useTable(*table);
  const int connections = table->maxConnections(FLAGS_service);
  backend_.setMaxConnections(backendConnections(connections > 0 ? connections : FLAGS_backend_connections));
}

size_t NodeDaemon::backendConnections(int connections) const {
  const auto wanted = static_cast<size_t>(connections);
  if (wanted > shares_.backend) {
    log_.info("connections to the back end limited to {} of {} by the descriptor limit", shares_.backend, wanted);
  }
  return std::min(wanted, shares_.backend);
}

void NodeDaemon::onDrainRequest(const transport::HttpRequest& request,
                                const std::function<void(transport::HttpResponse)>& respond) {
  if (request.path != "/drain" || request.method == "GET") {
    return respond(transport::jsonResponse(404, "{\"error\":\"row_not_found\",\"message\":\"no such path\"}\n"));
  }
  health_.setDrainRequested(request.method == "POST");
  respond(transport::jsonResponse(
      200, "{\"result\":\"" + std::string(endpoint_.draining() ? "draining" : "live") + "\"}\n"));
}

void NodeDaemon::listenOrExit() {
  const auto http = listenAddressOrExit("http_listen", FLAGS_http_listen, FLAGS_listen_host, FLAGS_http_port);
  admin_.listenOrExit(http.host, http.port);
  const auto frames = frameAddressFromSettings();
  if (frames.port > 0) {
    if (const auto status = callFrames_.listen(frames.host, frames.port); !status.ok()) exitWithError(status);
  }
  const auto entry = listenAddressOrExit("entry_listen", FLAGS_entry_listen, FLAGS_listen_host, FLAGS_entry_port);
  if (entry.port > 0) {
    if (const auto status = entryServer_.server().listen(entry.host, entry.port); !status.ok()) exitWithError(status);
  }
  if (!reportPages_ || FLAGS_report_listen.empty()) return;
  const auto report = parseAddressOrExit("report_listen", FLAGS_report_listen);
  reportServer_ = std::make_unique<PageServer>(loop_, "report", reportPages_);
  reportServer_->listenOrExit(report.host, report.port);
}

void NodeDaemon::run() {
  if (!FLAGS_data_folder.empty()) {
    disk_ = std::make_unique<storage::PosixDisk>(FLAGS_data_folder, loop_);
    if (const auto status = disk_->createFolder(); !status.ok()) exitWithError(status);
  }
  control_.start(disk_.get());
  if (hasBackend() && !reportServer_) health_.start();
  if (reportServer_ && !FLAGS_identity_header.empty()) {
    // A back end that starts together with its node sends its first report soon; one that was already running may take
    // longer and is queried instead.
    constexpr base::Duration kFirstReportDelay = base::milliseconds(30);
    loop_.schedule(kFirstReportDelay, [this] { localBackend_.identify(); });
  }
  if (!FLAGS_first_start) endpoint_.markPossiblyCold();
  loop_.onStall([this](base::Duration stallTime) { onStall(stallTime); });
  log_.info("{} started in zone {}", FLAGS_name, FLAGS_zone);
  loop_.run();
  log_.info("{} exits with {} calls of callers and {} of nodes unfinished", FLAGS_name, entry_.active(),
            endpoint_.active());
}

void NodeDaemon::onBackendCrash(uint64_t crash, const std::vector<quarantine::crashed_run>& runs) {
  const auto& endpoint = localBackend_.incarnation().empty() ? FLAGS_name : localBackend_.incarnation();
  log_.warn("{} has crashed, crash {:016x}, {} requests in flight", endpoint, crash, runs.size());
  quarantine_.onCrash(crash, FLAGS_service, endpoint, runs);
  localBackend_.onCrash();
}

void NodeDaemon::onBackendLeaving(const std::string& endpoint) {
  if (reportPages_) return localBackend_.onLeaving(endpoint);
  health_.onLeaving();
}

void NodeDaemon::queryColdState() {
  if (FLAGS_cold_header.empty()) return;
  queryBackend(kColdStateTimeout, [this](const node::BackendIdentity& identity) {
    log_.info("cold state of {}: well={} cold_ms={}", identity.incarnation, identity.healthy,
              identity.coldMs.value_or(-1));
    if (identity.coldMs) endpoint_.onColdReport(base::milliseconds(*identity.coldMs), true);
  });
}

/// Queries identity and cold state of the back end.
/// @param timeout after which the result is empty
void NodeDaemon::queryBackend(base::Duration timeout, node::LocalBackend::IdentityCallback done) {
  if (!identityPool_) {
    transport::HttpPoolOptions options;
    options.maxConnections = 2;  // one query at startup and one about a report
    // Connections are not reused: an idle one may lead to a process that has exited or hangs.
    options.maxIdle = base::Duration(0);
    options.idleMargin = base::seconds(24 * 60 * 60);
    options.maxBodyBytes = kMaxIdentityBytes;
    identityPool_ = std::make_unique<transport::HttpClientPool>(loop_, "identity", backendAddress(), options);
  }
  transport::HttpRequest request;
  request.method = "GET";
  request.path = FLAGS_identity_path;
  const auto sentAt = loop_.now();
  identityPool_->send(request, timeout, [this, sentAt, done = std::move(done)](const transport::HttpResult& result) {
    const auto& headers = result.response.headers;
    // A refusal for lack of a free slot does not show whether the back end is healthy.
    const bool refused = !FLAGS_not_run_header.empty() && !transport::findHeader(headers, FLAGS_not_run_header).empty();
    const auto notice = backpressure::readNotice(headers, noticeHeadersFromSettings());
    node::BackendIdentity identity;
    if (result.outcome == transport::HttpOutcome::kCompleted) {
      identity.incarnation = std::string(transport::findHeader(headers, FLAGS_identity_header));
      identity.healthy = kOkStatus == result.response.status && !notice.leaving;
      identity.unavailable = notice.leaving || (!identity.healthy && !refused);
      identity.coldMs = remainingColdMs(headers, identity.healthy);
    }
    done(identity);
    const bool current = !identity.incarnation.empty() && identity.incarnation == localBackend_.incarnation();
    if (!current) return;
    endpoint_.onHealthNotice(notice);
    endpoint_.onHealthLoad(headers, sentAt);
  });
}

void NodeDaemon::onReload() {
  const auto seeds = base::reloadSetting("seeds");
  log_.info("{} reloads its settings, seeds {}", FLAGS_name, seeds.value_or("unchanged"));
  if (seeds && !seeds->empty()) control_.useSeeds(hostsAtPort(*seeds, FLAGS_seed_relay_port));
}

void NodeDaemon::onStall(base::Duration stallTime) {
  log_.warn("{} was suspended for {} ms", FLAGS_name, base::millisecondsOf(stallTime));
  control_.onResumed();
  endpoint_.setStale(true);
  loop_.schedule(base::Duration(0), [this] { endpoint_.setStale(false); });  // after the socket reads of this iteration
}

void NodeDaemon::onTerminate() {
  log_.info("{} stops, {} calls in progress", FLAGS_name, entry_.active() + endpoint_.active());
  admin_.setStopping();
  entryServer_.server().setDraining();
  if (reportServer_) {
    localBackend_.setStopping();
  } else if (hasBackend()) {
    health_.setDrainRequested(true);
  }
  stop_.begin();
}

bool NodeDaemon::idle() const {
  return entry_.active() == 0 && endpoint_.active() == 0 && entryServer_.server().pending() == 0;
}

}  // namespace

int runNode(int argc, char** argv, const ReportPagesFactory& makeReportPages) {
  declareNodeSettings();
  base::loadSettingsOrExit(argc, argv, "driftlug-node: carries calls between callers and back ends", false);
  configureLogsFromSettings(base::LogTarget::kOutput);
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
  NodeDaemon daemon(makeReportPages);
  daemon.listenOrExit();
  daemon.run();
  return 0;
}

}  // namespace driftlug::apps
