/// Encoding of request fingerprints for messages and text.
#ifndef DRIFTLUG_QUARANTINE_FINGERPRINT_BYTES_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_FINGERPRINT_BYTES_H_HEADER_GUARD

#include <optional>
#include <string>
#include <string_view>

#include "quarantine/request_fingerprint.h"

namespace driftlug::quarantine
{
/// @returns 16 bytes: the low half first, each half in little-endian byte order.
std::string toBytes(const request_fingerprint& _fingerprint);

/// @returns The decoded fingerprint; nothing unless there are exactly 16 bytes.
std::optional<request_fingerprint> fingerprintFromBytes(std::string_view _bytes);

/// @returns The parsed fingerprint; nothing unless the text has the format of toText().
std::optional<request_fingerprint> fingerprintFromText(std::string_view _text);

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_FINGERPRINT_BYTES_H_HEADER_GUARD
