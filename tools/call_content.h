/// Deterministic call content that lets a caller verify that a response is complete and belongs to its request.
#pragma once

#include <xxhash.h>

#include <string>

namespace driftlug::tools {

/// @return content of the given size that is derived from the id.
inline std::string contentFor(const std::string& id, size_t bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string content(bytes, '0');
  uint64_t word = XXH3_64bits(id.data(), id.size());
  for (size_t i = 0; i < bytes; ++i) {
    if (i % 16 == 0) word = XXH3_64bits_withSeed(&word, sizeof(word), i);
    content[i] = kDigits[(word >> (4 * (i % 16))) & 0xf];
  }
  return content;
}

/// @return a digest of a request body.
inline std::string digestOf(const std::string& body) { return std::to_string(XXH3_64bits(body.data(), body.size())); }

}  // namespace driftlug::tools
