/// driftlug-hollow: many nodes without calls in one process, each with its own connection to a relay.
#include <gflags/gflags.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "base/error.h"
#include "base/settings.h"
#include "daemon.h"
#include "node/control_client.h"
#include "scale_shape.h"
#include "transport/frame_transport.h"

DEFINE_int32(first, 0, "position of the first node");
DEFINE_int32(count, 1, "nodes in this process");
DEFINE_int32(nodes, 1000, "nodes of the whole mesh");
DEFINE_int32(http_port, 0, "port for health and metrics");
DEFINE_string(relays, "", "all relays as host:port in order of their position, separated by commas");

namespace {

using namespace driftlug;

/// Lets many nodes share one transport: each connection greets as its node, and events go back to it.
class HollowNodes : public base::ConnectionHandler {
 public:
  explicit HollowNodes(transport::FrameTransport& frames) : frames_(frames) {}

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override {
    if (auto* node = handlerOf(connection)) node->onOpen(connection, peer);
  }
  void onMessage(base::ConnectionId connection, wire::Message message) override {
    if (auto* node = handlerOf(connection)) node->onMessage(connection, std::move(message));
  }
  void onClose(base::ConnectionId connection) override {
    auto* node = handlerOf(connection);
    owners_.erase(connection);
    if (node != nullptr) node->onClose(connection);
  }

  /// The transport as one node sees it.
  class Port : public base::Network {
   public:
    explicit Port(HollowNodes& nodes) : nodes_(nodes) {}

    void setHandler(base::ConnectionHandler* handler) { handler_ = handler; }
    void setHello(const wire::Hello& hello) override { hello_ = hello; }
    base::ConnectionId connect(const base::Address& address) override {
      nodes_.frames_.setHello(hello_);
      const auto connection = nodes_.frames_.connect(address);
      nodes_.owners_[connection] = handler_;
      return connection;
    }
    void send(base::ConnectionId connection, const wire::FramePtr& frame) override {
      nodes_.frames_.send(connection, frame);
    }
    void close(base::ConnectionId connection) override {
      nodes_.owners_.erase(connection);
      nodes_.frames_.close(connection);
    }
    size_t queuedBytes(base::ConnectionId connection) const override { return nodes_.frames_.queuedBytes(connection); }

   private:
    HollowNodes& nodes_;
    base::ConnectionHandler* handler_ = nullptr;
    wire::Hello hello_;
  };

 private:
  base::ConnectionHandler* handlerOf(base::ConnectionId connection) const {
    const auto found = owners_.find(connection);
    return found == owners_.end() ? nullptr : found->second;
  }

  transport::FrameTransport& frames_;
  std::map<base::ConnectionId, base::ConnectionHandler*> owners_;
};

/// One hollow node.
struct HollowNode {
  std::unique_ptr<HollowNodes::Port> port;
  std::unique_ptr<node::ControlClient> control;
};

node::ControlOptions optionsOf(const tools::ScaleShape& shape, int position, const std::vector<base::Address>& relays) {
  const auto member = tools::nodeAt(shape, position);
  node::ControlOptions options;
  options.nodeId = member.name;
  options.zone = member.zone;
  options.hosts = member.hosts;
  options.services = {member.service};
  for (const int relay : tools::scaleGroup(shape, tools::zoneOfNode(shape, position))) {
    options.relays.push_back(relays[static_cast<size_t>(relay)]);
  }
  // Neighbours prefer different relays of the pair.
  if (position / shape.zones % 2 == 1) std::swap(options.relays[0], options.relays[1]);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  base::declareRequired("relays");
  base::declareRange("count", 1, 100'000);
  base::declareRange("nodes", 1, 100'000);
  base::declareRange("http_port", 1, 65535);
  base::loadSettingsOrExit(argc, argv, "driftlug-hollow: many nodes without calls in one process", false);
  apps::configureLogsFromSettings();
  std::vector<base::Address> relays;
  for (const auto& text : base::splitList(FLAGS_relays)) relays.push_back(apps::parseAddressOrExit("relays", text));
  const auto shape = tools::shapeFor(FLAGS_nodes);
  if (relays.size() != static_cast<size_t>(shape.zones) * static_cast<size_t>(shape.relaysPerZone)) {
    apps::exitWithError(base::makeError(base::ErrorCode::kBadSetting, "relays: not as many as the mesh has"));
  }
  transport::EventLoop loop;
  transport::FrameTransport frames(loop, "control");
  HollowNodes hollow(frames);
  frames.setHandler(&hollow);
  base::RandomSource random(apps::processSeed());
  std::vector<HollowNode> nodes;
  for (int i = 0; i < FLAGS_count; ++i) {
    HollowNode node;
    node.port = std::make_unique<HollowNodes::Port>(hollow);
    node.control =
        std::make_unique<node::ControlClient>(optionsOf(shape, FLAGS_first + i, relays), loop,
                                              base::RandomSource(random.bits()), *node.port, nullptr, nullptr);
    node.port->setHandler(node.control.get());
    nodes.push_back(std::move(node));
  }
  apps::DaemonPages pages;
  pages.ready = [&nodes] {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& node) { return node.control->slices().active(); });
  };
  pages.metrics = [&](base::MetricsPage* page) {
    int connected = 0;
    int64_t activations = 0;
    for (const auto& node : nodes) {
      connected += node.control->connected() ? 1 : 0;
      activations += node.control->counters().activations;
    }
    page->gauge("hollow_connected", "nodes connected to a relay", connected);
    page->counter("hollow_activations_total", "versions activated", activations);
    page->counter("frame_bytes_sent_total", "bytes of frames sent", frames.counters().bytesSent);
    page->counter("frame_bytes_received_total", "bytes of frames received", frames.counters().bytesReceived);
  };
  apps::AdminServer admin(loop, pages);
  admin.listenOrExit("127.0.0.1", FLAGS_http_port);
  // Starts are spread over a second, as machines do not start at one instant.
  constexpr base::Duration kStartSpread = base::seconds(1);
  for (auto& node : nodes) {
    loop.schedule(random.duration(kStartSpread), [&node] { node.control->start(nullptr); });
  }
  loop.onSignals({[&loop] { loop.stop(); }, {}});
  loop.run();
  return 0;
}
