/// Durable state of one controller: hard state, log entries and the newest snapshot, on a Disk.
#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

#include "storage/disk.h"
#include "storage/record_file.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::storage {

/// What a data folder held when it was opened.
struct RecoveredState {
  wire::HardState hardState;
  std::optional<wire::LogSnapshot> snapshot;
  std::vector<wire::LogEntry> entries;  ///< behind the snapshot, without gaps
  bool empty = true;                    ///< the folder held no state at all
};

/// State that a new segment begins with.
struct CarriedState {
  wire::HardState hardState;
  std::vector<wire::LogEntry> entries;  ///< behind the snapshot
};

/// Appends records to a segment file, with group commit, and replaces old segments by snapshots.
///
/// A segment that begins with a snapshot takes over all that is behind it, between two marks. Until the second mark is
/// there it counts for nothing, and the one before it may end in writes that were never synced; from then on those
/// before it are not read.
///
/// Invariants: an entry whose index is not above the last one replaces everything from that index on;
/// a snapshot is complete and durable before any segment it replaces is removed; after a failure other than a
/// full disk nothing more is written (failed() holds).
class LogStore {
 public:
  explicit LogStore(Disk& disk) : disk_(disk) {}

  /// Reads the folder, cuts a torn tail, and opens a segment for writing.
  /// @return the state, or kStorageCorrupt / kStorageFailed
  absl::StatusOr<RecoveredState> open();

  /// Reads the folder without changing it.
  absl::StatusOr<RecoveredState> inspect();

  /// Makes all that open() read durable; nothing may be written before the callback.
  void syncRecovered(SyncCallback done);

  /// Writes entries without syncing. On kStorageFull nothing of them remains.
  absl::Status append(const std::vector<wire::LogEntry>& entries);

  /// As append(), of one entry.
  absl::Status appendOne(const wire::LogEntry& entry);

  /// Writes term, vote and identity without syncing.
  absl::Status saveHardState(const wire::HardState& state);

  /// Calls back once all that was written so far is durable; calls that wait share one sync.
  void sync(SyncCallback done);

  /// Writes a snapshot, then starts a new segment with what `carry` returns at that moment, then removes
  /// older files.
  void saveSnapshot(const wire::LogSnapshot& snapshot, std::function<CarriedState()> carry, SyncCallback done);

  /// @return whether a write or sync failed for good.
  bool failed() const { return failed_; }

  /// @return bytes in the current segment.
  size_t segmentBytes() const { return written_; }

 private:
  struct Segment;
  absl::StatusOr<RecoveredState> load(bool repair);
  absl::StatusOr<std::vector<Segment>> scanSegments(const std::vector<int64_t>& numbers);
  absl::Status writeMarker(RecordType type);
  void syncNextRecovered(SyncCallback done);
  absl::Status write(const std::string& bytes);
  void startSync();
  void finishSync(const absl::Status& status);
  void rotate(const CarriedState& carried, int64_t snapshotIndex, const SyncCallback& done);
  void removeOlderThan(int64_t segment, int64_t snapshotIndex);

  Disk& disk_;
  std::vector<std::string> unsyncedSegments_;  // segments read by open() that may not be durable yet
  int64_t segment_ = 0;                        // number of the segment being written
  size_t written_ = 0;                         // bytes of the segment written
  size_t durable_ = 0;                         // bytes of the segment known to be durable
  size_t syncTarget_ = 0;                      // bytes that the sync in progress covers
  int64_t syncSegment_ = 0;                    // segment that the sync in progress covers
  bool syncing_ = false;
  bool failed_ = false;
  std::vector<SyncCallback> syncingCallbacks_;  // served by the sync in progress
  std::vector<SyncCallback> queuedCallbacks_;   // served by the next sync
};

}  // namespace driftlug::storage
