/// Whether a change of the members is news to those that only need to find them.
#pragma once

#include <set>
#include <span>
#include <string>
#include <tuple>

namespace driftlug::wire {
class Member;
}

namespace driftlug::controller {

/// Relays connect to every controller, so they need the addresses of all, whoever of them votes. While a cluster forms,
/// each member is admitted and then promoted by an entry of its own; telling every relay of each, from every
/// controller, costs the fourth power of their number in bytes.
class MemberAddressTracker {
 public:
  /// @return whether others are found elsewhere than when this last said so
  bool update(std::span<const wire::Member> members);

 private:
  using MemberAddress = std::tuple<std::string, std::string, int, int, std::string>;  // id, address, ports, zone

  std::set<MemberAddress> lastAddresses_;
};

}  // namespace driftlug::controller
