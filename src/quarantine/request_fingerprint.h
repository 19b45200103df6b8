/// Fingerprints that identify repeated requests.
#ifndef DRIFTLUG_QUARANTINE_REQUEST_FINGERPRINT_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_REQUEST_FINGERPRINT_H_HEADER_GUARD

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace driftlug::quarantine
{
/// 128-bit hash of the identity of a request. Over a year at 100 requests per second, the probability that any two
/// different requests share a fingerprint is below 1e-19 (birthday bound).
struct request_fingerprint
{
	uint64_t low = 0;
	uint64_t high = 0;

	auto operator<=>(const request_fingerprint&) const = default;
};

/// The parts of a request that are the same when it is repeated, at any node. Headers are excluded: attempt ids,
/// deadlines, traces and the calling service differ between attempts.
struct request_identity
{
	std::string_view method;
	std::string_view host;  //!< Without a port.
	std::string_view path;  //!< Including the query.
	std::string_view body;  //!< The complete body.
};

/// @returns The fingerprint of a request; the same in every process.
request_fingerprint fingerprintOf(const request_identity& _request);

/// @returns 32 lower-case hexadecimal digits, the format of logs and pages.
std::string toText(const request_fingerprint& _fingerprint);

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_REQUEST_FINGERPRINT_H_HEADER_GUARD
