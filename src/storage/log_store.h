/// Durable Raft state of one controller on a Disk: hard state, log entries and the newest snapshot.
#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

#include "storage/disk.h"
#include "storage/record_file.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::storage {

/// State read from a data folder.
struct RecoveredState {
  wire::HardState hardState;
  std::optional<wire::LogSnapshot> snapshot;
  std::vector<wire::LogEntry> entries;  ///< after the snapshot, without gaps
  bool empty = true;                    ///< the folder contained no state
};

/// State that is copied to the beginning of a new segment.
struct CarriedState {
  wire::HardState hardState;
  std::vector<wire::LogEntry> entries;  ///< after the snapshot
};

/// Appends records to a segment file, with group commit, and replaces old segments by snapshots.
///
/// A segment that is started after a snapshot begins with a carry-over: the hard state and the entries after the
/// snapshot, between two marker records. While the end marker is missing, the segment is ignored, and the previous one
/// may end in unsynced writes. Once the end marker is written, earlier segments are not read.
///
/// Invariants: an entry whose index is not above the last one replaces all entries from that index on; a snapshot is
/// complete and durable before a segment that it replaces is removed; after a failure other than a full disk, failed()
/// is true and nothing more is written.
class LogStore {
 public:
  explicit LogStore(Disk& disk) : disk_(disk) {}

  /// Reads the folder, truncates a torn tail, and starts a new segment for writing.
  /// @return the state, or kStorageCorrupt or kStorageFailed
  absl::StatusOr<RecoveredState> open();

  /// Reads the folder without changing it.
  absl::StatusOr<RecoveredState> inspect();

  /// Makes the state that open() read durable. Nothing may be written before the callback.
  void syncRecovered(SyncCallback done);

  /// Writes entries without a sync. On kStorageFull none of them is kept.
  absl::Status append(const std::vector<wire::LogEntry>& entries);

  /// Same as append() for one entry.
  absl::Status appendOne(const wire::LogEntry& entry);

  /// Writes term, vote and identity without a sync.
  absl::Status saveHardState(const wire::HardState& state);

  /// Calls back when everything written so far is durable. Concurrent calls share one sync.
  void sync(SyncCallback done);

  /// Writes a snapshot, then starts a new segment with the state that `carry` returns once the snapshot is durable,
  /// then removes older files.
  void saveSnapshot(const wire::LogSnapshot& snapshot, std::function<CarriedState()> carry, SyncCallback done);

  /// @return whether a write or sync failed permanently.
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
  int64_t segment_ = 0;                        // number of the current segment
  size_t written_ = 0;                         // bytes written to the current segment
  size_t durable_ = 0;                         // bytes of the current segment known to be durable
  size_t syncTarget_ = 0;                      // bytes that the sync in progress covers
  int64_t syncSegment_ = 0;                    // segment that the sync in progress covers
  bool syncing_ = false;
  bool failed_ = false;
  std::vector<SyncCallback> syncingCallbacks_;  // called after the sync in progress
  std::vector<SyncCallback> queuedCallbacks_;   // called after the next sync
};

}  // namespace driftlug::storage
