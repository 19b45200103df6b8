#include "wire/bulk_frames.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace driftlug::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

/// Field numbers of SliceUpdate and TableUpdate, which have the same layout.
enum UpdateField : int16_t { kFromRevision = 1, kToRevision = 2, kFull = 3, kRows = 4, kDigest = 5 };

/// Field numbers of AppendRequest.
enum AppendField : int16_t {
  kTerm = 1,
  kLeader = 2,
  kPreviousIndex = 3,
  kPreviousTerm = 4,
  kEntries = 5,
  kCommitIndex = 6,
  kRound = 7
};

/// Field numbers of EditCommand.
enum EditField : int16_t { kRequestId = 1, kAuthor = 2, kMutations = 3, kBaseRevision = 4 };

/// Writes the fields of one struct, which must be written in the order of their numbers.
class StructWriter {
 public:
  StructWriter() { protocol_.writeStructBegin(""); }

  void number(int16_t field, int64_t value) {
    protocol_.writeFieldBegin("", TType::T_I64, field);
    protocol_.writeI64(value);
    protocol_.writeFieldEnd();
  }

  void flag(int16_t field, bool value) {
    protocol_.writeFieldBegin("", TType::T_BOOL, field);
    protocol_.writeBool(value);
    protocol_.writeFieldEnd();
  }

  void text(int16_t field, const std::string& value) {
    protocol_.writeFieldBegin("", TType::T_STRING, field);
    protocol_.writeString(value);
    protocol_.writeFieldEnd();
  }

  template <typename Struct>
  void nested(int16_t field, const Struct& value) {
    protocol_.writeFieldBegin("", TType::T_STRUCT, field);
    value.write(&protocol_);
    protocol_.writeFieldEnd();
  }

  template <typename Struct>
  void list(int16_t field, std::span<const Struct* const> items) {
    protocol_.writeFieldBegin("", TType::T_LIST, field);
    protocol_.writeListBegin(TType::T_STRUCT, static_cast<uint32_t>(items.size()));
    for (const auto* item : items) item->write(&protocol_);
    protocol_.writeListEnd();
    protocol_.writeFieldEnd();
  }

  /// Ends the struct.
  /// @return its bytes; valid as long as this object
  std::string_view finish() {
    protocol_.writeFieldStop();
    protocol_.writeStructEnd();
    uint8_t* bytes = nullptr;
    uint32_t size = 0;
    buffer_->getBuffer(&bytes, &size);
    return {reinterpret_cast<const char*>(bytes), size};
  }

 private:
  std::shared_ptr<TMemoryBuffer> buffer_ = std::make_shared<TMemoryBuffer>();
  CompactProtocol protocol_{buffer_};
};

FramePtr encodeUpdate(size_t kind, const RowUpdateHeader& head, std::span<const Row* const> rows) {
  StructWriter out;
  out.number(kFromRevision, head.fromRevision);
  out.number(kToRevision, head.toRevision);
  out.flag(kFull, head.full);
  out.list(kRows, rows);
  out.nested(kDigest, head.digest);
  return makeFrame(kind, out.finish());
}

}  // namespace

FramePtr encodeSliceUpdate(const RowUpdateHeader& head, std::span<const Row* const> rows) {
  return encodeUpdate(kindOf<SliceUpdate>(), head, rows);
}

FramePtr encodeTableUpdate(const RowUpdateHeader& head, std::span<const Row* const> rows) {
  return encodeUpdate(kindOf<TableUpdate>(), head, rows);
}

FramePtr encodeAppendRequest(const AppendRequest& head, std::span<const LogEntry* const> entries) {
  StructWriter out;
  out.number(kTerm, head.term);
  out.text(kLeader, head.leader);
  out.number(kPreviousIndex, head.previousIndex);
  out.number(kPreviousTerm, head.previousTerm);
  out.list(kEntries, entries);
  out.number(kCommitIndex, head.commitIndex);
  out.number(kRound, head.round);
  return makeFrame(kindOf<AppendRequest>(), out.finish());
}

std::string encodeMutations(const std::vector<Mutation>& mutations) {
  std::vector<const Mutation*> items;
  items.reserve(mutations.size());
  for (const auto& mutation : mutations) items.push_back(&mutation);
  StructWriter out;
  out.text(kRequestId, "");
  out.text(kAuthor, "");
  out.list(kMutations, std::span<const Mutation* const>(items));
  out.number(kBaseRevision, 0);
  return std::string(out.finish());
}

}  // namespace driftlug::wire
