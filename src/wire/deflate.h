/// zlib compression of single buffers and of a stream of frames that is flushed after each frame.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <zlib.h>

#include <string>
#include <string_view>

namespace driftlug::wire {

/// @return the bytes compressed as one independent zlib stream at the fastest level.
std::string deflateBuffer(std::string_view bytes);

/// @return the decompressed bytes, or kBadFrame when the input is invalid or the result would exceed `maxBytes`
absl::StatusOr<std::string> inflateBuffer(std::string_view bytes, size_t maxBytes);

/// Compresses one direction of a connection. Earlier frames serve as the dictionary of later ones, so that the similar
/// headers of calls compress to a few bytes.
class Deflater {
 public:
  Deflater();
  ~Deflater();
  Deflater(const Deflater&) = delete;
  Deflater& operator=(const Deflater&) = delete;

  /// @return compressed bytes, flushed so that the peer can decompress everything added so far.
  std::string add(std::string_view bytes);

 private:
  void addPart(std::string_view bytes, std::string* out);

  z_stream stream_{};
};

/// Decompresses one direction of a connection.
class Inflater {
 public:
  Inflater();
  ~Inflater();
  Inflater(const Inflater&) = delete;
  Inflater& operator=(const Inflater&) = delete;

  /// Decompresses as much as possible of the input and appends it to `out`.
  /// @return OK, kBadFrame when the stream is invalid, or kFrameTooLarge when the output of one call exceeds
  /// kMaxFrameBytes
  absl::Status add(std::string_view bytes, std::string* out);

 private:
  z_stream stream_{};
};

}  // namespace driftlug::wire
