#include "controller/member_news.h"

#include <utility>

#include "wire/gen/driftlug_types.h"

namespace driftlug::controller {

bool MemberNews::take(std::span<const wire::Member> members) {
  std::set<Place> places;
  for (const auto& member : members) {
    places.insert({member.id, member.address, member.framePort, member.relayPort, member.zone});
  }
  return std::exchange(told_, places) != places;
}

}  // namespace driftlug::controller
