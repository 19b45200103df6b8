#include "relay/release_group.h"

#include <catch2/catch.hpp>

namespace driftlug::relay {
namespace {

ReleaseTracker tracker() {
  return ReleaseTracker("relay-1", {{"zone-1", {"relay-1", "relay-2", "relay-3", "relay-4"}}});
}

}  // namespace

TEST_CASE("any read quorum meets any write quorum") {
  for (size_t members = 1; members <= 7; ++members) {
    ReleaseGroup group{"zone-1", std::vector<std::string>(members)};
    CHECK(group.readQuorum() + group.writeQuorum() > members);
  }
}

TEST_CASE("a revision is released once two members hold it") {
  auto releases = tracker();
  releases.setOwnRevision(10);
  CHECK(releases.released("zone-1") == 0);
  releases.onHeldRevision("relay-3", 9);
  CHECK(releases.released("zone-1") == 9);
  releases.onHeldRevision("relay-2", 10);
  CHECK(releases.released("zone-1") == 10);
}

TEST_CASE("a revision beyond the relay's own table is not released") {
  auto releases = tracker();
  releases.setOwnRevision(10);
  releases.onHeldRevision("relay-2", 12);
  releases.onHeldRevision("relay-3", 12);
  CHECK(releases.released("zone-1") == 10);
}

TEST_CASE("the released revision never decreases, also when a peer restarts without its table") {
  auto releases = tracker();
  releases.setOwnRevision(10);
  releases.onHeldRevision("relay-2", 10);
  releases.onPeerDisconnected("relay-2");
  releases.onHeldRevision("relay-2", 0);
  CHECK(releases.released("zone-1") == 10);
  releases.setOwnRevision(11);
  CHECK(releases.released("zone-1") == 10);
}

TEST_CASE("zones of other groups are not served") {
  auto releases = tracker();
  releases.setOwnRevision(10);
  CHECK(!releases.serves("zone-9"));
  CHECK(releases.released("zone-9") == 0);
}

}  // namespace driftlug::relay
