#include "storage/posix_disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/error.h"

namespace driftlug::storage {
namespace {

using base::ErrorCode;
using base::makeError;
namespace fs = std::filesystem;

absl::Status systemError(const std::string& what, int number) {
  const bool full = number == ENOSPC || number == EDQUOT || number == EFBIG;
  return makeError(full ? ErrorCode::kStorageFull : ErrorCode::kStorageFailed, what + ": " + std::strerror(number));
}

constexpr int kFileMode = 0600;

}  // namespace

PosixDisk::PosixDisk(std::string folder, base::Scheduler& scheduler)
    : folder_(std::move(folder)), scheduler_(scheduler) {}

PosixDisk::~PosixDisk() {
  for (const auto& [name, descriptor] : open_) ::close(descriptor);
}

absl::Status PosixDisk::createFolder() {
  std::error_code error;
  fs::create_directories(folder_, error);
  if (error) return makeError(ErrorCode::kStorageFailed, "can't create " + folder_ + ": " + error.message());
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> PosixDisk::list() {
  std::error_code error;
  std::vector<std::string> names;
  fs::directory_iterator files(folder_, error);
  if (error) return makeError(ErrorCode::kStorageFailed, "can't list " + folder_ + ": " + error.message());
  for (const auto& file : files) {
    if (file.is_regular_file()) names.push_back(file.path().filename().string());
  }
  return names;
}

absl::StatusOr<std::string> PosixDisk::read(const std::string& name) {
  std::ifstream stream(path(name), std::ios::binary);
  if (!stream) return makeError(ErrorCode::kStorageFailed, "can't read " + name);
  std::string bytes((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
  if (stream.bad()) return makeError(ErrorCode::kStorageFailed, "reading " + name + " failed");
  return bytes;
}

absl::StatusOr<int> PosixDisk::descriptor(const std::string& name) {
  const auto found = open_.find(name);
  if (found != open_.end()) return found->second;
  const bool existed = ::access(path(name).c_str(), F_OK) == 0;
  const int opened = ::open(path(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (opened < 0) return systemError("can't open " + name, errno);
  folderDirty_ = folderDirty_ || !existed;
  open_[name] = opened;
  return opened;
}

bool PosixDisk::isKnownMissing(const std::string& name) const {
  return open_.count(name) == 0 && ::access(path(name).c_str(), F_OK) != 0 && errno == ENOENT;
}

void PosixDisk::closeDescriptor(const std::string& name) {
  const auto found = open_.find(name);
  if (found == open_.end()) return;
  ::close(found->second);
  open_.erase(found);
}

absl::Status PosixDisk::append(const std::string& name, std::string_view bytes) {
  const auto file = descriptor(name);
  if (!file.ok()) return file.status();
  while (!bytes.empty()) {
    const ssize_t count = ::write(*file, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return systemError("can't write " + name, errno);
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return absl::OkStatus();
}

absl::Status PosixDisk::truncate(const std::string& name, size_t size) {
  if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0)
    return systemError("can't truncate " + name, errno);
  return absl::OkStatus();
}

absl::Status PosixDisk::rename(const std::string& from, const std::string& to) {
  closeDescriptor(from);
  closeDescriptor(to);
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) return systemError("can't rename " + from, errno);
  folderDirty_ = true;
  return syncFolder();
}

absl::Status PosixDisk::remove(const std::string& name) {
  closeDescriptor(name);
  if (::unlink(path(name).c_str()) != 0) return systemError("can't remove " + name, errno);
  folderDirty_ = true;
  return absl::OkStatus();
}

absl::Status PosixDisk::syncFolder() {
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return systemError("can't open " + folder_, errno);
  const int result = ::fsync(folder);
  const int number = errno;
  ::close(folder);
  if (result != 0) return systemError("can't sync " + folder_, number);
  folderDirty_ = false;
  return absl::OkStatus();
}

absl::Status PosixDisk::syncNow(const std::string& name) {
  // After a removal only the directory entries need a sync; opening would create the file, which fails on a full disk.
  if (isKnownMissing(name)) return folderDirty_ ? syncFolder() : absl::OkStatus();
  const auto file = descriptor(name);
  if (!file.ok()) return file.status();
  if (::fdatasync(*file) != 0) return systemError("can't sync " + name, errno);
  return folderDirty_ ? syncFolder() : absl::OkStatus();
}

void PosixDisk::sync(const std::string& name, SyncCallback done) {
  scheduler_.schedule(base::Duration(0), [this, name, done = std::move(done)] { done(syncNow(name)); });
}

}  // namespace driftlug::storage
