#include "quarantine/fingerprint_bytes.h"

#include <absl/strings/numbers.h>

#include <cstddef>

namespace driftlug::quarantine
{
namespace
{
constexpr size_t kHalfBytes = sizeof(uint64_t);
constexpr size_t kHalfDigits = 2 * kHalfBytes;
constexpr int kBitsPerByte = 8;

void append(uint64_t _half, std::string* _bytes)
{
	for (size_t i = 0; i < kHalfBytes; ++i)
	{
		_bytes->push_back(static_cast<char>((_half >> (kBitsPerByte * i)) & 0xff));
	}
}

uint64_t halfOf(std::string_view _bytes)
{
	uint64_t half = 0;
	for (size_t i = kHalfBytes; 0 < i; --i)
	{
		half = (half << kBitsPerByte) | static_cast<unsigned char>(_bytes[i - 1]);
	}
	return half;
}

}  // namespace

std::string toBytes(const request_fingerprint& _fingerprint)
{
	std::string bytes;
	bytes.reserve(2 * kHalfBytes);
	append(_fingerprint.low, &bytes);
	append(_fingerprint.high, &bytes);
	return bytes;
}

std::optional<request_fingerprint> fingerprintFromBytes(std::string_view _bytes)
{
	if (2 * kHalfBytes != _bytes.size())
	{
		return std::nullopt;
	}
	return request_fingerprint{halfOf(_bytes.substr(0, kHalfBytes)), halfOf(_bytes.substr(kHalfBytes))};
}

std::optional<request_fingerprint> fingerprintFromText(std::string_view _text)
{
	request_fingerprint fingerprint;
	const bool valid = 2 * kHalfDigits == _text.size()
					   && absl::SimpleHexAtoi(std::string(_text.substr(0, kHalfDigits)), &fingerprint.high)
					   && absl::SimpleHexAtoi(std::string(_text.substr(kHalfDigits)), &fingerprint.low);
	return valid ? std::optional(fingerprint) : std::nullopt;
}

}  // namespace driftlug::quarantine
