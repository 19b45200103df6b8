/// Frame format: four-byte big-endian length, one-byte message type, then a struct in Thrift compact encoding.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "wire/gen/driftlug_types.h"

namespace driftlug::wire {

/// All messages between processes. The index is the type byte on the wire and must never change.
using Message =
    std::variant<Hello, VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotChunkAck,
                 TimeoutNow, RelaySubscribe, NotLeader, TableUpdate, ControllerHeartbeat, ConfirmRequest, ConfirmReply,
                 ConvergenceReport, NodeSubscribe, SliceUpdate, SliceApplied, SliceRejected, NodeHeartbeat, RetryLater,
                 RelayHeld, EndpointStates, CallRequest, CallResponse, CallCancel, KeepAlive, LedgerRequest,
                 LedgerReply, MemberList, RelayList, StartCompression, CallBodyGrant, CallBodyPiece, CallAccepted,
                 PackedFrame, CallWithdraw, CrashReports, VersionReports, SeenVersions, QuotaAsk, QuotaGrant,
                 CallAnswerPiece, CallAnswerCredit>;

/// An encoded frame, shared by all connections that send it.
using FramePtr = std::shared_ptr<const std::string>;

constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = kLengthBytes + 1;
/// Purpose of a message, used to count traffic.
enum class Purpose { kControl, kLog, kLedger, kCall };
constexpr size_t kPurposes = 4;

/// @return the purpose of messages with a type byte.
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

/// @return a frame with a message that is already encoded.
FramePtr makeFrame(size_t kind, std::string_view encoded);

/// @return the IDL name of messages with a type byte, for logs.
std::string_view messageName(size_t kind);

/// Maximum length of a frame from a peer, in bytes.
constexpr size_t kMaxFrameBytes = 64U << 20;
/// Maximum sizes of a string and of a list inside a frame.
constexpr int kMaxStringBytes = 32 << 20;
constexpr int kMaxListItems = 2'000'000;

/// @return the encoded frame of a message.
FramePtr encodeFrame(const Message& message);

/// Compresses a frame, for peers that support PackedFrame.
/// @return the packed frame, or the given one when it is short or packing does not make it smaller
FramePtr packFrame(const FramePtr& frame);

/// Decodes a frame without its length prefix; unpacks a PackedFrame.
/// @param maxUnpackedBytes maximum length of what a PackedFrame holds
/// @return the message, or kBadFrame
absl::StatusOr<Message> decodeFrame(std::string_view typeAndPayload, size_t maxUnpackedBytes = kMaxFrameBytes);

/// @return a struct in Thrift compact encoding, without a frame.
template <typename T>
std::string encodeStruct(const T& value);

/// @return the decoded struct, or kBadFrame
template <typename T>
absl::StatusOr<T> decodeStruct(std::string_view bytes);

/// Splits a byte stream into messages.
class FrameReader {
 public:
  /// Changes the maximum length of a frame.
  void setMaxFrameBytes(size_t bytes) { maxFrameBytes_ = bytes; }

  /// Appends received bytes.
  void append(std::string_view bytes) { buffer_.append(bytes); }

  /// Extracts the next complete message.
  /// @return true when `message` was set, false when more bytes are needed, or an error after which the stream is
  /// unusable
  absl::StatusOr<bool> next(Message* message);

  /// Removes and returns the bytes after the last extracted message.
  std::string takeRemainingBytes();

  /// @return whether unread bytes remain: the beginning of an incomplete frame once next() has returned false.
  bool hasPartialFrame() const { return position_ < buffer_.size(); }

 private:
  void releaseBuffer();

  size_t maxFrameBytes_ = kMaxFrameBytes;
  std::string buffer_;   // unread bytes from position_ on
  size_t position_ = 0;  // start of the next frame in buffer_
};

}  // namespace driftlug::wire
