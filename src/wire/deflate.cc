#include "wire/deflate.h"

#include <array>

#include "base/error.h"
#include "wire/frame.h"

namespace driftlug::wire {
namespace {

constexpr int kCompressionLevel = 1;
constexpr int kNoCompressionLevel = 0;
constexpr int kRawWindowBits = -12;  // negative: raw deflate without a header; 4 KiB window
constexpr int kMemoryLevel = 4;      // 8 KiB for hash tables and pending output
/// Of a frame over kLongFrameBytes only this prefix is compressed, since the redundancy is in the headers; the rest,
/// the body, is stored uncompressed.
constexpr size_t kCompressedHeadBytes = 2048;
constexpr size_t kLongFrameBytes = 8192;
constexpr size_t kChunkBytes = 4096;

}  // namespace

std::string deflateBuffer(std::string_view bytes) {
  auto size = compressBound(static_cast<uLong>(bytes.size()));
  std::string out(size, '\0');
  (void)compress2(reinterpret_cast<Bytef*>(out.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()),
                  static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
  out.resize(size);
  return out;
}

absl::StatusOr<std::string> inflateBuffer(std::string_view bytes, size_t maxBytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return base::makeError(base::ErrorCode::kBadFrame, "no memory to unpack a frame");
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  std::array<unsigned char, kChunkBytes> chunk{};
  int result = Z_OK;
  while (result == Z_OK && out.size() <= maxBytes) {
    stream.next_out = chunk.data();
    stream.avail_out = static_cast<uInt>(chunk.size());
    result = inflate(&stream, Z_NO_FLUSH);
    out.append(reinterpret_cast<const char*>(chunk.data()), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || out.size() > maxBytes) {
    return base::makeError(base::ErrorCode::kBadFrame, "a packed frame can't be unpacked");
  }
  return out;
}

Deflater::Deflater() {
  (void)deflateInit2(&stream_, kCompressionLevel, Z_DEFLATED, kRawWindowBits, kMemoryLevel, Z_DEFAULT_STRATEGY);
}

Deflater::~Deflater() { deflateEnd(&stream_); }

std::string Deflater::add(std::string_view bytes) {
  std::string out;
  if (bytes.size() <= kLongFrameBytes) {
    addPart(bytes, &out);
    return out;
  }
  addPart(bytes.substr(0, kCompressedHeadBytes), &out);
  (void)deflateParams(&stream_, kNoCompressionLevel, Z_DEFAULT_STRATEGY);
  addPart(bytes.substr(kCompressedHeadBytes), &out);
  (void)deflateParams(&stream_, kCompressionLevel, Z_DEFAULT_STRATEGY);
  return out;
}

void Deflater::addPart(std::string_view bytes, std::string* out) {
  std::array<unsigned char, kChunkBytes> chunk{};
  stream_.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream_.avail_in = static_cast<uInt>(bytes.size());
  do {
    stream_.next_out = chunk.data();
    stream_.avail_out = static_cast<uInt>(chunk.size());
    (void)deflate(&stream_, Z_SYNC_FLUSH);
    out->append(reinterpret_cast<const char*>(chunk.data()), chunk.size() - stream_.avail_out);
  } while (stream_.avail_out == 0);
}

Inflater::Inflater() { (void)inflateInit2(&stream_, kRawWindowBits); }

Inflater::~Inflater() { inflateEnd(&stream_); }

absl::Status Inflater::add(std::string_view bytes, std::string* out) {
  std::array<unsigned char, kChunkBytes> chunk{};
  const size_t before = out->size();
  stream_.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream_.avail_in = static_cast<uInt>(bytes.size());
  do {
    stream_.next_out = chunk.data();
    stream_.avail_out = static_cast<uInt>(chunk.size());
    const int result = inflate(&stream_, Z_SYNC_FLUSH);
    if (result != Z_OK && result != Z_BUF_ERROR) {
      return base::makeError(base::ErrorCode::kBadFrame, "the compressed stream is damaged");
    }
    out->append(reinterpret_cast<const char*>(chunk.data()), chunk.size() - stream_.avail_out);
    if (out->size() - before > kMaxFrameBytes) {
      return base::makeError(base::ErrorCode::kFrameTooLarge, "the compressed stream grows too large");
    }
  } while (stream_.avail_out == 0);
  return absl::OkStatus();
}

}  // namespace driftlug::wire
