/// Compression with zlib: of a stream of frames, flushed behind each frame, and of single pieces.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <zlib.h>

#include <string>
#include <string_view>

namespace driftlug::wire {

/// @return the bytes, deflated by themselves at the fastest level.
std::string deflateBuffer(std::string_view bytes);

/// @return what was deflated, or kBadFrame when the bytes are no such thing or would grow beyond `most`
absl::StatusOr<std::string> inflateBuffer(std::string_view bytes, size_t maxBytes);

/// Compresses one direction of a connection. What was sent before serves as the dictionary of what follows, so that
/// the heads of calls, which are much alike, shrink to a few bytes.
class Deflater {
 public:
  Deflater();
  ~Deflater();
  Deflater(const Deflater&) = delete;
  Deflater& operator=(const Deflater&) = delete;

  /// @return the bytes from which the other side can restore all that was added so far.
  std::string add(std::string_view bytes);

 private:
  void addPart(std::string_view bytes, std::string* out);

  z_stream stream_{};
};

/// Restores one direction of a connection.
class Inflater {
 public:
  Inflater();
  ~Inflater();
  Inflater(const Inflater&) = delete;
  Inflater& operator=(const Inflater&) = delete;

  /// Restores what can be restored so far, and adds it to `out`.
  /// @return OK, or kBadFrame when the bytes are no such stream or grow beyond the longest frame
  absl::Status add(std::string_view bytes, std::string* out);

 private:
  z_stream stream_{};
};

}  // namespace driftlug::wire
