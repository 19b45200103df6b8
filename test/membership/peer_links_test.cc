#include "membership/peer_links.h"

#include <catch2/catch.hpp>

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

TEST_CASE_METHOD(Fixture, "a peer that connects is connected to at once, whatever hangs") {
  REQUIRE(network.connected.size() == 1);
  const auto hanging = network.connected.begin()->first;
  links->onOpen(kIncoming, hello);
  CHECK(network.connected.begin()->first == hanging);  // it has only just begun
  runFor(base::milliseconds(150));
  links->onOpen(kIncoming, hello);
  REQUIRE(network.connected.size() == 1);  // the hanging one is closed
  const auto fresh = network.connected.begin()->first;
  CHECK(fresh != hanging);
  CHECK(network.connected.at(fresh).host == "10.0.0.2");
  links->onOpen(fresh, hello);
  CHECK(links->helloOf({"10.0.0.2", 7000}) != nullptr);
  links->onOpen(kIncoming, hello);  // a second time, while the link is up: nothing to do
  CHECK(network.connected.begin()->first == fresh);
}

TEST_CASE_METHOD(Fixture, "a stranger that connects is not connected to") {
  hello.address = "10.0.0.3";
  links->onOpen(kIncoming, hello);
  REQUIRE(network.connected.size() == 1);
  CHECK(network.connected.begin()->second.host == "10.0.0.2");
}

}  // namespace driftlug::membership
