/// An in-memory disk for tests of storage: syncs complete on request, files can be truncated and the capacity limited.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "storage/disk.h"

namespace driftlug::test {

class MemoryDisk : public storage::Disk {
 public:
  std::map<std::string, std::string> files;
  size_t capacity = SIZE_MAX;
  absl::Status syncResult;

  absl::StatusOr<std::vector<std::string>> list() override {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : files) names.push_back(name);
    return names;
  }

  absl::StatusOr<std::string> read(const std::string& name) override { return files[name]; }

  absl::Status append(const std::string& name, std::string_view bytes) override {
    size_t used = 0;
    for (const auto& [other, content] : files) used += content.size();
    if (used + bytes.size() > capacity) {
      files[name].append(bytes.substr(0, capacity > used ? capacity - used : 0));
      return base::makeError(base::ErrorCode::kStorageFull, "full");
    }
    files[name].append(bytes);
    return absl::OkStatus();
  }

  absl::Status truncate(const std::string& name, size_t size) override {
    files[name].resize(size);
    return absl::OkStatus();
  }

  absl::Status rename(const std::string& from, const std::string& to) override {
    files[to] = files[from];
    files.erase(from);
    return absl::OkStatus();
  }

  absl::Status remove(const std::string& name) override {
    files.erase(name);
    return absl::OkStatus();
  }

  void sync(const std::string& name, storage::SyncCallback done) override {
    synced.push_back(name);
    pending.push_back(std::move(done));
  }

  /// Completes all pending syncs.
  void finishSyncs() {
    while (!pending.empty()) {
      auto done = std::move(pending.front());
      pending.erase(pending.begin());
      done(syncResult);
    }
  }

  std::vector<storage::SyncCallback> pending;
  std::vector<std::string> synced;  // in the order of the requests
};

}  // namespace driftlug::test
