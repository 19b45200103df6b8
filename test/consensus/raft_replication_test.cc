#include <catch2/catch.hpp>
#include <map>

#include "consensus/raft.h"
#include "memory_disk.h"
#include "simulation/process.h"

namespace driftlug::consensus {
namespace {

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

wire::Member memberOf(const std::string& id, bool voting) {
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

}  // namespace

TEST_CASE_METHOD(LeaderFixture, "an entry is encoded once for all members at the same place of the log") {
  transport.sent.clear();
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::NOOP;
  REQUIRE(raft->propose(entry).ok());
  REQUIRE(transport.sent.size() == 3);
  const auto& first = transport.sent.at("a").front();
  CHECK(transport.sent.at("b").front() == first);
  CHECK(transport.sent.at("c").front() == first);
}

TEST_CASE_METHOD(LeaderFixture, "what is sent later says something else, and is encoded anew") {
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::NOOP;
  REQUIRE(raft->propose(entry).ok());
  const auto earlier = transport.sent.at("a").back();
  settle();
  REQUIRE(raft->propose(entry).ok());
  CHECK(transport.sent.at("a").back() != earlier);
  const auto message = wire::decodeFrame(std::string_view(*transport.sent.at("a").back()).substr(wire::kLengthBytes));
  REQUIRE(message.ok());
  const auto& request = std::get<wire::AppendRequest>(*message);
  CHECK(request.entries.size() == 1);
  CHECK(request.entries.front().index == raft->lastIndex());
}

TEST_CASE_METHOD(LeaderFixture, "an append holds a bounded number of rows, whatever a member lacks") {
  constexpr size_t kRows = 3000;
  for (int i = 0; i < 4; ++i) {
    wire::LogEntry entry;
    entry.kind = wire::EntryKind::EDIT;
    entry.__isset.edit = true;
    entry.edit.mutations.resize(kRows);
    REQUIRE(raft->propose(entry).ok());
  }
  // A member that has lost what was sent asks from an earlier place.
  transport.sent.clear();
  wire::AppendResponse behind;
  behind.term = raft->term();
  behind.matchIndex = raft->lastIndex() - 4;
  raft->onMessage("a", behind);
  const auto message = wire::decodeFrame(std::string_view(*transport.sent.at("a").back()).substr(wire::kLengthBytes));
  REQUIRE(message.ok());
  CHECK(std::get<wire::AppendRequest>(*message).entries.size() == 1);
}

TEST_CASE("followers are told of a commit at once where they serve from what they apply") {
  RaftOptions options;
  options.announceCommits = true;
  LeaderFixture leader(options);
  wire::LogEntry entry;
  entry.kind = wire::EntryKind::NOOP;
  REQUIRE(leader.raft->propose(entry).ok());
  leader.transport.sent.clear();
  leader.disk.finishSyncs();
  const auto before = leader.queue.now();
  while (leader.queue.runNext(before)) {
  }
  REQUIRE(leader.transport.sent.size() == 3);
  const auto& frame = leader.transport.sent.at("a").front();
  const auto message = wire::decodeFrame(std::string_view(*frame).substr(wire::kLengthBytes));
  REQUIRE(message.ok());
  CHECK(std::get<wire::AppendRequest>(*message).commitIndex == leader.raft->lastIndex());
}

}  // namespace driftlug::consensus
