#include <catch2/catch.hpp>

#include "raft_fixture.h"

namespace driftlug::consensus {
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

TEST_CASE_METHOD(LeaderFixture, "an append with other content is encoded again") {
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
  // A member that lost the appends sent so far rejects and requests an earlier index.
  transport.sent.clear();
  wire::AppendResponse behind;
  behind.term = raft->term();
  behind.matchIndex = raft->lastIndex() - 4;
  raft->onMessage("a", behind);
  const auto message = wire::decodeFrame(std::string_view(*transport.sent.at("a").back()).substr(wire::kLengthBytes));
  REQUIRE(message.ok());
  CHECK(std::get<wire::AppendRequest>(*message).entries.size() == 1);
}

TEST_CASE("with announceCommits, followers receive a new commit index immediately") {
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
