/// Frames: a four-byte big-endian length, one byte of message type, then a Thrift compact struct.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "wire/gen/driftlug_types.h"

namespace driftlug::wire {

/// Every message that travels between processes. The position is the type byte and never changes.
using Message =
    std::variant<Hello, VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotChunkAck,
                 TimeoutNow, RelaySubscribe, NotLeader, TableUpdate, ControllerHeartbeat, ConfirmRequest, ConfirmReply,
                 ConvergenceReport, NodeSubscribe, SliceUpdate, SliceApplied, SliceRejected, NodeHeartbeat, RetryLater,
                 RelayHeld, EndpointStates, CallRequest, CallResponse, CallCancel, KeepAlive, LedgerRequest,
                 LedgerReply, MemberList, RelayList, StartCompression, CallBodyGrant, CallBodyPiece, CallAccepted,
                 PackedFrame, CallWithdraw, CrashReports, VersionReports, SeenVersions, QuotaAsk, QuotaGrant>;

/// An encoded frame, shared between the connections it is sent on.
using FramePtr = std::shared_ptr<const std::string>;

constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = kLengthBytes + 1;
/// What a message is for, so that traffic can be counted by purpose.
enum class Purpose { kControl, kLog, kLedger, kCall };
constexpr size_t kPurposes = 4;

/// @return the purpose of a message by its type byte.
Purpose purposeOf(size_t kind);

/// @return the type byte of a frame.
inline size_t kindOf(const std::string& frame) {
  return static_cast<size_t>(static_cast<unsigned char>(frame[kLengthBytes]));
}

/// @return the type byte of a message.
template <typename T>
constexpr size_t kindOf() {
  return []<typename... Kinds>(const std::variant<Kinds...>*) {
    size_t position = 0;
    (void)((std::is_same_v<Kinds, T> || (++position, false)) || ...);
    return position;
  }(static_cast<const Message*>(nullptr));
}

/// @return a frame of a message that is encoded already.
FramePtr makeFrame(size_t kind, std::string_view encoded);

/// @return the name of a message as in the IDL, by its type byte; for logs.
std::string_view messageName(size_t kind);

/// Longest frame that a peer may send, in bytes.
constexpr size_t kMaxFrameBytes = 64U << 20;
/// Longest string and longest list inside a frame.
constexpr int kMaxStringBytes = 32 << 20;
constexpr int kMaxListItems = 2'000'000;

/// @return the message as a complete frame.
FramePtr encodeFrame(const Message& message);

/// Packs a frame that is worth it, for peers that take PackedFrame.
/// @return the packed frame, or the given one where packing it gains nothing
FramePtr packFrame(const FramePtr& frame);

/// Decodes the part of a frame behind its length; a packed one is unpacked.
/// @return the message, or kBadFrame
absl::StatusOr<Message> decodeFrame(std::string_view typeAndPayload);

/// @return a struct in Thrift compact form, without a frame around it.
template <typename T>
std::string encodeStruct(const T& value);

/// @return the struct, or kBadFrame
template <typename T>
absl::StatusOr<T> decodeStruct(std::string_view bytes);

/// Cuts a stream of bytes into frames.
class FrameReader {
 public:
  /// Adds bytes as they arrived.
  void append(std::string_view bytes) { buffer_.append(bytes); }

  /// Takes the next whole message.
  /// @return true when `message` was set, false when more bytes are needed, or the error that ends the stream
  absl::StatusOr<bool> next(Message* message);

  /// Takes the bytes that are not part of a message taken so far.
  std::string takeRemainingBytes();

  /// @return whether a message has begun and its rest is missing.
  bool hasPartialFrame() const { return position_ < buffer_.size(); }

 private:
  void releaseBuffer();

  std::string buffer_;   // bytes not yet taken, from position_ on
  size_t position_ = 0;  // start of the next frame in buffer_
};

}  // namespace driftlug::wire
