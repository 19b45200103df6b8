#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

#include "controller_host.h"

namespace driftlug::controller {
namespace {

using simulation::EventQueue;
using simulation::SimulatedNetwork;
using test::Host;

/// Four machines in four zones; the first three are the seeds of all.
struct Fixture {
  explicit Fixture(int machines = 4, size_t minVoters = 3, const simulation::NetworkOptions& options = {})
      : network(queue, base::RandomSource(7), options), minVoters(minVoters) {
    constexpr int kZones = 4;
    for (int i = 1; i <= machines; ++i) {
      add("10.0.0." + std::to_string(i), "zone-" + std::to_string((i - 1) % kZones + 1));
    }
    for (const auto& host : hosts) host->start(seeds, true, minVoters);
    runFor(base::seconds(3));
  }

  Host& add(const std::string& ip, const std::string& zone) {
    hosts.push_back(std::make_unique<Host>(queue, network, ip, zone, hosts.size() + 1));
    return *hosts.back();
  }

  void runFor(base::Duration duration) {
    const auto until = queue.now() + duration;
    while (queue.runNext(until)) {
    }
  }

  Host* leader() {
    for (const auto& host : hosts) {
      if (host->running() && host->controller().leads()) return host.get();
    }
    return nullptr;
  }

  size_t voters() {
    const auto* found = leader();
    if (found == nullptr) return 0;
    const auto& members = leader()->controller().raft().members();
    return static_cast<size_t>(
        std::count_if(members.begin(), members.end(), [](const auto& member) { return member.voting; }));
  }

  bool votes(const std::string& ip) {
    const auto& members = leader()->controller().raft().members();
    return std::any_of(members.begin(), members.end(), [&](const auto& m) { return m.voting && m.address == ip; });
  }

  /// Writes a note row.
  /// @return whether the edit was accepted
  bool edit(const std::string& name) {
    wire::EditCommand command;
    command.requestId = name;
    wire::Mutation mutation;
    mutation.row.key = table::makeKey(wire::RowKind::NOTE, name);
    mutation.row.__isset.noteRow = true;
    mutation.row.noteRow.text = "kept";
    command.mutations.push_back(mutation);
    bool accepted = false;
    if (leader() == nullptr) return false;
    leader()->controller().submitEdit(
        command, [&](const EditAnswer& answer) { accepted = answer.code == base::ErrorCode::kNone; });
    runFor(base::seconds(1));
    return accepted;
  }

  bool holds(const std::string& name) {
    if (leader() == nullptr) return false;
    return leader()->controller().state().table().find(table::makeKey(wire::RowKind::NOTE, name)) != nullptr;
  }

  EventQueue queue;
  SimulatedNetwork network;
  size_t minVoters;
  std::vector<std::string> seeds{"10.0.0.1", "10.0.0.2", "10.0.0.3"};
  std::vector<std::unique_ptr<Host>> hosts;
};

/// Seven machines that tolerate the loss of two with their disks.
struct SevenMachines : Fixture {
  SevenMachines() : Fixture(7, 5) {}

  /// Partitions the hosts from `first` on from those before it, or heals the partition.
  void setPartition(size_t first, bool cut) {
    for (size_t i = 0; i < first; ++i) {
      for (size_t j = first; j < hosts.size(); ++j) {
        network.setCut(hosts[i]->ip(), hosts[j]->ip(), cut);
        network.setCut(hosts[j]->ip(), hosts[i]->ip(), cut);
      }
    }
  }
};

/// Eleven machines with a message delay of 80 ms, as on small processors that are busy while all processes start.
struct ElevenSlowMachines : Fixture {
  ElevenSlowMachines() : Fixture(11, 5, slow()) {}

  static simulation::NetworkOptions slow() {
    simulation::NetworkOptions options;
    options.sameZone = base::milliseconds(80);
    options.betweenZones = base::milliseconds(80);
    return options;
  }
};

}  // namespace

TEST_CASE_METHOD(ElevenSlowMachines,
                 "slow controllers elect a leader within a few terms after all of them lost power") {
  REQUIRE(leader() != nullptr);
  const auto before = leader()->controller().raft().term();
  for (const auto& host : hosts) host->losePower();
  for (const auto& host : hosts) host->start(seeds, false, minVoters);
  runFor(base::seconds(3));
  REQUIRE(leader() != nullptr);
  CHECK(leader()->controller().raft().term() <= before + 3);
  CHECK(edit("after"));
}

TEST_CASE_METHOD(SevenMachines, "all controllers are voters if their number is odd") {
  REQUIRE(leader() != nullptr);
  CHECK(voters() == 7);
}

TEST_CASE_METHOD(SevenMachines, "accepted edits survive the loss of two disks while all controllers lose power") {
  REQUIRE(edit("accepted"));
  Host* first = leader();
  Host* second = hosts[0].get() == first ? hosts[1].get() : hosts[0].get();
  for (const auto& host : hosts) host->losePower();
  first->loseDisk();
  second->loseDisk();
  for (const auto& host : hosts) host->start(seeds, false, minVoters);
  runFor(base::seconds(5));
  REQUIRE(leader() != nullptr);
  CHECK(holds("accepted"));
  CHECK(voters() == 7);
  CHECK(edit("after"));
}

TEST_CASE_METHOD(SevenMachines, "any majority of the controllers keeps accepting edits") {
  for (const size_t first : {size_t{3}, size_t{4}}) {
    setPartition(first, true);
    runFor(base::seconds(3));
    REQUIRE(leader() != nullptr);
    CHECK(edit("while-cut-" + std::to_string(first)));
    setPartition(first, false);
    runFor(base::seconds(3));
    REQUIRE(leader() != nullptr);
  }
}

TEST_CASE_METHOD(Fixture,
                 "the seeds form a cluster in which all of them vote, and a further controller stays a learner") {
  REQUIRE(leader() != nullptr);
  CHECK(voters() == 3);
  CHECK(leader()->controller().raft().members().size() == 4);
  CHECK(!leader()->controller().raft().forming());
}

TEST_CASE_METHOD(Fixture, "accepted edits survive the loss of one disk while all controllers lose power") {
  REQUIRE(edit("accepted"));
  auto* wiped = leader();
  for (const auto& host : hosts) host->losePower();
  wiped->loseDisk();
  for (const auto& host : hosts) host->start(seeds, false);
  runFor(base::seconds(5));
  REQUIRE(leader() != nullptr);
  CHECK(holds("accepted"));
  CHECK(voters() == 3);
}

TEST_CASE_METHOD(Fixture, "a controller that lost its disk votes again under another identity") {
  Host* follower = hosts[0].get() == leader() ? hosts[1].get() : hosts[0].get();
  follower->losePower();
  follower->loseDisk();
  follower->start(seeds, false);
  runFor(base::seconds(4));
  CHECK(voters() == 3);
  REQUIRE(edit("after"));
  // The cluster now tolerates the loss of a second controller.
  Host* second = hosts[2].get() == leader() ? hosts[1].get() : hosts[2].get();
  second->losePower();
  runFor(base::seconds(2));
  CHECK(edit("after-the-second"));
}

TEST_CASE_METHOD(Fixture, "a controller at a new address replaces one that is lost permanently") {
  leader()->losePower();
  runFor(base::seconds(1));
  auto& replacement = add("10.0.0.9", "zone-1");
  replacement.start({"10.0.0.2", "10.0.0.3", "10.0.0.4"}, false);
  runFor(base::seconds(8));
  REQUIRE(leader() != nullptr);
  CHECK(voters() == 3);
  CHECK(edit("after"));
  CHECK(holds("after"));
}

TEST_CASE_METHOD(Fixture, "a new controller discovers the cluster through a single seed") {
  leader()->losePower();
  runFor(base::seconds(8));
  REQUIRE(voters() == 3);
  auto& newcomer = add("10.0.0.9", "zone-1");
  newcomer.start({"10.0.0.4"}, false);
  runFor(base::seconds(4));
  const auto& members = leader()->controller().raft().members();
  CHECK(std::any_of(members.begin(), members.end(), [](const auto& m) { return m.address == "10.0.0.9"; }));
}

namespace {

/// Machines that are started by the test.
struct NewCluster : Fixture {
  NewCluster() : Fixture(0) {}

  void addMachines(int count) {
    for (int i = 1; i <= count; ++i) {
      add("10.0.0." + std::to_string(i), "zone-" + std::to_string((i - 1) % 4 + 1));
    }
  }

  void startAll() {
    for (const auto& host : hosts) host->start(seeds, true, minVoters);
  }

  /// Sends an edit every 5 ms to whoever leads, until it is accepted or the time is up.
  /// @return the host that accepted it, or null
  Host* editUntilAccepted(const std::string& name, base::Duration limit) {
    Host* accepted = nullptr;
    const auto until = queue.now() + limit;
    while (accepted == nullptr && queue.now() < until) {
      wire::EditCommand command;
      command.requestId = name;
      wire::Mutation mutation;
      mutation.row.key = table::makeKey(wire::RowKind::NOTE, name);
      mutation.row.__isset.noteRow = true;
      mutation.row.noteRow.text = "kept";
      command.mutations.push_back(mutation);
      for (const auto& host : hosts) {
        if (!host->running() || !host->controller().leads()) continue;
        host->controller().submitEdit(command, [&, found = host.get()](const EditAnswer& answer) {
          if (answer.code == base::ErrorCode::kNone) accepted = found;
        });
      }
      runFor(base::milliseconds(5));
    }
    return accepted;
  }
};

}  // namespace

// Guards against an edit that is acknowledged on one disk, and is lost with it.
TEST_CASE_METHOD(NewCluster,
                 "an edit that a new cluster has accepted survives the loss of as many disks as it tolerates") {
  const size_t disks = GENERATE(size_t{1}, size_t{2});
  minVoters = 2 * disks + 1;
  addMachines(disks == 1 ? 5 : 7);
  startAll();
  Host* struck = editUntilAccepted("first", base::seconds(20));
  REQUIRE(struck != nullptr);
  std::vector<Host*> lost{struck};
  for (const auto& host : hosts) {
    if (lost.size() < disks && host.get() != struck) lost.push_back(host.get());
  }
  for (auto* host : lost) host->losePower();
  for (auto* host : lost) host->loseDisk();
  runFor(base::seconds(3));
  for (auto* host : lost) host->start(seeds, false, minVoters);
  runFor(base::seconds(10));
  REQUIRE(leader() != nullptr);
  CHECK(holds("first"));
}

// Guards against a cluster that is formed for ever, with too few voters.
TEST_CASE_METHOD(NewCluster, "other controllers take the place of a seed that is lost while the cluster is formed") {
  addMachines(5);
  startAll();
  const auto lostAfter = base::milliseconds(GENERATE(0, 20, 60, 100, 150, 200, 250, 300, 400, 600));
  runFor(lostAfter);
  hosts[2]->losePower();
  runFor(base::seconds(1));
  add("10.0.0.9", "zone-3").start({"10.0.0.1", "10.0.0.2", "10.0.0.4"}, false);
  REQUIRE(editUntilAccepted("first", base::seconds(20)) != nullptr);
  runFor(base::seconds(15));
  REQUIRE(leader() != nullptr);
  CHECK_FALSE(leader()->controller().raft().forming());
  CHECK(voters() >= 3);
  Host* struck = leader();
  struck->losePower();
  struck->loseDisk();
  runFor(base::seconds(2));
  struck->start({"10.0.0.1", "10.0.0.2", "10.0.0.4"}, false);
  runFor(base::seconds(10));
  CHECK(holds("first"));
}

TEST_CASE_METHOD(NewCluster, "a cluster is formed without a seed that never starts, if there are other controllers") {
  addMachines(5);
  for (const size_t host : {0, 1, 3, 4}) hosts[host]->start(seeds, true);
  CHECK(editUntilAccepted("first", base::seconds(20)) != nullptr);
  CHECK(voters() == 3);
}

// Guards against a fleet that can't start because one of its machines is late.
TEST_CASE_METHOD(NewCluster, "three controllers of which one starts late accept edits once it is there") {
  addMachines(3);
  const size_t late = GENERATE(size_t{0}, size_t{1}, size_t{2});
  for (size_t host = 0; host < hosts.size(); ++host) {
    if (host != late) hosts[host]->start(seeds, true);
  }
  CHECK(editUntilAccepted("first", base::seconds(10)) == nullptr);
  hosts[late]->start(seeds, true);
  CHECK(editUntilAccepted("first", base::seconds(5)) != nullptr);
  CHECK(voters() == 3);
}

TEST_CASE_METHOD(NewCluster, "a single controller accepts edits, also where one of several could be lost") {
  add("10.0.0.1", "zone-1").start({"10.0.0.1"}, true, 3);
  REQUIRE(editUntilAccepted("first", base::seconds(5)) != nullptr);
  hosts[0]->losePower();
  hosts[0]->start({"10.0.0.1"}, false, 3);
  CHECK(editUntilAccepted("second", base::seconds(1)) != nullptr);
  CHECK(holds("first"));
}

}  // namespace driftlug::controller
