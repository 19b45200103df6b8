#include <catch2/catch.hpp>

#include "raft_fixture.h"

namespace driftlug::consensus {
namespace {

constexpr base::Duration kStallDuration = base::milliseconds(900);  // longer than the quorum check timeout of a leader

/// @return whether a message of type T was sent to any member.
template <typename T>
bool sentAny(const RecordingTransport& transport) {
  for (const auto& [member, frames] : transport.sent) {
    for (const auto& frame : frames) {
      if (wire::kindOf(*frame) == wire::kindOf<T>()) return true;
    }
  }
  return false;
}

/// A leader with two more voters, whose process is frozen for a while.
struct StalledLeader : LeaderFixture {
  StalledLeader() {
    for (const auto* voter : {"a", "b"}) {
      respondAsFollowers();
      auto members = raft->members();
      for (auto& member : members) member.voting = member.voting || member.id == voter;
      REQUIRE(raft->proposeMembers(members, false).ok());
      settle();
      respondAsFollowers();
    }
    runFor(base::milliseconds(100), true);
    REQUIRE(raft->role() == RaftRole::kLeader);
  }

  void respondAsFollowers() {
    wire::AppendResponse response;
    response.term = raft->term();
    response.success = true;
    response.matchIndex = raft->lastIndex();
    for (const auto* member : {"a", "b", "c"}) {
      process.run(process.incarnation(), [this, member, response] { raft->onMessage(member, response); });
    }
  }

  void runFor(base::Duration duration, bool followersAlive) {
    MemberFixture::runFor(duration, [&] {
      if (followersAlive) respondAsFollowers();
    });
  }
};

/// A voter that receives heartbeats from its leader.
struct StalledFollower : MemberFixture {
  StalledFollower() : MemberFixture("follower") {
    wire::LogEntry members;
    members.index = 1;
    members.term = 1;
    members.kind = wire::EntryKind::MEMBERS;
    members.__set_members({memberOf("leader", true), memberOf("follower", true), memberOf("other", true)});
    heartbeat({members}, 0);
    for (int i = 0; i < 3; ++i) disk.finishSyncs();
  }

  void heartbeat(const std::vector<wire::LogEntry>& entries, int64_t previous) {
    wire::AppendRequest request;
    request.term = 1;
    request.leader = "leader";
    request.previousIndex = previous;
    request.previousTerm = previous;
    request.entries = entries;
    process.run(process.incarnation(), [this, request] { raft->onMessage("leader", request); });
  }

  void runFor(base::Duration duration, bool leaderAlive) {
    MemberFixture::runFor(duration, [&] {
      if (leaderAlive) heartbeat({}, 1);
    });
  }
};

}  // namespace

TEST_CASE_METHOD(StalledLeader, "a stalled leader does not step down while its followers respond") {
  process.setFrozen(true);
  runFor(kStallDuration, true);
  process.setFrozen(false);
  CHECK(raft->role() == RaftRole::kLeader);
  runFor(base::seconds(2), true);
  CHECK(raft->role() == RaftRole::kLeader);
}

TEST_CASE_METHOD(StalledLeader, "a stalled leader steps down when its followers are gone") {
  process.setFrozen(true);
  runFor(kStallDuration, false);
  process.setFrozen(false);
  runFor(base::seconds(2), false);
  CHECK(raft->role() == RaftRole::kFollower);
}

TEST_CASE_METHOD(StalledFollower, "a stalled follower requests no votes while its leader's heartbeats are unread") {
  runFor(base::milliseconds(500), true);
  process.setFrozen(true);
  runFor(kStallDuration, true);
  process.setFrozen(false);
  runFor(base::seconds(1), true);
  CHECK_FALSE(sentAny<wire::VoteRequest>(transport));
}

TEST_CASE_METHOD(StalledFollower, "a stalled follower requests votes when its leader is gone") {
  runFor(base::milliseconds(500), true);
  process.setFrozen(true);
  runFor(kStallDuration, false);
  process.setFrozen(false);
  runFor(base::seconds(2), false);
  CHECK(sentAny<wire::VoteRequest>(transport));
}

}  // namespace driftlug::consensus
