#include "controller/member_address_tracker.h"

#include <utility>

#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

bool MemberAddressTracker::update(std::span<const wire::Member> members) {
  std::set<MemberAddress> addresses;
  for (const auto& member : members) {
    addresses.insert({member.id, member.address, member.framePort, member.relayPort, member.zone});
  }
  return std::exchange(lastAddresses_, addresses) != addresses;
}

}  // namespace driftlug::controller
