/// A disk that loses what was not synced: torn appends, renames undone, full and failing.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "simulation/process.h"
#include "storage/disk.h"

namespace driftlug::simulation {

/// Times and limits of a disk.
struct DiskOptions {
  base::Duration syncShortest = base::microseconds(200);
  base::Duration syncLongest = base::microseconds(800);
};

/// The files of one machine; outlives the process that uses them.
///
/// Invariants: what a sync that ended with success covered is there after a crash; what was written later may be
/// there in part.
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

  /// The machine lost power: unsynced changes survive in part.
  void crash();

  /// The disk was lost; a blank one takes its place.
  void wipe();

  /// Lets writes fail for lack of room.
  void setFull(bool full) { full_ = full; }

  /// Sets what is called when a file has been renamed; may be empty.
  void onRename(std::function<void()> handler) { onRename_ = std::move(handler); }

  /// Lets syncs fail.
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
