/// Fingerprints as they travel between processes.
#ifndef DRIFTLUG_QUARANTINE_FINGERPRINT_BYTES_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_FINGERPRINT_BYTES_H_HEADER_GUARD

#include <optional>
#include <string>
#include <string_view>

#include "quarantine/request_fingerprint.h"

namespace driftlug::quarantine
{
/// @returns 16 bytes: the low half first, each half with its lowest byte first.
std::string toBytes(const request_fingerprint& _fingerprint);

/// @returns Nothing when these are not 16 bytes.
std::optional<request_fingerprint> fingerprintFromBytes(std::string_view _bytes);

/// @returns Nothing when this is not what toText() gives.
std::optional<request_fingerprint> fingerprintFromText(std::string_view _text);

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_FINGERPRINT_BYTES_H_HEADER_GUARD
