/// Checksummed records in a file that only grows.
///
/// Each record carries how many bytes of its file were known to be durable when it was written. A damaged
/// record behind that mark can only be a tail that was never synced, and is cut; a damaged record before it
/// is corruption, and is refused.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace driftlug::storage {

/// What a record holds.
enum class RecordType : uint8_t {
  kEntry = 1,
  kHardState = 2,
  kSnapshot = 3,
  kCarryBegins = 4,  ///< first of a segment that takes the place of all before it
  kCarryEnds = 5,    ///< behind all that it takes over from them
};

struct Record {
  RecordType type;
  std::string payload;
};

/// Records read from a file.
struct RecordScan {
  std::vector<Record> records;
  size_t validBytes = 0;  ///< length of the valid beginning
  bool tornTail = false;  ///< whether bytes behind validBytes were never synced and may be cut
};

/// @param durableBytes bytes of the file known to be durable
/// @return the encoded record.
std::string encodeRecord(RecordType type, std::string_view payload, uint64_t durableBytes);

/// Reads all records of a file.
/// @param tailMayBeTorn whether this is the file that was being written
/// @return the records, or kStorageCorrupt with the offset of the damage
absl::StatusOr<RecordScan> scanRecords(std::string_view bytes, bool tailMayBeTorn);

}  // namespace driftlug::storage
