/// Detects membership changes that affect the addresses of members.
#pragma once

#include <set>
#include <span>
#include <string>
#include <tuple>

namespace driftlug::wire {
class Member;
}

namespace driftlug::controller {

/// Relays connect to every controller, so they need the addresses of all, also of learners. While a cluster forms, one
/// log entry adds each member and another promotes it; notifying every relay of each entry, from every controller,
/// would cost bytes proportional to the fourth power of the number of members.
class MemberAddressTracker {
 public:
  /// @return whether the ids, addresses, ports or zones differ from those of the previous call
  bool update(std::span<const wire::Member> members);

 private:
  using MemberAddress = std::tuple<std::string, std::string, int, int, std::string>;  // id, address, ports, zone

  std::set<MemberAddress> lastAddresses_;
};

}  // namespace driftlug::controller
