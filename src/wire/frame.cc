#include "wire/frame.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <utility>

#include "base/error.h"
#include "wire/deflate.h"

namespace driftlug::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

/// Encodes structs into a reused buffer, since most structs are rows and short messages.
class Encoder {
 public:
  template <typename T>
  void append(const T& value, std::string* out) {
    value.write(&protocol_);
    uint8_t* bytes = nullptr;
    uint32_t size = 0;
    buffer_->getBuffer(&bytes, &size);
    out->append(reinterpret_cast<const char*>(bytes), size);
    if (size > kRetainedBytes) {
      buffer_->resetBuffer(kRetainedBytes);
    } else {
      buffer_->resetBuffer();
    }
  }

 private:
  static constexpr uint32_t kRetainedBytes = 4096;

  std::shared_ptr<TMemoryBuffer> buffer_ = std::make_shared<TMemoryBuffer>(kRetainedBytes);
  CompactProtocol protocol_{buffer_};
};

template <typename T>
void appendStruct(const T& value, std::string* out) {
  static thread_local Encoder encoder;
  encoder.append(value, out);
}

template <typename T>
bool readStruct(std::string_view bytes, T* value) {
  auto* start = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(start, static_cast<uint32_t>(bytes.size()));
  CompactProtocol protocol(buffer, kMaxStringBytes, kMaxListItems);
  try {
    return value->read(&protocol) == bytes.size();
  } catch (const std::exception&) {
    return false;
  }
}

using Decoder = bool (*)(std::string_view, Message*);

template <typename T>
bool decodeAs(std::string_view bytes, Message* message) {
  return readStruct(bytes, &message->emplace<T>());
}

template <size_t... Index>
constexpr auto makeDecoders(std::index_sequence<Index...>) {
  return std::array<Decoder, sizeof...(Index)>{&decodeAs<std::variant_alternative_t<Index, Message>>...};
}

constexpr auto kDecoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

/// Message names, in the order of the alternatives of Message.
constexpr std::string_view kMessageNames[] = {
    "Hello",         "VoteRequest",         "VoteResponse",    "AppendRequest",   "AppendResponse",
    "SnapshotChunk", "SnapshotChunkAck",    "TimeoutNow",      "RelaySubscribe",  "NotLeader",
    "TableUpdate",   "ControllerHeartbeat", "ConfirmRequest",  "ConfirmReply",    "ConvergenceReport",
    "NodeSubscribe", "SliceUpdate",         "SliceApplied",    "SliceRejected",   "NodeHeartbeat",
    "RetryLater",    "RelayHeld",           "EndpointStates",  "CallRequest",     "CallResponse",
    "CallCancel",    "KeepAlive",           "LedgerRequest",   "LedgerReply",     "MemberList",
    "RelayList",     "StartCompression",    "CallBodyGrant",   "CallBodyPiece",   "CallAccepted",
    "PackedFrame",   "CallWithdraw",        "CrashReports",    "VersionReports",  "SeenVersions",
    "QuotaAsk",      "QuotaGrant",          "CallAnswerPiece", "CallAnswerCredit"};
static_assert(std::size(kMessageNames) == std::variant_size_v<Message>);

template <typename... T>
bool isOneOf(size_t kind) {
  return ((kind == kindOf<T>()) || ...);
}

/// Minimum size of a frame for packing: a shorter one fits into one or two packets anyway.
constexpr size_t kMinPackedFrameBytes = 4096;

size_t readLength(const char* bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) length = (length << 8) | static_cast<unsigned char>(bytes[i]);
  return length;
}

void writeLength(size_t length, char* bytes) {
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>((length >> (8 * (kLengthBytes - 1 - i))) & 0xff);
  }
}

}  // namespace

std::string_view messageName(size_t kind) { return kind < std::size(kMessageNames) ? kMessageNames[kind] : "unknown"; }

Purpose purposeOf(size_t kind) {
  if (isOneOf<CallRequest, CallResponse, CallCancel, CallBodyGrant, CallBodyPiece, CallAccepted, CallWithdraw,
              CallAnswerPiece, CallAnswerCredit>(kind))
    return Purpose::kCall;
  if (isOneOf<LedgerRequest, LedgerReply>(kind)) return Purpose::kLedger;
  const bool log =
      isOneOf<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotChunkAck, TimeoutNow>(
          kind);
  return log ? Purpose::kLog : Purpose::kControl;
}

FramePtr makeFrame(size_t kind, std::string_view encoded) {
  auto frame = std::make_shared<std::string>(kHeaderBytes, '\0');
  (*frame)[kLengthBytes] = static_cast<char>(kind);
  frame->append(encoded);
  writeLength(frame->size() - kLengthBytes, frame->data());
  return frame;
}

FramePtr encodeFrame(const Message& message) {
  auto frame = std::make_shared<std::string>(kHeaderBytes, '\0');
  (*frame)[kLengthBytes] = static_cast<char>(message.index());
  std::visit([&](const auto& body) { appendStruct(body, frame.get()); }, message);
  writeLength(frame->size() - kLengthBytes, frame->data());
  return frame;
}

FramePtr packFrame(const FramePtr& frame) {
  if (frame->size() < kMinPackedFrameBytes) return frame;
  PackedFrame packed;
  packed.deflated = deflateBuffer(std::string_view(*frame).substr(kLengthBytes));
  auto result = encodeFrame(packed);
  return result->size() < frame->size() ? result : frame;
}

namespace {

absl::StatusOr<Message> unpackFrame(const PackedFrame& packed, size_t maxBytes) {
  auto restored = inflateBuffer(packed.deflated, maxBytes);
  if (!restored.ok()) return restored.status();
  const bool packedTwice = !restored->empty() && static_cast<unsigned char>((*restored)[0]) == kindOf<PackedFrame>();
  if (packedTwice) return base::makeError(base::ErrorCode::kBadFrame, "a packed frame within another");
  return decodeFrame(*restored);
}

}  // namespace

absl::StatusOr<Message> decodeFrame(std::string_view typeAndPayload, size_t maxUnpackedBytes) {
  if (typeAndPayload.empty()) return base::makeError(base::ErrorCode::kBadFrame, "frame without a type");
  const auto type = static_cast<unsigned char>(typeAndPayload[0]);
  if (type >= kDecoders.size()) return base::makeError(base::ErrorCode::kBadFrame, "unknown message type");
  Message message;
  if (!kDecoders[type](typeAndPayload.substr(1), &message)) {
    return base::makeError(base::ErrorCode::kBadFrame, "message can't be decoded");
  }
  if (const auto* packed = std::get_if<PackedFrame>(&message)) return unpackFrame(*packed, maxUnpackedBytes);
  return message;
}

template <typename T>
std::string encodeStruct(const T& value) {
  std::string bytes;
  appendStruct(value, &bytes);
  return bytes;
}

template <typename T>
absl::StatusOr<T> decodeStruct(std::string_view bytes) {
  T value;
  if (!readStruct(bytes, &value)) return base::makeError(base::ErrorCode::kBadFrame, "record can't be decoded");
  return value;
}

template std::string encodeStruct(const Row&);
template std::string encodeStruct(const LogEntry&);
template std::string encodeStruct(const HardState&);
template std::string encodeStruct(const TableSnapshot&);
template std::string encodeStruct(const LogSnapshot&);
template std::string encodeStruct(const EditCommand&);
template absl::StatusOr<Row> decodeStruct(std::string_view);
template absl::StatusOr<LogEntry> decodeStruct(std::string_view);
template absl::StatusOr<HardState> decodeStruct(std::string_view);
template absl::StatusOr<TableSnapshot> decodeStruct(std::string_view);
template absl::StatusOr<LogSnapshot> decodeStruct(std::string_view);
template absl::StatusOr<EditCommand> decodeStruct(std::string_view);

std::string FrameReader::takeRemainingBytes() {
  std::string rest = buffer_.substr(position_);
  buffer_.clear();
  position_ = 0;
  return rest;
}

/// Releases large buffers after use: there are many connections, most of them idle, and none should keep memory for its
/// largest message.
void FrameReader::releaseBuffer() {
  constexpr size_t kRetainedBytes = 2048;
  buffer_.clear();
  if (buffer_.capacity() > kRetainedBytes) buffer_.shrink_to_fit();
  position_ = 0;
}

absl::StatusOr<bool> FrameReader::next(Message* message) {
  const size_t available = buffer_.size() - position_;
  if (available < kLengthBytes) return false;
  const size_t length = readLength(buffer_.data() + position_);
  if (length > maxFrameBytes_) return base::makeError(base::ErrorCode::kFrameTooLarge, "frame over the size limit");
  if (available < kLengthBytes + length) return false;
  auto decoded = decodeFrame(std::string_view(buffer_).substr(position_ + kLengthBytes, length), maxFrameBytes_);
  if (!decoded.ok()) return decoded.status();
  *message = std::move(*decoded);
  position_ += kLengthBytes + length;
  if (position_ == buffer_.size()) {
    releaseBuffer();
  } else if (position_ > (1U << 16)) {
    buffer_.erase(0, position_);
    position_ = 0;
  }
  return true;
}

}  // namespace driftlug::wire
