#include "controller_daemon.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <memory>

#include "base/settings.h"
#include "controller/http_api.h"
#include "relay/relay.h"
#include "storage/posix_disk.h"
#include "transport/frame_transport.h"
#include "wire/frame.h"

DEFINE_string(name, "", "name of this controller; must be one of --controllers, or one added later");
DEFINE_string(zone, "", "zone that this process runs in");
DEFINE_string(listen_host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(frame_port, 0, "port for relays and other controllers");
DEFINE_int32(http_port, 0, "port for operators, health and metrics");
DEFINE_string(http_listen, "", "host:port for operators, health and metrics, instead of listen_host and http_port");
DEFINE_int32(relay_port, 0, "port of the embedded relay, which serves nodes of all zones; 0 for none");
DEFINE_string(controllers, "", "initial controllers as name@host:frame_port:http_port, separated by commas");
DEFINE_string(
    seeds, "",
    "hosts of controllers to discover the others through, instead of controllers; all listen on the same ports as this "
    "one, and ports in the list are ignored");
DEFINE_bool(first_start, false, "whether the seeds may bootstrap the cluster, since all of them are new");
DEFINE_int32(fault_tolerance, 1,
             "number n of controllers that may fail at the same time; with seeds, there are at least 2n + 1 voters");
DEFINE_string(data_folder, "", "folder for the log and snapshots");
DEFINE_int32(heartbeat_ms, 50, "interval of heartbeats between controllers");
DEFINE_int32(election_timeout_ms, 300, "minimum time without a leader before an election");
DEFINE_int32(relay_heartbeat_ms, 1000, "interval of heartbeats to relays, and of the embedded relay to nodes");
DEFINE_int32(replace_after_ms, 8000,
             "with seeds: time without contact after which a voter is replaced by another controller");
DEFINE_int32(snapshot_entries, 4096, "log entries between snapshots");
DEFINE_int32(emulated_zone_delay_us, 0, "delay of frames to other zones; for tests only");
DEFINE_double(
    exposure_share, 0.1,
    "maximum share of a service's requests during the time limit of a rollout that a new version receives before "
    "it is known to be healthy");
DEFINE_bool(full_push, false, "send the whole table with each update; for experiments only");
DEFINE_bool(inspect_data, false, "print and verify the data folder, then exit");

namespace driftlug::apps {
namespace {

controller::ControllerAddress parseControllerOrExit(const std::string& text) {
  const auto at = text.find('@');
  const auto lastColon = text.rfind(':');
  if (at == std::string::npos || lastColon == std::string::npos || lastColon < at) {
    exitWithError(base::makeError(base::ErrorCode::kBadSetting,
                                  "controllers: '" + text + "' is not name@host:frame_port:http_port"));
  }
  controller::ControllerAddress address;
  address.name = text.substr(0, at);
  address.frames = parseAddressOrExit("controllers", text.substr(at + 1, lastColon - at - 1));
  address.httpPort = parseAddressOrExit("controllers", "http" + text.substr(lastColon)).port;
  return address;
}

int inspectData(storage::Disk& disk) {
  storage::LogStore store(disk);
  const auto state = store.inspect();
  if (!state.ok()) exitWithError(state.status());
  std::printf("identity %s, term %lld, voted for '%s'\n", state->hardState.identity.c_str(),
              static_cast<long long>(state->hardState.term), state->hardState.votedFor.c_str());
  if (state->snapshot) {
    std::printf("snapshot at index %lld, %zu bytes, %zu members\n", static_cast<long long>(state->snapshot->index),
                state->snapshot->state.size(), state->snapshot->members.size());
  }
  for (const auto& entry : state->entries) {
    std::printf("entry %lld term %lld kind %d", static_cast<long long>(entry.index), static_cast<long long>(entry.term),
                static_cast<int>(entry.kind));
    if (entry.__isset.edit) {
      std::printf(" request %s, %zu rows", entry.edit.requestId.c_str(), entry.edit.mutations.size());
    }
    std::printf("\n");
  }
  std::printf("the data folder is consistent\n");
  return 0;
}

void addMetrics(const controller::Controller& controller, const transport::FrameTransport& frames,
                base::MetricsPage* page) {
  const auto& raft = controller.raft();
  page->gauge("controller_leads", "1 while this controller leads", raft.role() == consensus::RaftRole::kLeader ? 1 : 0);
  page->gauge("controller_term", "current term", static_cast<double>(raft.term()));
  page->gauge("controller_commit_index", "last committed log entry", static_cast<double>(raft.commitIndex()));
  page->gauge("table_revision", "revision of the table", static_cast<double>(controller.state().table().revision()));
  page->gauge("edit_window_floor",
              "lowest base revision of an edit that is decided; above the table's revision while "
              "only rejected edits are in the window",
              static_cast<double>(controller.state().windowFloor()));
  page->gauge("table_rows", "live rows", static_cast<double>(controller.state().table().rows().size()));
  page->gauge("ledger_keys", "idempotency keys remembered", static_cast<double>(controller.ledger().size()));
  page->gauge("ledger_bytes", "memory of the ledger", static_cast<double>(controller.ledger().bytes()));
  page->gauge("controller_nodes", "nodes attached to relays",
              static_cast<double>(controller.convergence().attachedNodes()));
  page->histogram("controller_convergence_seconds", "from a commit to its being in force on all nodes, at the leader",
                  controller.convergenceTimes().histogram());
  const auto& rollouts = controller.rollouts();
  page->gauge("rollouts_running", "orders under way", static_cast<double>(rollouts.running()));
  page->counter("rollouts_begun_total", "orders accepted by this controller", rollouts.counters().begun);
  page->counter("rollouts_completed_total", "orders completed by this controller", rollouts.counters().completed);
  page->counter("rollouts_rolled_back_total", "orders that this controller took back", rollouts.counters().rolledBack);
  page->counter("rollout_steps_total", "steps of orders taken by this controller", rollouts.counters().steps);
  page->counter("rollout_reports_total", "reports of endpoints taken by this controller", rollouts.counters().reports);
  page->gauge("zones_evacuated", "zones whose back ends take no requests, by order",
              static_cast<double>(controller.evacuations().zones().size()));
  const auto& quotas = controller.quotas().counters();
  page->counter("quota_granted_total", "permits that this controller granted to tenants with a limit", quotas.granted);
  page->counter("quota_denied_total", "requests of tenants beyond their limit", quotas.denied);
  page->counter("quota_deferred_total", "permits that this controller deferred after it became leader",
                quotas.deferred);
  page->gauge("quota_deferred_now", "permits that are deferred",
              static_cast<double>(controller.quotas().deferredNow()));
  page->counter("quota_invalid_demands_total", "demands for permits with invalid values", quotas.invalidDemands);
  const auto& relays = controller.relays().counters();
  page->counter("controller_updates_total", "updates sent to relays", relays.updates);
  page->counter("controller_update_bytes_total", "bytes of updates sent to relays", relays.updateBytes);
  page->counter("controller_full_updates_total", "whole tables sent to relays", relays.fullUpdates);
  page->counter("controller_heartbeat_bytes_total", "bytes of heartbeats to relays", relays.heartbeatBytes);
  addFrameMetrics(frames, page);
}

base::Address httpAddress() {
  return listenAddressOrExit("http_listen", FLAGS_http_listen, FLAGS_listen_host, FLAGS_http_port);
}

/// Seeds are given by host only: all controllers of a fleet listen on the same ports.
std::vector<controller::ControllerAddress> seedControllers(const std::string& text) {
  std::vector<controller::ControllerAddress> seeds;
  for (const auto& frames : hostsAtPort(text, FLAGS_frame_port)) {
    seeds.push_back({frames.host, frames, httpAddress().port});
  }
  std::sort(seeds.begin(), seeds.end(), [](const auto& left, const auto& right) { return left.name < right.name; });
  return seeds;
}

controller::ControllerOptions optionsFromSettings() {
  controller::ControllerOptions options;
  options.name = FLAGS_name;
  options.zone = FLAGS_zone;
  for (const auto& text : base::splitList(FLAGS_controllers)) {
    options.controllers.push_back(parseControllerOrExit(text));
  }
  options.self = {FLAGS_name, {FLAGS_listen_host, FLAGS_frame_port}, httpAddress().port};
  options.relayPort = FLAGS_relay_port;
  if (!FLAGS_seeds.empty()) {
    options.name = FLAGS_listen_host;
    options.self.name = FLAGS_listen_host;
    options.controllers = seedControllers(FLAGS_seeds);
    options.mayBootstrap = FLAGS_first_start;
    options.membership.automatic = true;
    options.membership.minVoters = 2 * static_cast<size_t>(FLAGS_fault_tolerance) + 1;
    options.membership.replaceAfter = base::milliseconds(FLAGS_replace_after_ms);
  }
  options.raft.heartbeatInterval = base::milliseconds(FLAGS_heartbeat_ms);
  options.raft.electionTimeout = base::milliseconds(FLAGS_election_timeout_ms);
  options.raft.compactAfterEntries = static_cast<size_t>(FLAGS_snapshot_entries);
  options.raft.announceCommits = FLAGS_relay_port > 0;
  options.relayHeartbeat = base::milliseconds(FLAGS_relay_heartbeat_ms);
  options.fullPush = FLAGS_full_push;
  options.exposure.share = FLAGS_exposure_share;
  return options;
}

/// A relay in the controller process. It shares the controller's table.
class EmbeddedRelay {
 public:
  EmbeddedRelay(transport::EventLoop& loop, controller::Controller& controller)
      : controller_(controller),
        frames_(loop, "relay"),
        relay_(options(), loop, base::RandomSource(processSeed()), frames_) {
    frames_.setHandler(&relay_);
    frames_.enableKeepAlives();
    relay_.shareTable(controller.state().table());
    controller.setTableObserver(&relay_);
  }

  ~EmbeddedRelay() { controller_.setTableObserver(nullptr); }
  EmbeddedRelay(const EmbeddedRelay&) = delete;
  EmbeddedRelay& operator=(const EmbeddedRelay&) = delete;

  void startOrExit() {
    if (const auto status = frames_.listen(FLAGS_listen_host, FLAGS_relay_port); !status.ok()) exitWithError(status);
    relay_.start();
  }

  relay::Relay& relay() { return relay_; }

 private:
  static relay::RelayOptions options() {
    constexpr base::Duration kEndpointLease = base::seconds(30);
    relay::RelayOptions options;
    options.id = FLAGS_name + "-relay";
    options.zone = FLAGS_zone;
    options.controllers = {{FLAGS_listen_host, FLAGS_frame_port}};
    options.everyZone = true;
    options.nodeHeartbeat = base::milliseconds(FLAGS_relay_heartbeat_ms);
    options.listening = {FLAGS_listen_host, FLAGS_relay_port};
    // Nodes detect unreachable endpoints themselves, and an endpoint that lost its relay still accepts calls.
    options.endpointLease = kEndpointLease;
    options.peerLease = kEndpointLease;
    return options;
  }

  controller::Controller& controller_;
  transport::FrameTransport frames_;
  relay::Relay relay_;
};

void declareSettings() {
  base::declareRequired("name");
  base::declareRequired("data_folder");
  base::declareRange("frame_port", 1, 65535);
  base::declareRange("http_port", 0, 65535);
  base::declareRange("relay_port", 0, 65535);
  base::declareRange("fault_tolerance", 0, 3);
  base::declareRange("heartbeat_ms", 1, 60'000);
  base::declareRange("election_timeout_ms", 10, 600'000);
  base::declareRange("relay_heartbeat_ms", 10, 60'000);
  base::declareRange("replace_after_ms", 100, 86'400'000);
  base::declareRange("snapshot_entries", 16, 1'000'000);
  base::declareRange("emulated_zone_delay_us", 0, 10'000'000);
}

}  // namespace

int runController(int argc, char** argv, const ExtraPagesFactory& makeExtraPages) {
  declareSettings();
  base::loadSettingsOrExit(argc, argv, "driftlug-controller: accepts edits and sends the table to relays", false);
  configureLogsFromSettings(base::LogTarget::kOutput);

  transport::EventLoop loop;
  storage::PosixDisk disk(FLAGS_data_folder, loop);
  if (const auto status = disk.createFolder(); !status.ok()) exitWithError(status);
  if (FLAGS_inspect_data) return inspectData(disk);

  transport::FrameTransport frames(loop, "frames");
  frames.enableKeepAlives();
  frames.setEmulatedZoneDelay(base::microseconds(FLAGS_emulated_zone_delay_us));
  controller::Controller controller(optionsFromSettings(), loop, base::RandomSource(processSeed()), frames, disk);
  controller::HttpApi api(controller, loop);
  controller.onConvergenceReport([&api] { api.onConvergenceChanged(); });
  frames.setHandler(&controller);
  std::unique_ptr<EmbeddedRelay> embeddedRelay;
  if (FLAGS_relay_port > 0) embeddedRelay = std::make_unique<EmbeddedRelay>(loop, controller);
  ExtraPages extraPages;
  if (makeExtraPages) extraPages = makeExtraPages(controller);

  DaemonPages pages;
  pages.ready = [&controller] { return controller.ready(); };
  pages.metrics = [&](base::MetricsPage* page) {
    addMetrics(controller, frames, page);
    addLoopMetrics(loop, page);
  };
  pages.other = [&](const transport::HttpRequest& request, const controller::HttpRespond& respond) {
    if (extraPages && extraPages(request, respond)) return;
    api.handle(request, respond);
  };
  AdminServer admin(loop, pages);

  const auto terminate = [&] {
    constexpr base::Duration kStopTime = base::milliseconds(300);
    admin.setStopping();
    controller.prepareStop();
    if (embeddedRelay) embeddedRelay->relay().prepareStop();
    loop.schedule(kStopTime, [&loop] { loop.stop(); });
  };
  const auto reload = [&] {
    const auto seeds = base::reloadSetting("seeds");
    if (seeds && !seeds->empty()) controller.setSeeds(seedControllers(*seeds));
  };
  loop.onSignals({terminate, reload});
  controller.start([&](const absl::Status& status) {
    if (!status.ok()) exitWithError(status);
    if (const auto listening = frames.listen(FLAGS_listen_host, FLAGS_frame_port); !listening.ok()) {
      exitWithError(listening);
    }
    const auto http = httpAddress();
    admin.listenOrExit(http.host, http.port);
    if (embeddedRelay) embeddedRelay->startOrExit();
  });
  if (embeddedRelay) loop.onStall([&embeddedRelay](base::Duration) { embeddedRelay->relay().onResumed(); });
  loop.run();
  return 0;
}

}  // namespace driftlug::apps
