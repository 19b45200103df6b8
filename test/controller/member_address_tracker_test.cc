#include "controller/member_address_tracker.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {
namespace {

wire::Member memberAt(int number) {
  wire::Member member;
  member.id = "id-" + std::to_string(number);
  member.address = "10.0.0." + std::to_string(number);
  member.framePort = 7000;
  member.relayPort = 7001;
  return member;
}

/// Forms a cluster as controllers do: adds each member, then promotes each to voter.
/// @return how often relays are notified
int notificationsWhileForming(int members) {
  MemberAddressTracker tracker;
  std::vector<wire::Member> list;
  int notifications = 0;
  for (int i = 1; i <= members; ++i) {
    list.push_back(memberAt(i));
    notifications += tracker.update(list) ? 1 : 0;
  }
  for (auto& member : list) {
    member.voting = true;
    notifications += tracker.update(list) ? 1 : 0;
  }
  return notifications;
}

}  // namespace

TEST_CASE("relays are notified when members are added, not when they are promoted") {
  CHECK(notificationsWhileForming(5) == 5);
  CHECK(notificationsWhileForming(40) == 40);
}

}  // namespace driftlug::controller
