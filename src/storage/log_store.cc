#include "storage/log_store.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>

#include "base/error.h"
#include "storage/record_file.h"
#include "wire/frame.h"

namespace driftlug::storage {
namespace {

using base::ErrorCode;
using base::makeError;

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";

std::string numberedName(std::string_view prefix, int64_t number) {
  return std::string(prefix) + absl::StrFormat("%016d", number);
}

std::string segmentName(int64_t number) { return numberedName(kSegmentPrefix, number); }
std::string snapshotName(int64_t index) { return numberedName(kSnapshotPrefix, index); }

/// @return the numbers of the files with a prefix in ascending order, without temporary files.
std::vector<int64_t> numbersOf(const std::vector<std::string>& names, std::string_view prefix) {
  std::vector<int64_t> numbers;
  for (const auto& name : names) {
    int64_t number = 0;
    if (name.rfind(prefix, 0) != 0 || !absl::SimpleAtoi(name.substr(prefix.size()), &number)) continue;
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

absl::Status corrupt(const std::string& name, const std::string& what) {
  return makeError(ErrorCode::kStorageCorrupt, name + ": " + what);
}

/// Adds an entry read from a segment; skips entries that the snapshot covers.
absl::Status addEntry(const std::string& name, wire::LogEntry entry, RecoveredState* state) {
  const int64_t base = state->snapshot ? state->snapshot->index : 0;
  if (entry.index <= base) return absl::OkStatus();
  const int64_t last = base + static_cast<int64_t>(state->entries.size());
  if (entry.index > last + 1) return corrupt(name, "entry " + std::to_string(entry.index) + " follows a gap");
  state->entries.resize(static_cast<size_t>(entry.index - base - 1));
  state->entries.push_back(std::move(entry));
  return absl::OkStatus();
}

absl::Status applyRecord(const std::string& name, const Record& record, RecoveredState* state) {
  if (record.type == RecordType::kCarryBegins || record.type == RecordType::kCarryEnds) return absl::OkStatus();
  state->empty = false;
  if (record.type == RecordType::kHardState) {
    auto hardState = wire::decodeStruct<wire::HardState>(record.payload);
    if (!hardState.ok()) return corrupt(name, "hard state can't be decoded");
    state->hardState = std::move(*hardState);
    return absl::OkStatus();
  }
  if (record.type != RecordType::kEntry) return corrupt(name, "record of an unknown type");
  auto entry = wire::decodeStruct<wire::LogEntry>(record.payload);
  if (!entry.ok()) return corrupt(name, "entry can't be decoded");
  return addEntry(name, std::move(*entry), state);
}

absl::Status readSnapshot(Disk& disk, const std::string& name, RecoveredState* state) {
  const auto bytes = disk.read(name);
  if (!bytes.ok()) return bytes.status();
  const auto scan = scanRecords(*bytes, false);
  if (!scan.ok()) return corrupt(name, std::string(scan.status().message()));
  if (scan->records.size() != 1 || scan->records[0].type != RecordType::kSnapshot) {
    return corrupt(name, "does not consist of one snapshot record");
  }
  auto snapshot = wire::decodeStruct<wire::LogSnapshot>(scan->records[0].payload);
  if (!snapshot.ok()) return corrupt(name, "snapshot can't be decoded");
  state->snapshot = std::move(*snapshot);
  state->empty = false;
  return absl::OkStatus();
}

}  // namespace

/// Content of a segment file.
struct LogStore::Segment {
  std::string name;
  RecordScan scan;
  bool hasCarryOver = false;  // begins with a carry-over, which replaces all earlier segments
  bool carried = false;       // the carry-over is complete
};

/// Reads segments from the newest back to the most recent one with a complete carry-over.
/// @return the segments in ascending order
absl::StatusOr<std::vector<LogStore::Segment>> LogStore::scanSegments(const std::vector<int64_t>& numbers) {
  std::vector<Segment> segments;
  bool mayBeTorn = true;  // set for the newest segment, and for one followed only by empty or incomplete ones
  for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
    Segment segment;
    segment.name = segmentName(*number);
    const auto bytes = disk_.read(segment.name);
    if (!bytes.ok()) return bytes.status();
    auto scan = scanRecords(*bytes, mayBeTorn);
    if (!scan.ok()) return corrupt(segment.name, std::string(scan.status().message()));
    segment.scan = std::move(*scan);
    const auto& records = segment.scan.records;
    segment.hasCarryOver = !records.empty() && records.front().type == RecordType::kCarryBegins;
    segment.carried = segment.hasCarryOver && std::any_of(records.begin(), records.end(), [](const Record& record) {
                        return record.type == RecordType::kCarryEnds;
                      });
    const bool carryOverIncomplete = segment.hasCarryOver && !segment.carried;
    if (carryOverIncomplete && !mayBeTorn) return corrupt(segment.name, "the carry-over is incomplete");
    // No write to this segment was acknowledged; the valid state is in the previous one.
    if (carryOverIncomplete) segment.scan = {{}, 0, true};
    mayBeTorn = mayBeTorn && records.empty();
    const bool complete = segment.carried;
    segments.push_back(std::move(segment));
    if (complete) break;
  }
  std::reverse(segments.begin(), segments.end());
  return segments;
}

absl::StatusOr<RecoveredState> LogStore::load(bool repair) {
  const auto names = disk_.list();
  if (!names.ok()) return names.status();
  RecoveredState state;
  const auto snapshots = numbersOf(*names, kSnapshotPrefix);
  if (!snapshots.empty()) {
    if (auto status = readSnapshot(disk_, snapshotName(snapshots.back()), &state); !status.ok()) return status;
  }
  const auto numbers = numbersOf(*names, kSegmentPrefix);
  segment_ = numbers.empty() ? 0 : numbers.back();
  const auto segments = scanSegments(numbers);
  if (!segments.ok()) return segments.status();
  unsyncedSegments_.clear();
  for (const auto& segment : *segments) {
    unsyncedSegments_.push_back(segment.name);
    for (const auto& record : segment.scan.records) {
      if (auto status = applyRecord(segment.name, record, &state); !status.ok()) return status;
    }
    if (segment.scan.tornTail && repair) {
      if (auto status = disk_.truncate(segment.name, segment.scan.validBytes); !status.ok()) return status;
    }
  }
  return state;
}

absl::StatusOr<RecoveredState> LogStore::open() {
  auto state = load(true);
  if (!state.ok()) return state;
  // With a new segment, only the newest one can have a torn tail: syncRecovered() syncs the others before it is
  // written.
  ++segment_;
  written_ = 0;
  durable_ = 0;
  return state;
}

absl::StatusOr<RecoveredState> LogStore::inspect() { return load(false); }

absl::Status LogStore::write(const std::string& bytes) {
  if (failed_) return makeError(ErrorCode::kStorageFailed, "storage failed earlier");
  const auto name = segmentName(segment_);
  auto status = disk_.append(name, bytes);
  if (status.ok()) {
    written_ += bytes.size();
    return status;
  }
  const bool undone = disk_.truncate(name, written_).ok();
  if (!undone || base::errorCodeOf(status) != ErrorCode::kStorageFull) failed_ = true;
  return status;
}

absl::Status LogStore::append(const std::vector<wire::LogEntry>& entries) {
  std::string bytes;
  for (const auto& entry : entries) bytes += encodeRecord(RecordType::kEntry, wire::encodeStruct(entry), durable_);
  return write(bytes);
}

absl::Status LogStore::appendOne(const wire::LogEntry& entry) {
  return write(encodeRecord(RecordType::kEntry, wire::encodeStruct(entry), durable_));
}

absl::Status LogStore::saveHardState(const wire::HardState& state) {
  return write(encodeRecord(RecordType::kHardState, wire::encodeStruct(state), durable_));
}

absl::Status LogStore::writeMarker(RecordType type) { return write(encodeRecord(type, "", durable_)); }

void LogStore::sync(SyncCallback done) {
  queuedCallbacks_.push_back(std::move(done));
  if (!syncing_) startSync();
}

void LogStore::startSync() {
  syncing_ = true;
  syncingCallbacks_.swap(queuedCallbacks_);
  syncTarget_ = written_;
  syncSegment_ = segment_;
  disk_.sync(segmentName(segment_), [this](const absl::Status& status) { finishSync(status); });
}

void LogStore::finishSync(const absl::Status& status) {
  syncing_ = false;
  if (!status.ok()) failed_ = true;
  if (status.ok() && syncSegment_ == segment_) durable_ = std::max(durable_, syncTarget_);
  std::vector<SyncCallback> callbacks;
  callbacks.swap(syncingCallbacks_);
  for (const auto& done : callbacks) done(status);
  if (!queuedCallbacks_.empty() && !syncing_) startSync();
}

void LogStore::syncRecovered(SyncCallback done) {
  // Without a segment, the sync still covers the directory entries.
  if (unsyncedSegments_.empty()) unsyncedSegments_.push_back(segmentName(segment_));
  syncNextRecovered(std::move(done));
}

void LogStore::syncNextRecovered(SyncCallback done) {
  // Every segment is synced: a process that died while it started the newest one left its entries in the previous one.
  const auto name = unsyncedSegments_.back();
  unsyncedSegments_.pop_back();
  disk_.sync(name, [this, done = std::move(done)](const absl::Status& status) {
    if (!status.ok() || unsyncedSegments_.empty()) return done(status);
    syncNextRecovered(done);
  });
}

void LogStore::saveSnapshot(const wire::LogSnapshot& snapshot, std::function<CarriedState()> carry, SyncCallback done) {
  const auto name = snapshotName(snapshot.index);
  const auto temporary = name + std::string(kTemporarySuffix);
  (void)disk_.remove(temporary);
  const auto status = disk_.append(temporary, encodeRecord(RecordType::kSnapshot, wire::encodeStruct(snapshot), 0));
  if (!status.ok()) {
    (void)disk_.remove(temporary);
    done(status);
    return;
  }
  disk_.sync(temporary, [this, name, temporary, index = snapshot.index, carry = std::move(carry),
                         done = std::move(done)](absl::Status synced) {
    if (synced.ok()) synced = disk_.rename(temporary, name);
    if (!synced.ok()) return done(synced);
    rotate(carry(), index, done);
  });
}

void LogStore::rotate(const CarriedState& carried, int64_t snapshotIndex, const SyncCallback& done) {
  const int64_t previousSegment = segment_;
  const size_t previousWritten = written_;
  const size_t previousDurable = durable_;
  ++segment_;
  written_ = 0;
  durable_ = 0;
  auto status = writeMarker(RecordType::kCarryBegins);
  if (status.ok()) status = saveHardState(carried.hardState);
  if (status.ok()) status = append(carried.entries);
  if (status.ok()) status = writeMarker(RecordType::kCarryEnds);
  if (!status.ok()) {
    (void)disk_.remove(segmentName(segment_));
    segment_ = previousSegment;
    written_ = previousWritten;
    durable_ = previousDurable;
    return done(status);
  }
  sync([this, snapshotIndex, segment = segment_, done](const absl::Status& rotated) {
    if (rotated.ok()) removeOlderThan(segment, snapshotIndex);
    done(rotated);
  });
}

void LogStore::removeOlderThan(int64_t segment, int64_t snapshotIndex) {
  const auto names = disk_.list();
  if (!names.ok()) return;
  for (const auto number : numbersOf(*names, kSegmentPrefix)) {
    if (number < segment) (void)disk_.remove(segmentName(number));
  }
  for (const auto index : numbersOf(*names, kSnapshotPrefix)) {
    if (index < snapshotIndex) (void)disk_.remove(snapshotName(index));
  }
}

}  // namespace driftlug::storage
