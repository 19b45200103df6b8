/// Disk implementation on the local file system.
#pragma once

#include <map>
#include <string>

#include "base/time.h"
#include "storage/disk.h"

namespace driftlug::storage {

/// Disk on a folder of the file system. sync() is scheduled without delay, so that everything written before it runs is
/// covered by one fdatasync.
class PosixDisk : public Disk {
 public:
  PosixDisk(std::string folder, base::Scheduler& scheduler);
  ~PosixDisk() override;

  /// Creates the folder and its parents if they are missing.
  absl::Status createFolder();

  absl::StatusOr<std::vector<std::string>> list() override;
  absl::StatusOr<std::string> read(const std::string& name) override;
  absl::Status append(const std::string& name, std::string_view bytes) override;
  absl::Status truncate(const std::string& name, size_t size) override;
  absl::Status rename(const std::string& from, const std::string& to) override;
  absl::Status remove(const std::string& name) override;
  void sync(const std::string& name, SyncCallback done) override;

 private:
  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  absl::StatusOr<int> descriptor(const std::string& name);
  /// @return whether the file is known not to exist; false on errors other than ENOENT.
  bool isKnownMissing(const std::string& name) const;
  void closeDescriptor(const std::string& name);
  absl::Status syncNow(const std::string& name);
  absl::Status syncFolder();

  std::string folder_;
  base::Scheduler& scheduler_;
  std::map<std::string, int> open_;  // descriptors of files being appended to
  bool folderDirty_ = true;          // directory entries may be unsynced, also from an earlier process
};

}  // namespace driftlug::storage
