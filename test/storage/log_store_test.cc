#include "storage/log_store.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "base/error.h"
#include "memory_disk.h"
#include "simulation/process.h"
#include "simulation/simulated_disk.h"
#include "storage/record_file.h"
#include "wire/frame.h"

using namespace driftlug;

namespace {

wire::LogEntry entry(int64_t index, int64_t term) {
  wire::LogEntry entry;
  entry.index = index;
  entry.term = term;
  entry.kind = wire::EntryKind::NOOP;
  return entry;
}

storage::RecoveredState reopen(test::MemoryDisk& disk) {
  storage::LogStore store(disk);
  auto state = store.open();
  REQUIRE(state.ok());
  return *state;
}

}  // namespace

TEST_CASE("entries and hard state are recovered; later entries replace a cut suffix") {
  test::MemoryDisk disk;
  storage::LogStore store(disk);
  REQUIRE(store.open().ok());
  wire::HardState hard;
  hard.term = 3;
  hard.identity = "c1-x";
  REQUIRE(store.saveHardState(hard).ok());
  REQUIRE(store.append({entry(1, 1), entry(2, 1), entry(3, 1)}).ok());
  REQUIRE(store.append({entry(2, 2)}).ok());
  const auto state = reopen(disk);
  CHECK(state.hardState.identity == "c1-x");
  REQUIRE(state.entries.size() == 2);
  CHECK(state.entries[1].term == 2);
}

TEST_CASE("concurrent calls of sync() share one sync") {
  test::MemoryDisk disk;
  storage::LogStore store(disk);
  REQUIRE(store.open().ok());
  int done = 0;
  const auto count = [&done](const absl::Status&) { ++done; };
  REQUIRE(store.append({entry(1, 1)}).ok());
  store.sync(count);
  store.sync(count);
  store.sync(count);
  CHECK(disk.pending.size() == 1);
  disk.finishSyncs();
  CHECK(done == 3);
}

TEST_CASE("a full disk refuses entries and keeps those already written") {
  test::MemoryDisk disk;
  storage::LogStore store(disk);
  REQUIRE(store.open().ok());
  REQUIRE(store.append({entry(1, 1)}).ok());
  disk.capacity = store.segmentBytes() + 10;
  CHECK(base::errorCodeOf(store.append({entry(2, 1)})) == base::ErrorCode::kStorageFull);
  CHECK_FALSE(store.failed());
  disk.capacity = SIZE_MAX;
  REQUIRE(store.append({entry(2, 1)}).ok());
  CHECK(reopen(disk).entries.size() == 2);
}

TEST_CASE("a failed sync disables writing permanently") {
  test::MemoryDisk disk;
  storage::LogStore store(disk);
  REQUIRE(store.open().ok());
  disk.syncResult = base::makeError(base::ErrorCode::kStorageFailed, "broken");
  absl::Status seen;
  store.sync([&seen](const absl::Status& status) { seen = status; });
  disk.finishSyncs();
  CHECK_FALSE(seen.ok());
  CHECK(base::errorCodeOf(store.append({entry(1, 1)})) == base::ErrorCode::kStorageFailed);
}

TEST_CASE("a snapshot replaces older segments and keeps entries written meanwhile") {
  test::MemoryDisk disk;
  storage::LogStore store(disk);
  REQUIRE(store.open().ok());
  std::vector<wire::LogEntry> log = {entry(1, 1), entry(2, 1), entry(3, 1)};
  REQUIRE(store.append(log).ok());
  wire::LogSnapshot snapshot;
  snapshot.index = 2;
  snapshot.term = 1;
  snapshot.state = "state";
  bool saved = false;
  store.saveSnapshot(
      snapshot,
      [&] {
        return storage::CarriedState{{}, {log.begin() + 2, log.end()}};
      },
      [&](const absl::Status& status) { saved = status.ok(); });
  log.push_back(entry(4, 1));
  REQUIRE(store.append({log.back()}).ok());
  disk.finishSyncs();
  REQUIRE(saved);
  const auto state = reopen(disk);
  REQUIRE(state.snapshot);
  CHECK(state.snapshot->state == "state");
  REQUIRE(state.entries.size() == 2);
  CHECK(state.entries.back().index == 4);
  CHECK(disk.files.size() <= 3);
}

TEST_CASE("syncRecovered() syncs all segments that open() read") {
  test::MemoryDisk disk;
  // The process died while it started the second segment: the entries are only in the first one, unsynced.
  for (const int64_t index : {1, 2, 3}) {
    const auto payload = wire::encodeStruct(entry(index, 1));
    disk.files["log-0000000000000001"] += storage::encodeRecord(storage::RecordType::kEntry, payload, 0);
  }
  disk.files["log-0000000000000002"] = "";
  storage::LogStore store(disk);
  const auto state = store.open();
  REQUIRE(state.ok());
  REQUIRE(state->entries.size() == 3);
  bool recoveredSynced = false;
  store.syncRecovered([&](const absl::Status& status) { recoveredSynced = status.ok(); });
  CHECK_FALSE(recoveredSynced);
  disk.finishSyncs();
  CHECK(recoveredSynced);
  CHECK(std::count(disk.synced.begin(), disk.synced.end(), "log-0000000000000001") == 1);
  CHECK(std::count(disk.synced.begin(), disk.synced.end(), "log-0000000000000002") == 1);
}

TEST_CASE("a log can be opened after a loss of power while a segment was started") {
  constexpr uint64_t kSeeds = 200;  // each determines which unsynced writes survive the loss of power
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    simulation::EventQueue queue;
    simulation::Process process(queue, "controller", {"zone-1", "region"}, {"10.0.0.1", 7000});
    process.start();
    simulation::SimulatedDisk disk(process, base::RandomSource(seed), {});
    const auto runUntil = [&queue](const bool& done) {
      while (!done && queue.runNext(queue.now() + base::seconds(1))) {
      }
    };
    storage::LogStore store(disk);
    REQUIRE(store.open().ok());
    std::vector<wire::LogEntry> log = {entry(1, 1), entry(2, 1), entry(3, 1)};
    REQUIRE(store.append(log).ok());
    bool synced = false;
    store.sync([&](const absl::Status& status) { synced = status.ok(); });
    runUntil(synced);
    wire::LogSnapshot snapshot;
    snapshot.index = 2;
    snapshot.term = 1;
    bool begun = false;
    const auto carry = [&] {
      begun = true;
      return storage::CarriedState{{}, {log.begin() + 2, log.end()}};
    };
    store.saveSnapshot(snapshot, carry, [](const absl::Status&) {});
    log.push_back(entry(4, 1));  // not synced when the segment is started
    REQUIRE(store.append({log.back()}).ok());
    runUntil(begun);
    process.kill();
    disk.crash();
    storage::LogStore next(disk);
    const auto state = next.open();
    INFO("seed " << seed << ": " << base::errorText(state.status()));
    CHECK(state.ok());
    if (!state.ok()) continue;
    REQUIRE(!state->entries.empty());
    CHECK(state->entries.back().index >= 3);
  }
}

namespace {

/// A log on a disk that loses power; tracks the acknowledged entries.
struct PowerLossLog {
  explicit PowerLossLog(uint64_t seed)
      : process(queue, "controller", {"zone-1", "region"}, {"10.0.0.1", 7000}),
        disk(process, base::RandomSource(seed), {}) {
    process.start();
    reopen();
  }

  void reopen() {
    store = std::make_unique<storage::LogStore>(disk);
    const auto state = store->open();
    INFO(base::errorText(state.status()));
    REQUIRE(state.ok());
    entries = state->entries;
    const int64_t base = state->snapshot ? state->snapshot->index : 0;
    CHECK(base + static_cast<int64_t>(entries.size()) >= acknowledged);
    last = base + static_cast<int64_t>(entries.size());
    bool recoveredSynced = false;
    store->syncRecovered([&](const absl::Status& status) { recoveredSynced = status.ok(); });
    while (!recoveredSynced && queue.runNext(queue.now() + base::seconds(1))) {
    }
    REQUIRE(recoveredSynced);
    acknowledged = last;
  }

  void append() {
    entries.push_back(entry(++last, 1));
    REQUIRE(store->append({entries.back()}).ok());
    store->sync([this, index = last](const absl::Status& status) {
      if (status.ok()) acknowledged = std::max(acknowledged, index);
    });
  }

  /// Replaces all but the last three entries by a snapshot.
  void rotate() {
    wire::LogSnapshot snapshot;
    snapshot.index = last - 3;
    snapshot.term = 1;
    store->saveSnapshot(
        snapshot,
        [this, index = snapshot.index] {
          storage::CarriedState carried;
          for (const auto& kept : entries) {
            if (kept.index > index) carried.entries.push_back(kept);
          }
          return carried;
        },
        [](const absl::Status&) {});
  }

  void losePower() {
    process.kill();
    disk.crash();
    process.start();
  }

  simulation::EventQueue queue;
  simulation::Process process;
  simulation::SimulatedDisk disk;
  std::unique_ptr<storage::LogStore> store;
  std::vector<wire::LogEntry> entries;
  int64_t last = 0;
  int64_t acknowledged = 0;
};

}  // namespace

TEST_CASE("power may be lost at any step of a rotation, and of the next one") {
  constexpr uint64_t kSeeds = 40;
  constexpr int kSteps = 12;  // more events than a rotation has
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (int steps = 0; steps < kSteps; ++steps) {
      INFO("seed " << seed << ", power lost after event " << steps);
      PowerLossLog log(seed);
      for (int round = 0; round < 3; ++round) {
        for (int i = 0; i < 5; ++i) log.append();
        log.rotate();
        for (int i = 0; i < steps; ++i) {
          if (i % 2 == 0) log.append();
          log.queue.runNext(log.queue.now() + base::milliseconds(10));
        }
        log.losePower();
        log.reopen();
      }
    }
  }
}

TEST_CASE("a folder of segments without carry-over markers can be opened") {
  test::MemoryDisk disk;
  const auto record = [](int64_t index) {
    return storage::encodeRecord(storage::RecordType::kEntry, wire::encodeStruct(entry(index, 1)), 0);
  };
  disk.files["log-0000000000000001"] = record(1) + record(2);
  disk.files["log-0000000000000002"] = record(3);
  CHECK(reopen(disk).entries.size() == 3);
  disk.files["log-0000000000000001"].pop_back();
  storage::LogStore store(disk);
  CHECK(base::errorCodeOf(store.open().status()) == base::ErrorCode::kStorageCorrupt);
}

/// Three entries, of which a snapshot replaces two; the second segment carries over the third.
struct CarryOverFixture {
  CarryOverFixture() : store(disk) {
    REQUIRE(store.open().ok());
    const std::vector<wire::LogEntry> log = {entry(1, 1), entry(2, 1), entry(3, 1)};
    REQUIRE(store.append(log).ok());
    before = disk.files["log-0000000000000001"];
    wire::LogSnapshot snapshot;
    snapshot.index = 2;
    snapshot.term = 1;
    store.saveSnapshot(
        snapshot,
        [&] {
          return storage::CarriedState{{}, {log.begin() + 2, log.end()}};
        },
        [](const absl::Status&) {});
    disk.finishSyncs();
  }

  test::MemoryDisk disk;
  storage::LogStore store;
  std::string before;  // the first segment
};

TEST_CASE_METHOD(CarryOverFixture, "a removed segment that reappears after a loss of power is not read") {
  REQUIRE(disk.files.count("log-0000000000000001") == 0);
  // Neither the removal of the segment nor its last write was durable.
  disk.files["log-0000000000000001"] = before.substr(0, before.size() - 1);
  const auto state = reopen(disk);
  REQUIRE(state.entries.size() == 1);
  CHECK(state.entries[0].index == 3);
}

TEST_CASE_METHOD(CarryOverFixture,
                 "damage in a carry-over is an error once a later record proves that it was durable") {
  REQUIRE(store.append({entry(4, 1)}).ok());
  disk.files["log-0000000000000002"][40] ^= 1;
  storage::LogStore damaged(disk);
  CHECK(base::errorCodeOf(damaged.open().status()) == base::ErrorCode::kStorageCorrupt);
}

TEST_CASE("a last segment that a crash cut off at any byte is recovered") {
  test::MemoryDisk disk;
  storage::LogStore store(disk);
  REQUIRE(store.open().ok());
  for (int64_t index = 1; index <= 20; ++index) REQUIRE(store.append({entry(index, 1)}).ok());
  const auto name = disk.files.begin()->first;
  const auto bytes = disk.files.begin()->second;
  size_t previous = 0;
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    test::MemoryDisk crashed;
    crashed.files[name] = bytes.substr(0, cut);
    const auto state = reopen(crashed);
    CHECK(state.entries.size() >= previous);
    previous = state.entries.size();
  }
  CHECK(previous == 20);
}
