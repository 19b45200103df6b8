/// driftlug-relay: receives the table from the leading controller and sends slices of it to nodes.
#include <gflags/gflags.h>

#include <absl/strings/str_split.h>

#include "base/error.h"
#include "base/settings.h"
#include "daemon.h"
#include "relay/relay.h"
#include "transport/frame_transport.h"

DEFINE_string(name, "", "name of this relay");
DEFINE_string(zone, "", "zone that this process runs in");
DEFINE_string(listen_host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(frame_port, 0, "port for nodes and other relays");
DEFINE_int32(http_port, 0, "port for health and metrics");
DEFINE_string(controllers, "", "controllers as host:port, separated by commas");
DEFINE_string(peers, "", "all other relays as host:port, separated by commas");
DEFINE_string(release_groups, "",
              "groups that this relay is a member of, as zone=relay|relay|relay, separated by commas");
DEFINE_int32(node_heartbeat_ms, 600, "interval of heartbeats to nodes");
DEFINE_int32(admissions_per_second, 2000, "maximum number of subscriptions admitted per second");
DEFINE_int32(emulated_zone_delay_us, 0, "delay of frames to other zones; for tests only");
DEFINE_bool(full_push, false, "send whole slices with each update; for experiments only");

namespace {

using namespace driftlug;

relay::ReleaseGroup parseGroupOrExit(const std::string& text) {
  const std::pair<std::string, std::string> parts = absl::StrSplit(text, absl::MaxSplits('=', 1));
  relay::ReleaseGroup group;
  group.zone = parts.first;
  for (const auto& member : absl::StrSplit(parts.second, '|', absl::SkipEmpty())) group.members.emplace_back(member);
  if (group.members.empty()) {
    apps::exitWithError(
        base::makeError(base::ErrorCode::kBadSetting, "release_groups: '" + text + "' is not zone=relay|relay"));
  }
  return group;
}

relay::RelayOptions optionsFromSettings() {
  relay::RelayOptions options;
  options.id = FLAGS_name;
  options.zone = FLAGS_zone;
  options.controllers = apps::parseAddressesOrExit("controllers", FLAGS_controllers);
  options.peers = apps::parseAddressesOrExit("peers", FLAGS_peers);
  for (const auto& text : base::splitList(FLAGS_release_groups))
    options.releaseGroups.push_back(parseGroupOrExit(text));
  if (options.releaseGroups.empty()) options.releaseGroups.push_back({options.zone, {options.id}});
  options.nodeHeartbeat = base::milliseconds(FLAGS_node_heartbeat_ms);
  options.admissionsPerSecond = FLAGS_admissions_per_second;
  options.fullPush = FLAGS_full_push;
  return options;
}

/// Handles SIGHUP by rereading controllers and peers. Without a handler the signal terminates the relay, and its nodes
/// lose their connections.
void reload(relay::Relay& relay) {
  const auto controllers =
      apps::parseAddresses("controllers", base::reloadSetting("controllers").value_or(FLAGS_controllers));
  const auto peers = apps::parseAddresses("peers", base::reloadSetting("peers").value_or(FLAGS_peers));
  if (!controllers.ok() || !peers.ok() || controllers->empty()) {
    base::Logger("relay").warn("{} keeps its current settings: the settings file is invalid", FLAGS_name);
    return;
  }
  relay.applySettings(*controllers, *peers);
}

void addMetrics(const relay::Relay& relay, const transport::FrameTransport& frames, base::MetricsPage* page) {
  constexpr base::Duration kFreshWithin = base::seconds(3);
  page->gauge("table_revision", "revision of the table held", static_cast<double>(relay.replica().revision()));
  page->gauge("relay_nodes", "nodes attached", static_cast<double>(relay.nodes().all().size()));
  page->gauge("relay_fresh", "1 while a quorum of controllers is heard of", relay.fresh(kFreshWithin) ? 1 : 0);
  page->gauge("relay_recovered", "1 once a controller confirmed the table", relay.recovered() ? 1 : 0);
  const auto& nodes = relay.nodes().counters();
  page->counter("relay_subscriptions_total", "subscriptions of nodes", nodes.subscriptions);
  page->counter("relay_updates_total", "updates sent to nodes", nodes.updates);
  page->counter("relay_update_bytes_total", "bytes of updates sent to nodes", nodes.updateBytes);
  page->counter("relay_full_updates_total", "whole slices sent to nodes", nodes.fullUpdates);
  page->counter("relay_full_bytes_total", "bytes of whole slices sent to nodes", nodes.fullBytes);
  page->counter("relay_heartbeat_bytes_total", "bytes of heartbeats sent to nodes", nodes.heartbeatBytes);
  page->counter("relay_invalid_quota_demands_total", "demands of nodes for permits with invalid values",
                relay.invalidQuotaDemands());
  page->counter("relay_rejected_total", "updates that nodes refused", nodes.rejected);
  apps::addFrameMetrics(frames, page);
}

}  // namespace

int main(int argc, char** argv) {
  base::declareRequired("name");
  base::declareRequired("zone");
  base::declareRequired("controllers");
  base::declareRange("frame_port", 1, 65535);
  base::declareRange("http_port", 1, 65535);
  base::declareRange("node_heartbeat_ms", 10, 60'000);
  base::declareRange("admissions_per_second", 1, 1'000'000);
  base::declareRange("emulated_zone_delay_us", 0, 10'000'000);
  base::loadSettingsOrExit(argc, argv, "driftlug-relay: sends slices of the table to nodes", false);
  apps::configureLogsFromSettings(base::LogTarget::kOutput);

  transport::EventLoop loop;
  transport::FrameTransport frames(loop, "frames");
  frames.enableKeepAlives();
  frames.setEmulatedZoneDelay(base::microseconds(FLAGS_emulated_zone_delay_us));
  relay::Relay relay(optionsFromSettings(), loop, base::RandomSource(apps::processSeed()), frames);
  frames.setHandler(&relay);

  apps::DaemonPages pages;
  pages.ready = [&relay] { return relay.recovered() && relay.fresh(base::seconds(3)); };
  pages.metrics = [&relay, &frames](base::MetricsPage* page) { addMetrics(relay, frames, page); };
  apps::AdminServer admin(loop, pages);
  // The handlers are installed before the process listens or connects. When they were installed after its first
  // connection, SIGHUP terminated 199 of 480 starts under load.
  loop.onSignals({[&] {
                    constexpr base::Duration kStopTime = base::milliseconds(500);
                    admin.setStopping();
                    relay.prepareStop();
                    loop.schedule(kStopTime, [&loop] { loop.stop(); });
                  },
                  [&relay] { reload(relay); }});
  admin.listenOrExit(FLAGS_listen_host, FLAGS_http_port);
  if (const auto status = frames.listen(FLAGS_listen_host, FLAGS_frame_port); !status.ok()) apps::exitWithError(status);
  relay.start();
  loop.onStall([&relay](base::Duration) { relay.onResumed(); });
  loop.run();
  return 0;
}
