#include "membership/peer_links.h"

#include <catch2/catch.hpp>

#include "membership/slow_network.h"
#include "node/recording_network.h"
#include "simulation/process.h"

namespace driftlug::membership {
namespace {

struct Fixture {
  Fixture() : process(queue, "controller", {"zone", "region"}, {"10.0.0.1", 1}) {
    process.start();
    links = std::make_unique<PeerLinks>(network, process, base::RandomSource(1));
    links->setAddresses({{"10.0.0.2", 7000}});
    hello.id = "second";
    hello.address = "10.0.0.2";
    hello.framePort = 7000;
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::RecordingNetwork network;
  std::unique_ptr<PeerLinks> links;
  wire::Hello hello;
};

constexpr base::ConnectionId kIncoming = 99;

}  // namespace

TEST_CASE_METHOD(Fixture, "a hanging attempt to a peer is replaced at once when the peer connects") {
  REQUIRE(network.connected.size() == 1);
  const auto hanging = network.connected.begin()->first;
  links->onOpen(kIncoming, hello);
  CHECK(network.connected.begin()->first == hanging);  // it has only just started
  runFor(base::milliseconds(150));
  links->onOpen(kIncoming, hello);
  REQUIRE(network.connected.size() == 1);  // the hanging attempt is closed
  const auto fresh = network.connected.begin()->first;
  CHECK(fresh != hanging);
  CHECK(network.connected.at(fresh).host == "10.0.0.2");
  links->onOpen(fresh, hello);
  CHECK(links->helloOf({"10.0.0.2", 7000}) != nullptr);
  links->onOpen(kIncoming, hello);  // while the link is up: no new attempt
  CHECK(network.connected.begin()->first == fresh);
}

TEST_CASE_METHOD(Fixture, "a peer at an unknown address that connects is not connected to") {
  hello.address = "10.0.0.3";
  links->onOpen(kIncoming, hello);
  REQUIRE(network.connected.size() == 1);
  CHECK(network.connected.begin()->second.host == "10.0.0.2");
}

namespace {

/// Links over a network with a configurable connection delay.
struct SlowFixture : public base::ConnectionHandler {
  SlowFixture() : process(queue, "controller", {"zone", "region"}, {"10.0.0.1", 1}), network(process) {
    process.start();
    network.handler = this;
    links = std::make_unique<PeerLinks>(network, process, base::RandomSource(1));
  }

  void onOpen(base::ConnectionId connection, const wire::Hello& peer) override { links->onOpen(connection, peer); }
  void onMessage(base::ConnectionId /*connection*/, wire::Message /*message*/) override {}
  void onClose(base::ConnectionId connection) override { links->onClose(connection); }

  /// @return whether the link is open after the given time
  bool connectedWithin(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
    return links->helloOf(kPeer) != nullptr;
  }

  const base::Address kPeer{"10.0.0.2", 7000};
  simulation::EventQueue queue;
  simulation::Process process;
  test::SlowNetwork network;
  std::unique_ptr<PeerLinks> links;
};

}  // namespace

TEST_CASE_METHOD(SlowFixture, "a peer behind a link on which openings take 1.5 s is reached") {
  network.openDelay = base::milliseconds(1500);
  links->setAddresses({kPeer});
  CHECK(connectedWithin(base::milliseconds(1600)));
  CHECK(network.connected.size() == 1);  // the other attempts are closed
  CHECK(connectedWithin(base::seconds(10)));
  CHECK(network.connected.size() == 1);
}

TEST_CASE_METHOD(SlowFixture,
                 "at most four attempts to an unreachable peer run at a time, and it is reached once it is back") {
  network.openDelay = std::chrono::hours(1);
  links->setAddresses({kPeer});
  CHECK_FALSE(connectedWithin(base::seconds(30)));
  CHECK(network.maxConcurrentAttempts == 4);
  network.openDelay = base::milliseconds(1);
  CHECK(connectedWithin(base::seconds(1)));
  links->setAddresses({});
  CHECK(network.connected.empty());
}

}  // namespace driftlug::membership
