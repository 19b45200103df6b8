#include "node_settings.h"

#include <gflags/gflags.h>

#include <algorithm>

#include "base/error.h"
#include "base/settings.h"
#include "daemon.h"

DEFINE_string(name, "", "name of this node; with a local back end also the name of its endpoint row");
DEFINE_string(zone, "", "zone that this process runs in");
DEFINE_string(listen_host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(frame_port, 0, "port for calls of other nodes; 0 on a node without a back end");
DEFINE_string(frame_listen, "", "host:port for calls of other nodes, instead of listen_host and frame_port");
DEFINE_int32(entry_port, 0, "port for HTTP calls of callers; 0 for none");
DEFINE_string(entry_listen, "", "host:port for HTTP calls of callers, instead of listen_host and entry_port");
DEFINE_int32(http_port, 0, "port for health, metrics and drain");
DEFINE_string(http_listen, "", "host:port for health, metrics and drain, instead of listen_host and http_port");
DEFINE_string(report_listen, "", "host:port on which the local back end reports its state");
DEFINE_string(relays, "", "relays of the zone's release group as host:port, nearest first");
DEFINE_string(seeds, "", "hosts of controllers to discover relays through, instead of relays; ports are ignored");
DEFINE_int32(seed_relay_port, 0, "port of the relays embedded in the seed controllers");
DEFINE_string(hosts, "", "hosts that this node accepts calls for, separated by commas; * for all");
DEFINE_string(service, "", "service of the local back end; empty for none");
DEFINE_string(backend, "", "address of the back end as host:port");
DEFINE_int32(backend_connections, 130, "maximum number of connections to the back end, if the table sets none");
DEFINE_int32(backend_slots, 20, "maximum number of concurrent requests to the back end, if the table sets no limit");
DEFINE_int32(backend_queue, 64, "maximum number of queued requests, if the table sets no limit");
DEFINE_double(link_mbps, 0, "bandwidth of this machine's link in Mbit/s; 0 if unknown");
DEFINE_int32(memory_mb, 0, "memory of this machine in MiB; 0 if unknown");
DEFINE_int32(body_memory_mb, 0,
             "maximum memory for the bodies of requests and responses in MiB; 0 for one of the maximum size and some "
             "small ones, or more if memory_mb allows it");
DEFINE_int32(max_descriptors, 0, "maximum number of open descriptors; 0 for the limit of the system");
DEFINE_string(data_folder, "", "folder for the last table version; empty on a machine without a disk");
DEFINE_int32(stop_linger_ms, 300,
             "time for which a planned stop still accepts calls while it is announced to other nodes");
DEFINE_int32(stop_timeout_ms, 10000, "maximum time that a planned stop waits for calls in progress");
DEFINE_double(stop_grace_s, 0,
              "time in seconds after which a stopping process is killed, if that is shorter than stop_timeout_ms; "
              "0 for never");
DEFINE_bool(first_start, false,
            "whether the back end starts together with this process, so that its identity need not be queried");
DEFINE_bool(ledger, true, "claim non-repeatable requests in the ledger before they run");
DEFINE_int32(health_interval_ms, 250, "interval of health checks of the back end; 0 for none");
DEFINE_int32(emulated_zone_delay_us, 0, "delay of frames to other zones; for tests only");
DEFINE_string(deadline_header, "x-deadline-ms", "header with the time in milliseconds for which a caller waits");
DEFINE_string(caller_header, "", "header set to the local service of the node where a call began; empty for none");
DEFINE_string(credential_header, "", "header with the key of a tenant; empty for none");
DEFINE_string(tenant_header, "", "header with the tenant's name, sent to back ends; empty for none");
DEFINE_string(correlation_header, "", "header with the request id, which back ends echo; empty for none");
DEFINE_string(incarnation_header, "", "header with the back-end incarnation that a call is addressed to");
DEFINE_string(identity_header, "", "response header in which the back end states its incarnation");
DEFINE_string(cold_header, "", "response header with the remaining cold-start time of the back end in milliseconds");
DEFINE_string(rate_limit_header, "",
              "response header with the requests per second that the back end accepts; several names are separated by "
              "commas, empty if it sends none");
DEFINE_string(leaving_header, "",
              "response header that is 1 while the back end is shutting down; several names are separated by commas, "
              "empty if it sends none");
DEFINE_string(load_header, "",
              "response header in which the back end reports its load as running,waiting,slots or "
              "running,waiting,slots,pace; empty if it sends none");
DEFINE_double(cold_overage, 1, "request rate sent to a cold back end, as a multiple of its rate in the table");
DEFINE_string(identity_path, "/healthz", "path at which the back end is queried for its incarnation");
DEFINE_string(not_run_header, "x-shed", "response header that marks a request as not run by the back end");
DEFINE_bool(fractional_retry_after, false, "Retry-After in fractions of a second");
DEFINE_bool(prefer_zone, false, "prefer endpoints in the node's own zone while they have free slots");
DEFINE_int32(retry_attempts, 1, "attempts of a call, if neither route nor service sets them");
DEFINE_int32(retry_budget_percent, 0, "maximum retries as a percentage of calls, if the service has no retry policy");
DEFINE_int32(retry_burst, 10, "retries to one service that may be made at once");
DEFINE_double(
    retry_slack, 0,
    "retries to one service that all nodes together may make beyond retry_budget_percent, divided equally among "
    "them; 0 for retry_burst on each node");
DEFINE_int32(stale_after_ms, 4000, "time without contact to a controller quorum after which another relay is tried");
DEFINE_int32(late_percent, 200,
             "percent of its target latency after which a repeatable call without an answer is sent to a second, idle "
             "endpoint even if hedging is disabled, since a connection to the back end may have failed; 0 for never");
DEFINE_int32(hedge_percent, 0,
             "percent of its target latency after which a repeatable call is sent to a second, idle endpoint");
DEFINE_bool(compress, false, "compress calls to nodes of other zones");
DEFINE_bool(wait_within_target, false,
            "refuse calls that would miss their route's target latency by waiting for a slot");
DEFINE_int32(zone_penalty_percent, 50, "with prefer_zone: utilization added to endpoints in other zones, in percent");
DEFINE_int32(slowness_penalty_percent, 20,
             "with prefer_zone: utilization added per multiple of the fastest endpoint's latency, in percent");
DEFINE_int32(
    body_kib_per_zone_penalty, 0,
    "with prefer_zone: KiB of a call's body that add zone_penalty_percent once more to endpoints in other zones; "
    "0 to ignore the body size");
DEFINE_bool(quarantine, true, "identify requests that crash back ends and quarantine them");
DEFINE_bool(nested_first, true,
            "give nested calls, made by back ends on behalf of other calls, priority over all others");
DEFINE_bool(in_time_first, true,
            "give calls that can still meet their target latency priority over calls that have missed it");
DEFINE_int32(overload_retry_after_ms, 200, "minimum Retry-After for callers refused for lack of slots");
DEFINE_int32(full_for_ms, 0, "time for which an endpoint that refused a call for lack of slots gets no calls");

namespace driftlug::apps {
namespace {

/// @return the time limit of a planned stop.
base::Duration stopTimeoutFromSettings() {
  /// Time from the last answer to process exit with a busy tenth of a core: one scheduling delay, and the time to close
  /// connections.
  constexpr base::Duration kExitMargin = base::milliseconds(500);
  const base::Duration timeout = base::milliseconds(FLAGS_stop_timeout_ms);
  if (FLAGS_stop_grace_s <= 0) return timeout;
  const auto grace = std::chrono::duration<double>(FLAGS_stop_grace_s);
  const auto untilKilled = std::chrono::duration_cast<base::Duration>(grace) - kExitMargin;
  return std::clamp(untilKilled, base::Duration(0), timeout);
}

int64_t linkBytesPerSecondFromSettings() {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  return static_cast<int64_t>(FLAGS_link_mbps * kBytesPerMegabit);
}

/// Waiting for a grant costs a round trip of a few milliseconds, so a body whose transfer takes less is sent with its
/// call. A larger body waits for the grant: if the back end refused the call, sending the body would have delayed all
/// other traffic on the link needlessly. All links are assumed to have the same bandwidth.
size_t inlineBodyBytesFromSettings() {
  constexpr int64_t kMaxInlineBytes = 4096;
  constexpr double kMaxTransferSeconds = 0.004;
  const auto link = linkBytesPerSecondFromSettings();
  if (link == 0) return kMaxInlineBytes;
  return static_cast<size_t>(
      std::min(kMaxInlineBytes, static_cast<int64_t>(kMaxTransferSeconds * static_cast<double>(link))));
}

/// On slow links, the endpoint on this node is preferred: in a loaded fleet, four in ten requests can run on the node
/// that receives them. With 42,000 requests on 1 Mbit/s links this raises the share served in time by 0.03 (mean of six
/// days under load, one run each). On 1 Gbit/s links it only degrades the choice of endpoints: the share is 0.01 lower
/// on two fleets.
double colocationBonusFromSettings() {
  constexpr double kNarrowLinkMbps = 20;
  constexpr double kNarrowLinkBonus = 0.4;
  return FLAGS_link_mbps > 0 && FLAGS_link_mbps < kNarrowLinkMbps ? kNarrowLinkBonus : 0;
}

}  // namespace

node::ControlOptions controlOptionsFromSettings() {
  node::ControlOptions options;
  options.nodeId = FLAGS_name;
  options.zone = FLAGS_zone;
  options.relays = parseAddressesOrExit("relays", FLAGS_relays);
  if (!FLAGS_seeds.empty()) {
    options.relays = hostsAtPort(FLAGS_seeds, FLAGS_seed_relay_port);
    options.nearRelays = options.relays.size();
  }
  if (options.relays.empty()) {
    exitWithError(base::makeError(base::ErrorCode::kBadSetting, "relays: relays or seeds must be set"));
  }
  options.staleAfter = base::milliseconds(FLAGS_stale_after_ms);
  options.hosts = base::splitList(FLAGS_hosts);
  if (!FLAGS_service.empty()) options.services.push_back(FLAGS_service);
  return options;
}

backpressure::notice_headers noticeHeadersFromSettings() {
  return {base::splitList(FLAGS_rate_limit_header), base::splitList(FLAGS_leaving_header)};
}

node::EntryOptions entryOptionsFromSettings() {
  node::EntryOptions options;
  options.nodeId = FLAGS_name;
  options.zone = FLAGS_zone;
  options.defaultRetry = {FLAGS_retry_attempts, FLAGS_retry_budget_percent};
  options.retryBurst = FLAGS_retry_burst;
  options.retrySlack = FLAGS_retry_slack;
  options.links.maxLinks = descriptorSharesFromSettings().links;
  options.generateIdempotencyKeys = FLAGS_ledger;
  options.requestIdHeader = FLAGS_correlation_header;
  options.notices = noticeHeadersFromSettings();
  options.tenantHeader = FLAGS_tenant_header;
  options.hedgeAfterShare = FLAGS_hedge_percent / 100.0;
  options.fallbackHedgeAfterShare = FLAGS_late_percent / 100.0;
  options.deprioritizeLateCalls = FLAGS_in_time_first;
  options.inlineBodyBytes = inlineBodyBytesFromSettings();
  options.fullFor = base::milliseconds(FLAGS_full_for_ms);
  options.overloadRetryAfter = base::milliseconds(FLAGS_overload_retry_after_ms);
  if (FLAGS_prefer_zone) options.picker.policy = routing::PickPolicy::kNearestIdle;
  options.picker.colocationBonus = colocationBonusFromSettings();
  options.picker.crossZonePenalty = FLAGS_zone_penalty_percent / 100.0;
  options.picker.slownessPenalty = FLAGS_slowness_penalty_percent / 100.0;
  options.picker.bodyBytesPerZonePenalty = static_cast<size_t>(FLAGS_body_kib_per_zone_penalty) << 10;
  return options;
}

node::EndpointOptions endpointOptionsFromSettings() {
  node::EndpointOptions options;
  options.service = FLAGS_service;
  options.nodeId = FLAGS_name;
  options.zone = FLAGS_zone;
  options.coldOverage = FLAGS_cold_overage;
  options.defaultSlots = FLAGS_backend_slots;
  options.defaultQueue = FLAGS_backend_queue;
  options.notRunHeader = FLAGS_not_run_header;
  options.dynamicEndpoint = !FLAGS_report_listen.empty();
  options.waitWithinTarget = FLAGS_wait_within_target;
  options.nestedFirst = FLAGS_nested_first;
  options.requestIdHeader = FLAGS_correlation_header;
  options.overloadRetryAfter = base::milliseconds(FLAGS_overload_retry_after_ms);
  options.loadHeader = FLAGS_load_header;
  options.bodies.linkBytesPerSecond = linkBytesPerSecondFromSettings();
  options.notices = noticeHeadersFromSettings();
  return options;
}

EntryHeaders entryHeadersFromSettings() {
  EntryHeaders headers;
  headers.deadline = FLAGS_deadline_header;
  headers.caller = FLAGS_caller_header;
  headers.callerService = FLAGS_service;
  headers.credential = FLAGS_credential_header;
  for (const auto* reserved : {&FLAGS_incarnation_header, &FLAGS_credential_header, &FLAGS_tenant_header}) {
    if (!reserved->empty()) headers.reserved.push_back(*reserved);
  }
  headers.fractionalRetryAfter = FLAGS_fractional_retry_after;
  return headers;
}

void declareNodeSettings() {
  base::declareRequired("name");
  base::declareRequired("zone");
  for (const char* port : {"frame_port", "entry_port", "http_port", "seed_relay_port"}) {
    base::declareRange(port, 0, 65535);
  }
  base::declareRange("backend_connections", 1, 10'000);
  base::declareRange("backend_slots", 1, 100'000);
  base::declareRange("memory_mb", 0, 1'000'000);
  base::declareRange("body_memory_mb", 0, 1'000'000);
  base::declareRange("max_descriptors", 0, 100'000'000);
  base::declareRange("link_mbps", 0, 1'000'000);
  base::declareRange("backend_queue", 0, 100'000);
  base::declareRange("stop_linger_ms", 0, 600'000);
  base::declareRange("stop_timeout_ms", 0, 600'000);
  base::declareRange("stop_grace_s", 0, 600);
  base::declareRange("health_interval_ms", 0, 60'000);
  base::declareRange("emulated_zone_delay_us", 0, 10'000'000);
  base::declareRange("stale_after_ms", 100, 600'000);
  base::declareRange("overload_retry_after_ms", 1, 600'000);
  base::declareRange("hedge_percent", 0, 1000);
  base::declareRange("late_percent", 0, 10'000);
  base::declareRange("full_for_ms", 0, 600'000);
  base::declareRange("retry_attempts", 1, 10);
  base::declareRange("retry_budget_percent", 0, 100);
  base::declareRange("retry_burst", 0, 1000);
  base::declareRange("cold_overage", 1, 100);
  base::declareRange("retry_slack", 0, 1e9);
}

lifecycle::stop_times stopTimesFromSettings() {
  return {base::milliseconds(FLAGS_stop_linger_ms), stopTimeoutFromSettings()};
}

memory::body_budget_options bodyBudgetFromSettings() {
  /// Share of a machine's memory that bodies may take; the rest is for the table, connections and allocation overhead.
  constexpr double kBodyShare = 0.7;
  /// Maximum share of the reserve for small bodies in a small budget.
  constexpr int64_t kReserveDivisor = 4;
  const auto fromMebibytes = [](double mebibytes) { return static_cast<int64_t>(mebibytes * 1024 * 1024); };
  memory::body_budget_options options;
  if (FLAGS_body_memory_mb > 0) {
    options.totalBytes = fromMebibytes(FLAGS_body_memory_mb);
  } else {
    options.totalBytes = std::max(options.totalBytes, fromMebibytes(kBodyShare * FLAGS_memory_mb));
  }
  options.smallReserveBytes = std::min(options.smallReserveBytes, options.totalBytes / kReserveDivisor);
  return options;
}

descriptors::descriptor_shares descriptorSharesFromSettings() {
  const auto limit =
      FLAGS_max_descriptors > 0 ? static_cast<size_t>(FLAGS_max_descriptors) : descriptors::processLimit();
  return descriptors::shareDescriptors(limit);
}

base::Address frameAddressFromSettings() {
  return listenAddressOrExit("frame_listen", FLAGS_frame_listen, FLAGS_listen_host, FLAGS_frame_port);
}

wire::EndpointState endpointStateFromSettings() {
  const auto frames = frameAddressFromSettings();
  wire::EndpointState state;
  state.serviceName = FLAGS_service;
  state.address = frames.host;
  state.port = frames.port;
  state.zone = FLAGS_zone;
  return state;
}

}  // namespace driftlug::apps
