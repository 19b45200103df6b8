/// Checksummed records in an append-only file.
///
/// Each record stores how many bytes of its file were known to be durable when it was written. A damaged record after
/// that offset can only belong to an unsynced tail and is truncated; a damaged record before it is corruption and is
/// reported as an error.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::storage {

/// Type of a record.
enum class RecordType : uint8_t {
  kEntry = 1,
  kHardState = 2,
  kSnapshot = 3,
  kCarryBegins = 4,  ///< first record of a segment that replaces all earlier ones
  kCarryEnds = 5,    ///< follows the state carried over from earlier segments
};

struct Record {
  RecordType type;
  std::string payload;
};

/// Records read from a file.
struct RecordScan {
  std::vector<Record> records;
  size_t validBytes = 0;  ///< length of the valid prefix
  bool tornTail = false;  ///< whether bytes after validBytes were never synced and may be truncated
};

/// @param durableBytes bytes of the file known to be durable
/// @return the encoded record.
std::string encodeRecord(RecordType type, std::string_view payload, uint64_t durableBytes);

/// Reads all records of a file.
/// @param tailMayBeTorn whether the end of the file may be unsynced, as in the file that was being written
/// @return the records, or kStorageCorrupt with the offset of the damage
absl::StatusOr<RecordScan> scanRecords(std::string_view bytes, bool tailMayBeTorn);

}  // namespace driftlug::storage
