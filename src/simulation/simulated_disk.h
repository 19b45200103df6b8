/// A simulated disk that can lose unsynced data (torn appends, undone renames), run full or fail.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "simulation/process.h"
#include "storage/disk.h"

namespace driftlug::simulation {

/// Latency of the syncs of a disk.
struct DiskOptions {
  base::Duration syncShortest = base::microseconds(200);
  base::Duration syncLongest = base::microseconds(800);
};

/// The disk of one machine; outlives the process that uses it.
///
/// Invariants: data that a successful sync covered survives a crash; data written later may survive in part.
class SimulatedDisk : public storage::Disk {
 public:
  SimulatedDisk(Process& process, base::RandomSource random, DiskOptions options)
      : process_(process), random_(random), options_(options) {}

  // storage::Disk
  absl::StatusOr<std::vector<std::string>> list() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, size_t size) override;
  absl::Status rename(const std::string& from, const std::string& to) override;
  absl::Status remove(const std::string& name) override;
  void sync(const std::string& name, storage::SyncCallback done) override;

  /// Simulates a power loss: unsynced changes survive in part.
  void crash();

  /// Replaces the disk by a blank one.
  void wipe();

  /// Sets whether appends fail for lack of space.
  void setFull(bool full) { full_ = full; }

  /// Sets a handler that is called after each rename; may be empty.
  void onRename(std::function<void()> handler) { onRename_ = std::move(handler); }

  /// Sets whether syncs fail.
  void setFailing(bool failing) { failing_ = failing; }

 private:
  struct File {
    std::string current;
    std::string durable;
  };
  using FilePtr = std::shared_ptr<File>;
  using Folder = std::map<std::string, FilePtr>;

  void recover(File* file);

  Process& process_;
  base::RandomSource random_;
  DiskOptions options_;
  Folder current_;
  Folder durable_;
  std::function<void()> onRename_;
  bool full_ = false;
  bool failing_ = false;
};

}  // namespace driftlug::simulation
