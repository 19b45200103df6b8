#include "quarantine/request_fingerprint.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace driftlug::quarantine
{
request_fingerprint fingerprintOf(const request_identity& _request)
{
	// Each part is hashed separately first, so that moving bytes from one part to the next changes the fingerprint.
	const std::array parts{_request.method, _request.host, _request.path, _request.body};
	std::array<XXH128_hash_t, parts.size()> hashes;
	std::transform(parts.begin(), parts.end(), hashes.begin(),
				   [](std::string_view _part)
				   {
					   return XXH3_128bits(_part.data(), _part.size());
				   });

	const auto hash = XXH3_128bits(hashes.data(), sizeof(hashes));
	return {hash.low64, hash.high64};
}

std::string toText(const request_fingerprint& _fingerprint)
{
	return absl::StrFormat("%016x%016x", _fingerprint.high, _fingerprint.low);
}

}  // namespace driftlug::quarantine
