#include "storage/record_file.h"

#include <xxhash.h>

#include <cstring>
#include <optional>

#include "base/error.h"

namespace driftlug::storage {
namespace {

/// Layout in bytes: payload length (4), checksum (8) of the other fields and the payload, durable bytes (8), type (1),
/// payload.
struct RecordHeader {
  uint32_t payloadBytes;
  uint64_t checksum;
  uint64_t durableBytes;
  uint8_t type;
};

constexpr size_t kLengthOffset = 0;
constexpr size_t kChecksumOffset = 4;
constexpr size_t kDurableOffset = 12;
constexpr size_t kTypeOffset = 20;
constexpr size_t kHeaderBytes = 21;
constexpr uint32_t kMaxPayloadBytes = 1U << 30;

uint64_t checksumOf(std::string_view record) {
  const auto length = record.substr(kLengthOffset, kChecksumOffset);
  const auto seed = XXH3_64bits(length.data(), length.size());
  const auto covered = record.substr(kDurableOffset);
  return XXH3_64bits_withSeed(covered.data(), covered.size(), seed);
}

RecordHeader readHeader(std::string_view bytes) {
  RecordHeader header{};
  std::memcpy(&header.payloadBytes, bytes.data() + kLengthOffset, sizeof(header.payloadBytes));
  std::memcpy(&header.checksum, bytes.data() + kChecksumOffset, sizeof(header.checksum));
  std::memcpy(&header.durableBytes, bytes.data() + kDurableOffset, sizeof(header.durableBytes));
  header.type = static_cast<uint8_t>(bytes[kTypeOffset]);
  return header;
}

/// @return the header of the record at the offset, or nullopt if it is not valid.
std::optional<RecordHeader> validRecordAt(std::string_view bytes, size_t offset) {
  if (bytes.size() - offset < kHeaderBytes) return std::nullopt;
  const auto rest = bytes.substr(offset);
  const auto header = readHeader(rest);
  if (header.payloadBytes > kMaxPayloadBytes || rest.size() < kHeaderBytes + header.payloadBytes) return std::nullopt;
  if (checksumOf(rest.substr(0, kHeaderBytes + header.payloadBytes)) != header.checksum) return std::nullopt;
  return header;
}

/// @return whether a valid record after the offset `damage` proves that the damaged bytes were durable.
bool damageWasDurable(std::string_view bytes, size_t damage) {
  for (size_t offset = damage + 1; offset + kHeaderBytes <= bytes.size(); ++offset) {
    const auto header = validRecordAt(bytes, offset);
    if (header && header->durableBytes > damage) return true;
  }
  return false;
}

}  // namespace

std::string encodeRecord(RecordType type, std::string_view payload, uint64_t durableBytes) {
  std::string record(kHeaderBytes, '\0');
  const auto payloadBytes = static_cast<uint32_t>(payload.size());
  std::memcpy(record.data() + kLengthOffset, &payloadBytes, sizeof(payloadBytes));
  std::memcpy(record.data() + kDurableOffset, &durableBytes, sizeof(durableBytes));
  record[kTypeOffset] = static_cast<char>(type);
  record.append(payload);
  const uint64_t checksum = checksumOf(record);
  std::memcpy(record.data() + kChecksumOffset, &checksum, sizeof(checksum));
  return record;
}

absl::StatusOr<RecordScan> scanRecords(std::string_view bytes, bool tailMayBeTorn) {
  RecordScan scan;
  while (scan.validBytes < bytes.size()) {
    const auto header = validRecordAt(bytes, scan.validBytes);
    if (!header) break;
    const auto payload = bytes.substr(scan.validBytes + kHeaderBytes, header->payloadBytes);
    scan.records.push_back({static_cast<RecordType>(header->type), std::string(payload)});
    scan.validBytes += kHeaderBytes + header->payloadBytes;
  }
  if (scan.validBytes == bytes.size()) return scan;
  if (!tailMayBeTorn || damageWasDurable(bytes, scan.validBytes)) {
    return base::makeError(base::ErrorCode::kStorageCorrupt,
                           "damaged record at offset " + std::to_string(scan.validBytes));
  }
  scan.tornTail = true;
  return scan;
}

}  // namespace driftlug::storage
