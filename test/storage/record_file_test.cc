#include "storage/record_file.h"

#include <catch2/catch.hpp>

#include "base/error.h"

using namespace driftlug;
using storage::RecordType;

namespace {

/// Three records; the third was written after the first two were synced.
std::string threeRecords() {
  std::string bytes = storage::encodeRecord(RecordType::kEntry, "first", 0);
  bytes += storage::encodeRecord(RecordType::kEntry, "second", 0);
  bytes += storage::encodeRecord(RecordType::kEntry, "third", bytes.size());
  return bytes;
}

}  // namespace

TEST_CASE("a tail torn at any byte is truncated to complete records") {
  const auto bytes = threeRecords();
  for (size_t cut = 0; cut < bytes.size(); ++cut) {
    const auto scan = storage::scanRecords(bytes.substr(0, cut), true);
    REQUIRE(scan.ok());
    CHECK(scan->validBytes <= cut);
    CHECK(scan->records.size() <= 2);
    CHECK(scan->tornTail == (scan->validBytes < cut));
  }
}

TEST_CASE("damage at any byte of a synced record is reported as corruption") {
  const auto bytes = threeRecords();
  const size_t synced = bytes.size() - storage::encodeRecord(RecordType::kEntry, "third", 0).size();
  for (size_t position = 0; position < synced; ++position) {
    auto damaged = bytes;
    damaged[position] = static_cast<char>(damaged[position] ^ 0x40);
    CHECK(base::errorCodeOf(storage::scanRecords(damaged, true).status()) == base::ErrorCode::kStorageCorrupt);
  }
}

TEST_CASE("damage in an unsynced record is a torn tail, even if a valid record follows") {
  std::string bytes = storage::encodeRecord(RecordType::kEntry, "first", 0);
  const auto good = bytes.size();
  bytes += storage::encodeRecord(RecordType::kEntry, "second", 0);
  bytes[good + 5] = static_cast<char>(bytes[good + 5] ^ 1);
  bytes += storage::encodeRecord(RecordType::kEntry, "third", good);
  const auto scan = storage::scanRecords(bytes, true);
  REQUIRE(scan.ok());
  CHECK(scan->validBytes == good);
  CHECK(scan->tornTail);
}
