/// One member of a replicated log; the test plays the others.
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

/// Keeps the frames that go to each member.
class FrameKeeper : public RaftTransport {
 public:
  void sendTo(const std::string& memberId, const wire::FramePtr& frame) override { sent[memberId].push_back(frame); }

  std::map<std::string, std::vector<wire::FramePtr>> sent;
};

class IgnoringListener : public RaftListener {
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

/// A leader of its own, with learners.
struct LeaderFixture {
  explicit LeaderFixture(const RaftOptions& options = {})
      : process(queue, "leader", {"zone", "region"}, {"10.0.0.1", 1}), store(disk) {
    process.start();
    const auto state = store.open();
    REQUIRE(state.ok());
    raft = std::make_unique<Raft>("leader", options, process, base::RandomSource(1), store, transport, listener);
    raft->start(*state);
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

  simulation::EventQueue queue;
  simulation::Process process;
  test::MemoryDisk disk;
  storage::LogStore store;
  FrameKeeper transport;
  IgnoringListener listener;
  std::unique_ptr<Raft> raft;
};

}  // namespace driftlug::consensus
