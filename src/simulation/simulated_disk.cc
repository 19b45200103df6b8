#include "simulation/simulated_disk.h"

#include <algorithm>

#include "base/error.h"

namespace driftlug::simulation {
namespace {

constexpr double kTornShare = 0.5;
constexpr size_t kLongestGarbage = 16;

absl::Status noSuchFile() { return base::makeError(base::ErrorCode::kStorageFailed, "no such file"); }

}  // namespace

absl::StatusOr<std::vector<std::string>> SimulatedDisk::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : current_) names.push_back(name);
  return names;
}

absl::StatusOr<std::string> SimulatedDisk::read(const std::string& name) {
  const auto found = current_.find(name);
  if (found == current_.end()) return noSuchFile();
  return found->second->current;
}

absl::Status SimulatedDisk::append(const std::string& name, std::string_view bytes) {
  auto& file = current_[name];
  if (!file) file = std::make_shared<File>();
  if (full_) {
    file->current.append(bytes.substr(0, random_.below(bytes.size())));
    return base::makeError(base::ErrorCode::kStorageFull, "no space left");
  }
  file->current.append(bytes);
  return absl::OkStatus();
}

absl::Status SimulatedDisk::truncate(const std::string& name, size_t size) {
  const auto found = current_.find(name);
  if (found == current_.end()) return noSuchFile();
  found->second->current.resize(std::min(size, found->second->current.size()));
  return absl::OkStatus();
}

absl::Status SimulatedDisk::rename(const std::string& from, const std::string& to) {
  const auto found = current_.find(from);
  if (found == current_.end()) return noSuchFile();
  current_[to] = found->second;
  current_.erase(from);
  if (onRename_) onRename_();
  return absl::OkStatus();
}

absl::Status SimulatedDisk::remove(const std::string& name) {
  current_.erase(name);
  return absl::OkStatus();
}

void SimulatedDisk::sync(const std::string& name, storage::SyncCallback done) {
  const auto found = current_.find(name);
  const auto file = found == current_.end() ? nullptr : found->second;
  const auto content = file ? file->current : std::string();
  const auto spread = options_.syncLongest - options_.syncShortest;
  const auto delay = options_.syncShortest + random_.duration(spread);
  process_.schedule(delay, [this, file, content, folder = current_, done = std::move(done)] {
    if (failing_) return done(base::makeError(base::ErrorCode::kStorageFailed, "the disk failed"));
    if (file) file->durable = content;
    durable_ = folder;
    done(absl::OkStatus());
  });
}

void SimulatedDisk::recover(File* file) {
  const bool grown = file->current.compare(0, file->durable.size(), file->durable) == 0;
  if (!grown) {
    if (random_.chance(kTornShare)) file->current = file->durable;
  } else {
    const auto unsynced = file->current.size() - file->durable.size();
    const bool garbled = unsynced > 0 && random_.chance(kTornShare);
    file->current.resize(file->durable.size() + random_.below(unsynced + 1));
    const auto kept = file->current.size() - file->durable.size();
    for (size_t i = 0; garbled && i < std::min(kept, kLongestGarbage); ++i) {
      file->current[file->current.size() - 1 - i] = static_cast<char>(random_.below(256));
    }
  }
  file->durable = file->current;
}

void SimulatedDisk::crash() {
  if (random_.chance(kTornShare)) current_ = durable_;
  for (const auto& [name, file] : current_) recover(file.get());
  durable_ = current_;
  full_ = false;
  failing_ = false;
}

void SimulatedDisk::wipe() {
  current_.clear();
  durable_.clear();
  full_ = false;
  failing_ = false;
}

}  // namespace driftlug::simulation
