/// A folder of files as the storage code sees it. What was written lasts only once it was synced.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::storage {

/// Called once a sync has ended; the status says whether the data is durable.
using SyncCallback = std::function<void(absl::Status)>;

/// Files of one data folder, by name. Errors are kStorageFailed or kStorageFull.
class Disk {
 public:
  virtual ~Disk() = default;

  /// @return names of all files.
  virtual absl::StatusOr<std::vector<std::string>> list() = 0;

  /// @return the whole content.
  virtual absl::StatusOr<std::string> read(const std::string& name) = 0;

  /// Adds bytes at the end; creates the file when needed. On failure a part may have been written.
  virtual absl::Status append(const std::string& name, std::string_view bytes) = 0;

  /// Cuts a file to a size in bytes.
  virtual absl::Status truncate(const std::string& name, size_t size) = 0;

  /// Renames a file over another.
  virtual absl::Status rename(const std::string& from, const std::string& to) = 0;

  /// Removes a file.
  virtual absl::Status remove(const std::string& name) = 0;

  /// Makes the named file, if it is there, and the folder's list of names durable, then calls back, never from within
  /// the call. Covers what an earlier process left, too.
  virtual void sync(const std::string& name, SyncCallback done) = 0;
};

}  // namespace driftlug::storage
