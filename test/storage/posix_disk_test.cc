#include "storage/posix_disk.h"

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "simulation/process.h"

namespace {

int folderSyncs = 0;

}  // namespace

/// Replaces fsync() of the C library to count the syncs of directories, whose effect shows only after a loss of power.
extern "C" int fsync(int descriptor) {
  struct stat info {};
  if (::fstat(descriptor, &info) == 0 && S_ISDIR(info.st_mode)) ++folderSyncs;
  return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

namespace driftlug::storage {
namespace {

/// A temporary folder for the disks of successive processes.
struct Fixture {
  Fixture() : process(queue, "process", {"zone-1", "region"}, {"10.0.0.9", 7000}) {
    char name[] = "/tmp/posix-disk-test-XXXXXX";
    REQUIRE(::mkdtemp(name) != nullptr);
    folder = name;
    process.start();
    folderSyncs = 0;
  }
  ~Fixture() { std::filesystem::remove_all(folder); }

  absl::Status sync(PosixDisk& disk, const std::string& name) {
    absl::Status result = absl::UnknownError("not called back");
    disk.sync(name, [&result](const absl::Status& status) { result = status; });
    while (queue.runNext(queue.now())) {
    }
    return result;
  }

  simulation::EventQueue queue;
  simulation::Process process;
  std::string folder;
};

}  // namespace

TEST_CASE_METHOD(Fixture, "the first sync of a process covers directory entries that an earlier process changed") {
  {
    PosixDisk earlier(folder, process);
    REQUIRE(earlier.append("old", "bytes").ok());
    // The process dies here; the created file is not synced.
  }
  PosixDisk disk(folder, process);
  REQUIRE(sync(disk, "old").ok());
  CHECK(folderSyncs == 1);
  REQUIRE(disk.append("old", "more").ok());
  REQUIRE(sync(disk, "old").ok());
  CHECK(folderSyncs == 1);
}

TEST_CASE_METHOD(Fixture, "a sync of a missing file syncs the directory entries and does not create the file") {
  PosixDisk disk(folder, process);
  REQUIRE(disk.append("file", "bytes").ok());
  REQUIRE(sync(disk, "file").ok());
  REQUIRE(disk.remove("file").ok());
  const int before = folderSyncs;
  REQUIRE(sync(disk, "file").ok());
  CHECK(folderSyncs == before + 1);
  CHECK(disk.list()->empty());
}

}  // namespace driftlug::storage
