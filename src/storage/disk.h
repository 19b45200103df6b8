/// File access interface of the storage code. Written data is durable only after a sync.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::storage {

/// Called when a sync has finished; the status is OK if the data is durable.
using SyncCallback = std::function<void(absl::Status)>;

/// Files of one data folder, by name. Errors are kStorageFailed or kStorageFull.
class Disk {
 public:
  virtual ~Disk() = default;

  /// @return the names of all files.
  virtual absl::StatusOr<std::vector<std::string>> list() = 0;

  /// @return the content of a file.
  virtual absl::StatusOr<std::string> read(const std::string& name) = 0;

  /// Appends bytes; creates the file if it does not exist. On failure a part may have been written.
  virtual absl::Status append(const std::string& name, std::string_view bytes) = 0;

  /// Truncates a file to a size in bytes.
  virtual absl::Status truncate(const std::string& name, size_t size) = 0;

  /// Renames a file, replacing an existing one.
  virtual absl::Status rename(const std::string& from, const std::string& to) = 0;

  /// Removes a file.
  virtual absl::Status remove(const std::string& name) = 0;

  /// Makes the named file, if it exists, and the directory entries of the folder durable, then calls back, never from
  /// within this call. Also covers data that an earlier process left unsynced.
  virtual void sync(const std::string& name, SyncCallback done) = 0;
};

}  // namespace driftlug::storage
