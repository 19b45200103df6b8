/// Fixtures with one member of a replicated log; the test acts as the other members.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "memory_disk.h"
#include "simulation/process.h"

namespace driftlug::consensus {

/// Records the frames sent to each member.
class RecordingTransport : public RaftTransport {
 public:
  void sendTo(const std::string& memberId, const wire::FramePtr& frame) override { sent[memberId].push_back(frame); }

  std::map<std::string, std::vector<wire::FramePtr>> sent;
};

class NullListener : public RaftListener {
 public:
  void apply(const wire::LogEntry&) override {}
  std::string takeSnapshot() override { return ""; }
  void restore(const std::string&) override {}
  void onLeadership(RaftRole) override {}
  void onProgress() override {}
};

inline wire::Member memberOf(const std::string& id, bool voting) {
  wire::Member member;
  member.id = id;
  member.name = id;
  member.voting = voting;
  return member;
}

/// A member with an empty log.
struct MemberFixture {
  explicit MemberFixture(const std::string& id, const RaftOptions& options = {})
      : process(queue, id, {"zone", "region"}, {"10.0.0.1", 1}), store(disk) {
    process.start();
    const auto state = store.open();
    REQUIRE(state.ok());
    raft = std::make_unique<Raft>(id, options, process, base::RandomSource(1), store, transport, listener);
    raft->start(*state);
  }

  /// Advances the simulated time.
  /// @param poll called every 50 ms
  template <typename Poll>
  void runFor(base::Duration duration, Poll poll) {
    constexpr base::Duration kStep = base::milliseconds(50);
    for (const auto end = queue.now() + duration; queue.now() < end;) {
      const auto until = queue.now() + kStep;
      while (queue.runNext(until)) {
      }
      poll();
    }
  }

  simulation::EventQueue queue;
  simulation::Process process;
  test::MemoryDisk disk;
  storage::LogStore store;
  RecordingTransport transport;
  NullListener listener;
  std::unique_ptr<Raft> raft;
};

/// A leader that is the only voter, with three learners.
struct LeaderFixture : MemberFixture {
  explicit LeaderFixture(const RaftOptions& options = {}) : MemberFixture("leader", options) {
    raft->bootstrap(memberOf("leader", true));
    settle();
    REQUIRE(raft->role() == RaftRole::kLeader);
    auto members = raft->members();
    for (const auto* learner : {"a", "b", "c"}) {
      members.push_back(memberOf(learner, false));
      REQUIRE(raft->proposeMembers(members, false).ok());
      settle();
    }
  }

  void settle() {
    for (int i = 0; i < 3; ++i) {
      disk.finishSyncs();
      const auto until = queue.now() + base::milliseconds(1);
      while (queue.runNext(until)) {
      }
    }
  }
};

}  // namespace driftlug::consensus
