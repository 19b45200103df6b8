#include "controller/member_news.h"

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

/// Forms a cluster as controllers do, each member admitted and then promoted.
/// @return how often relays are told
int toldWhileForming(int members) {
  MemberNews news;
  std::vector<wire::Member> list;
  int told = 0;
  for (int i = 1; i <= members; ++i) {
    list.push_back(memberAt(i));
    told += news.take(list) ? 1 : 0;
  }
  for (auto& member : list) {
    member.voting = true;
    told += news.take(list) ? 1 : 0;
  }
  return told;
}

}  // namespace

TEST_CASE("relays are told of members that came or went, not of those that vote now") {
  CHECK(toldWhileForming(5) == 5);
  CHECK(toldWhileForming(40) == 40);
}

}  // namespace driftlug::controller
