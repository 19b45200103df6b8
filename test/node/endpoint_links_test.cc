#include "node/endpoint_links.h"

#include <catch2/catch.hpp>

#include <set>

#include "node/endpoint_name.h"
#include "recording_network.h"
#include "simulation/process.h"
#include "table_rows.h"

namespace driftlug::node {
namespace {

constexpr int kEndpoints = 60;

wire::EndpointState endpointState(int index, wire::EndpointCondition::type condition) {
  wire::EndpointState state;
  state.endpoint = "endpoint-" + std::to_string(index);
  state.serviceName = "records";
  state.condition = condition;
  state.incarnation = 1;
  state.sequence = condition == wire::EndpointCondition::LIVE ? 1 : 2;
  state.address = "10.0.0." + std::to_string(index);
  state.port = 7000;
  state.zone = "zone-" + std::to_string(index % 2);
  state.slots = 4;
  return state;
}

/// Links of a node to a service with 60 endpoints.
struct LinksFixture {
  explicit LinksFixture(size_t maxLinks = SIZE_MAX) : process(queue, "node", {"zone-0", "region"}, {"10.0.1.1", 7000}) {
    process.start();
    picker = std::make_unique<routing::EndpointPicker>(routing::PickerOptions{}, process, base::RandomSource(1));
    LinkOptions options;
    options.nodeId = "node";
    options.zone = "zone-0";
    options.maxLinks = maxLinks;
    links = std::make_unique<EndpointLinks>(
        options, process, base::RandomSource(2), network, *picker,
        [this](base::ConnectionId, const std::string& endpoint) { lost.push_back(endpoint); },
        [this](base::ConnectionId, const std::string& endpoint) { silent.push_back(endpoint); });
    std::vector<wire::EndpointState> states;
    for (int i = 1; i <= kEndpoints; ++i) states.push_back(endpointState(i, wire::EndpointCondition::LIVE));
    links->onStates(states);
    openAll();
  }

  void openAll() {
    wire::Hello peer;
    peer.id = "other";
    peer.acknowledgesCalls = true;
    for (const auto& [connection, address] : network.connected) links->onOpen(connection, peer);
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  std::unique_ptr<routing::EndpointPicker> picker;
  std::unique_ptr<EndpointLinks> links;
  std::vector<std::string> lost;
  std::vector<std::string> silent;
};

}  // namespace

namespace {

constexpr size_t kMaxLinks = 20;

struct BoundedLinksFixture : public LinksFixture {
  BoundedLinksFixture() : LinksFixture(kMaxLinks) {}

  /// Adds a service with endpoints of its own.
  void addService(const std::string& name) {
    std::vector<wire::EndpointState> states;
    for (int i = 1; i <= kEndpoints; ++i) {
      auto state = endpointState(i, wire::EndpointCondition::LIVE);
      state.serviceName = name;
      state.endpoint = name + "-" + std::to_string(i);
      states.push_back(state);
    }
    links->onStates(states);
    runFor(base::milliseconds(50));
    openAll();
  }
};

}  // namespace

TEST_CASE_METHOD(LinksFixture, "a back end is known for the service that it was announced for, in whatever condition") {
  CHECK(links->isAnnounced("records", "endpoint-1"));
  CHECK_FALSE(links->isAnnounced("filings", "endpoint-1"));
  CHECK_FALSE(links->isAnnounced("records", "endpoint"));
  auto state = endpointState(1, wire::EndpointCondition::GONE);
  links->onStates({state});
  CHECK(links->isAnnounced("records", "endpoint-1"));
  state.endpoint = endpointNameOf("restarted", 1'764'720'000'000);
  links->onStates({state});
  CHECK(links->isAnnounced("records", "restarted"));
  CHECK(links->isAnnouncedAt({"10.0.0.1", 7000}));
  CHECK_FALSE(links->isAnnouncedAt({"10.0.0.1", 7001}));
  CHECK_FALSE(links->isAnnouncedAt({"10.0.9.1", 7000}));
}

TEST_CASE_METHOD(BoundedLinksFixture, "the bound of links is shared among the services") {
  CHECK(links->size() == 16);
  for (const char* service : {"filings", "orders", "prices"}) addService(service);
  CHECK(links->size() <= kMaxLinks);
  CHECK(network.connected.size() <= kMaxLinks);
  for (const char* service : {"records", "filings", "orders", "prices"}) {
    size_t open = 0;
    for (const auto& endpoint : links->chosenEndpoints(service)) open += links->link(endpoint.name).open ? 1 : 0;
    CHECK(open == kMaxLinks / 4);
  }
}

TEST_CASE_METHOD(BoundedLinksFixture, "more links for a full service stay within the bound") {
  for (int i = 0; i < 10; ++i) {
    links->addExtraLinks("records");
    runFor(base::milliseconds(50));
  }
  CHECK(links->chosenEndpoints("records").size() == kMaxLinks);
  CHECK(network.connected.size() == kMaxLinks);
}

TEST_CASE_METHOD(BoundedLinksFixture,
                 "unreachable links count against the limit, and endpoints beyond it wait for a free link") {
  // No endpoint is reachable: without the limit, up to three times as many would be linked instead.
  for (int i = 0; i < 5; ++i) {
    const auto before = network.connected;
    for (const auto& [connection, address] : before) {
      network.connected.erase(connection);
      links->onClose(connection);
    }
    runFor(base::seconds(4));
    CHECK(links->size() <= kMaxLinks);
    CHECK(network.connected.size() <= kMaxLinks);
  }
  CHECK(links->skippedEndpoints() > 0);
  openAll();
  runFor(base::seconds(2));
  CHECK(links->chosenEndpoints("records").size() == 16);
}

TEST_CASE_METHOD(LinksFixture, "a node links to a subset of a large service only") {
  CHECK(network.connected.size() == 16);
  CHECK(links->chosenEndpoints("records").size() == 16);
  CHECK(links->chosenEndpoints("others").empty());
}

TEST_CASE_METHOD(LinksFixture, "an unreachable endpoint is replaced by another one") {
  const auto connection = network.connected.begin()->first;
  network.connected.erase(connection);
  links->onClose(connection);
  CHECK(lost.size() == 1);
  runFor(base::milliseconds(30));
  CHECK(links->chosenEndpoints("records").size() == 17);
  CHECK(network.connected.size() >= 16);
}

TEST_CASE_METHOD(LinksFixture, "more endpoints are linked while the chosen ones are full, and unlinked later") {
  links->addExtraLinks("records");
  runFor(base::milliseconds(30));
  CHECK(links->chosenEndpoints("records").size() == 20);
  for (int i = 0; i < 20; ++i) {
    links->addExtraLinks("records");
    runFor(base::milliseconds(30));
  }
  CHECK(links->chosenEndpoints("records").size() == 32);
  runFor(base::seconds(11));
  links->onStates({endpointState(kEndpoints + 1, wire::EndpointCondition::LIVE)});
  CHECK(links->chosenEndpoints("records").size() == 16);
}

TEST_CASE_METHOD(LinksFixture, "an endpoint that has left is replaced, and its link ends with its last call") {
  const auto leaving = links->chosenEndpoints("records").front().name;
  picker->onSent(leaving);
  links->onStates({endpointState(std::stoi(leaving.substr(9)), wire::EndpointCondition::GONE)});
  CHECK(links->chosenEndpoints("records").size() == 16);
  CHECK(links->link(leaving).open);
  picker->onAbandoned(leaving);
  runFor(base::milliseconds(30));
  links->onStates({endpointState(kEndpoints + 1, wire::EndpointCondition::LIVE)});
  CHECK(!links->link(leaving).open);
}

TEST_CASE_METHOD(LinksFixture,
                 "an endpoint that said that it is leaving does not come back when it is announced again") {
  const auto isChosen = [this](const std::string& endpoint) {
    const auto& chosen = links->chosenEndpoints("records");
    return std::any_of(chosen.begin(), chosen.end(), [&](const auto& target) { return target.name == endpoint; });
  };
  const auto name = links->chosenEndpoints("records").front().name;
  const auto before = links->chosenEndpoints("records").size();
  links->markLeaving(name);
  CHECK(!isChosen(name));
  CHECK(links->chosenEndpoints("records").size() == before);
  auto again = endpointState(std::stoi(name.substr(name.find('-') + 1)), wire::EndpointCondition::GONE);
  links->onStates({again});
  runFor(base::seconds(1));
  again.condition = wire::EndpointCondition::LIVE;
  again.incarnation = 2;
  links->onStates({again});
  runFor(base::seconds(1));
  CHECK(!isChosen(name));
}

TEST_CASE_METHOD(LinksFixture, "an endpoint that said that it is leaving while it was not announced stays excluded") {
  const auto endpoint = endpointState(kEndpoints + 1, wire::EndpointCondition::LIVE);
  const auto before = links->knownEndpointCount();
  links->markLeaving(endpoint.endpoint);
  links->onStates({endpoint});
  runFor(base::seconds(1));
  CHECK(links->knownEndpointCount() == before);
}

TEST_CASE_METHOD(LinksFixture, "endpoint states that arrive one by one are applied in batches") {
  for (int i = kEndpoints + 1; i <= kEndpoints + 40; ++i) {
    links->onStates({endpointState(i, wire::EndpointCondition::LIVE)});
  }
  runFor(base::milliseconds(50));
  CHECK(links->chosenEndpoints("records").size() == 16);
}

TEST_CASE_METHOD(LinksFixture, "an endpoint that does not acknowledge is skipped until it responds again") {
  const auto name = links->chosenEndpoints("records").front().name;
  const auto send = [&] {
    picker->onSent(name);
    links->onSent(name);
  };
  send();
  runFor(base::milliseconds(100));
  links->onMessageReceived(links->link(name).connection);
  runFor(base::milliseconds(300));
  CHECK(silent.empty());
  send();
  runFor(base::milliseconds(400));
  CHECK(silent == std::vector<std::string>{name});
  for (int i = 0; i < 200; ++i) CHECK(picker->pick(links->chosenEndpoints("records"), "zone-0", {})->name != name);
  links->onMessageReceived(links->link(name).connection);
  CHECK(!links->link(name).silent);
}

TEST_CASE_METHOD(LinksFixture, "a keep-alive is sent on a link with a long-running call") {
  const auto name = links->chosenEndpoints("records").front().name;
  picker->onSent(name);
  links->onSent(name);
  links->onMessageReceived(links->link(name).connection);
  runFor(base::milliseconds(450));
  CHECK(network.all<wire::KeepAlive>().empty());
  runFor(base::milliseconds(250));
  CHECK(network.all<wire::KeepAlive>().size() == 1);
  links->onMessageReceived(links->link(name).connection);
  runFor(base::milliseconds(400));
  CHECK(silent.empty());
  runFor(base::milliseconds(700));
  CHECK(silent == std::vector<std::string>{name});
}

TEST_CASE_METHOD(LinksFixture,
                 "the connection of a link that stays silent is replaced, and calls on the old one continue") {
  const auto name = links->chosenEndpoints("records").front().name;
  picker->onSent(name);
  links->onSent(name);
  const auto first = links->link(name).connection;
  runFor(base::milliseconds(400));
  REQUIRE(silent == std::vector<std::string>{name});
  SECTION("no call is left on it") {
    picker->onAbandoned(name);
    runFor(base::milliseconds(1000));
    CHECK(network.connected.count(first) == 0);
    CHECK(lost.empty());
  }
  SECTION("a non-repeatable call waits on it until the peer is considered lost") {
    runFor(base::milliseconds(1000));
    CHECK(network.connected.count(first) == 1);
    CHECK(links->isOutbound(first));
    CHECK(lost.empty());
  }
  const auto second = links->link(name).connection;
  CHECK(second != 0);
  CHECK(second != first);
  // The new connection works, and the endpoint gets calls again.
  openAll();
  CHECK(links->link(name).open);
  CHECK(!links->link(name).silent);
  std::set<std::string> others;
  for (const auto& endpoint : links->chosenEndpoints("records")) {
    if (endpoint.name != name) others.insert(endpoint.name);
  }
  const auto* picked = picker->pick(links->chosenEndpoints("records"), "zone-0", others);
  REQUIRE(picked != nullptr);
  CHECK(picked->name == name);
}

TEST_CASE_METHOD(LinksFixture, "a call on a connection that was replaced ends with it") {
  const auto name = links->chosenEndpoints("records").front().name;
  picker->onSent(name);
  links->onSent(name);
  const auto first = links->link(name).connection;
  runFor(base::milliseconds(1400));
  openAll();
  REQUIRE(links->link(name).connection != first);
  SECTION("because it breaks") { links->onClose(first); }
  SECTION("because it times out") { runFor(base::seconds(31)); }
  CHECK(lost == std::vector<std::string>{name});
  CHECK(!links->isOutbound(first));
  CHECK(links->link(name).open);
}

TEST_CASE_METHOD(LinksFixture, "a process that was suspended replaces no connection because of its own pause") {
  const auto name = links->chosenEndpoints("records").front().name;
  picker->onSent(name);
  links->onSent(name);
  const auto first = links->link(name).connection;
  runFor(base::milliseconds(400));
  REQUIRE(silent.size() == 1);
  process.setFrozen(true);
  runFor(base::seconds(5));
  process.setFrozen(false);
  runFor(base::milliseconds(50));
  CHECK(links->link(name).connection == first);
}

// Guards against calls refused with "no_endpoint" although all endpoints of their service are announced as live again.
// The nodes of four back ends were down for 3.5 s, and the links to them had backed off to 3.2 s. Only the back-off
// decided when to reconnect, not the announcement of the restart: links came up 0.3 to 2.0 s after "condition=live" at
// the four entry nodes, which refused 23 calls within 0.8 s.
struct RestartedEndpointFixture : public LinksFixture {
  RestartedEndpointFixture() {
    target = links->chosenEndpoints("records").front();
    for (int i = 0; i < 6; ++i) {
      lose();
      if (i < 5) runFor(base::seconds(4));
    }
  }

  base::ConnectionId connection() const {
    for (const auto& [id, address] : network.connected) {
      if (address.host == target.address) return id;
    }
    return 0;
  }

  void lose() {
    const auto id = connection();
    network.connected.erase(id);
    links->onClose(id);
  }

  void announce(int64_t incarnation, wire::EndpointCondition::type condition) {
    auto state = endpointState(std::stoi(target.name.substr(std::string("endpoint-").size())), condition);
    state.incarnation = incarnation;
    links->onStates({state});
  }

  routing::EndpointTarget target;
};

TEST_CASE_METHOD(RestartedEndpointFixture, "an endpoint that announces its start is connected to at once") {
  REQUIRE(connection() == 0);
  announce(2, wire::EndpointCondition::LIVE);
  CHECK(connection() != 0);
}

TEST_CASE_METHOD(RestartedEndpointFixture,
                 "a hanging connect attempt is dropped when its endpoint announces a restart") {
  runFor(base::seconds(4));
  const auto hanging = connection();
  REQUIRE(hanging != 0);
  announce(1, wire::EndpointCondition::LIVE);  // the incarnation that is already known
  CHECK(connection() == hanging);
  announce(2, wire::EndpointCondition::LIVE);
  CHECK(network.closed.count(hanging) == 1);
  CHECK(connection() != 0);
}

TEST_CASE_METHOD(RestartedEndpointFixture, "states of draining or gone endpoints open no connection") {
  announce(2, wire::EndpointCondition::DRAINING);
  announce(3, wire::EndpointCondition::GONE);
  CHECK(connection() == 0);
}

/// A node that has just started: it has its routing table, and its connect attempts are pending or have failed.
struct FirstAnnouncementFixture : public LinksFixture {
  FirstAnnouncementFixture() {
    table::Table rows;
    rows.put(test::serviceRow("archive", 1));
    rows.put(test::endpointRow("archive-1", "archive", 1));
    const auto before = network.connected;
    links->useTable(std::make_shared<routing::RoutingTable>(rows, 1));
    REQUIRE(network.connected.size() == before.size() + 1);
    attempt = network.connected.rbegin()->first;
  }

  void announceLive() {
    auto state = endpointState(1, wire::EndpointCondition::LIVE);
    state.endpoint = "archive-1";
    state.serviceName = "archive";
    state.address.clear();  // the table has it
    links->onStates({state});
  }

  base::ConnectionId attempt = 0;
};

TEST_CASE_METHOD(FirstAnnouncementFixture, "the first state of an endpoint keeps a pending connect attempt") {
  announceLive();
  CHECK(network.closed.count(attempt) == 0);
  CHECK(network.connected.rbegin()->first == attempt);
}

TEST_CASE_METHOD(FirstAnnouncementFixture,
                 "the first state of an endpoint ends the back-off after a failed connect attempt") {
  network.connected.erase(attempt);
  links->onClose(attempt);
  announceLive();
  CHECK(network.connected.rbegin()->first > attempt);
}

}  // namespace driftlug::node
