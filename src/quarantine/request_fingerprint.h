/// What makes two requests the same one, sent again.
#ifndef DRIFTLUG_QUARANTINE_REQUEST_FINGERPRINT_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_REQUEST_FINGERPRINT_H_HEADER_GUARD

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace driftlug::quarantine
{
/// Hash of 128 bits over what a request asks for. With as many requests as 100 a second make in a year,
/// the chance that any two different ones share a fingerprint is below 1e-19 (birthday bound).
struct request_fingerprint
{
	uint64_t low = 0;
	uint64_t high = 0;

	auto operator<=>(const request_fingerprint&) const = default;
};

/// The parts of a request that are the same when it is sent again, at whatever node. Headers are no part of it: ids of
/// tries, deadlines, traces and the service beside the node differ from one try to the next.
struct request_identity
{
	std::string_view method;
	std::string_view host;  //!< Without a port.
	std::string_view path;  //!< With the query.
	std::string_view body;  //!< The whole of it.
};

/// @returns The same for the same parts, in every process.
request_fingerprint fingerprintOf(const request_identity& _request);

/// @returns 32 lower-case hexadecimal digits, as logs and pages show it.
std::string toText(const request_fingerprint& _fingerprint);

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_REQUEST_FINGERPRINT_H_HEADER_GUARD
