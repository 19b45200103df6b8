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

/// Detects changes of the members' addresses, which relays must be notified of: they connect to every controller, voter
/// or learner. Changes of voting rights are ignored. While a cluster forms, one log entry adds each member and another
/// promotes it; if every controller notified every relay of each entry, the cost in bytes would be proportional to the
/// fourth power of the number of members.
class MemberAddressTracker {
 public:
  /// @return whether the ids, addresses, ports or zones differ from those of the previous call
  bool update(std::span<const wire::Member> members);

 private:
  using MemberAddress = std::tuple<std::string, std::string, int, int, std::string>;  // id, address, ports, zone

  std::set<MemberAddress> lastAddresses_;
};

}  // namespace driftlug::controller
