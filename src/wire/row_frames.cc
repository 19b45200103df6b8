#include "wire/row_frames.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace driftlug::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

/// Field numbers of SliceUpdate and of TableUpdate, which are laid out alike.
enum Field : int16_t { kFromRevision = 1, kToRevision = 2, kFull = 3, kRows = 4, kDigest = 5 };

void writeRows(std::span<const Row* const> rows, CompactProtocol* out) {
  out->writeFieldBegin("rows", TType::T_LIST, kRows);
  out->writeListBegin(TType::T_STRUCT, static_cast<uint32_t>(rows.size()));
  for (const auto* row : rows) row->write(out);
  out->writeListEnd();
  out->writeFieldEnd();
}

void writeUpdate(const RowFrameHead& head, std::span<const Row* const> rows, CompactProtocol* out) {
  out->writeStructBegin("Update");
  out->writeFieldBegin("fromRevision", TType::T_I64, kFromRevision);
  out->writeI64(head.fromRevision);
  out->writeFieldEnd();
  out->writeFieldBegin("toRevision", TType::T_I64, kToRevision);
  out->writeI64(head.toRevision);
  out->writeFieldEnd();
  out->writeFieldBegin("full", TType::T_BOOL, kFull);
  out->writeBool(head.full);
  out->writeFieldEnd();
  writeRows(rows, out);
  out->writeFieldBegin("digest", TType::T_STRUCT, kDigest);
  head.digest.write(out);
  out->writeFieldEnd();
  out->writeFieldStop();
  out->writeStructEnd();
}

FramePtr encode(size_t kind, const RowFrameHead& head, std::span<const Row* const> rows) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol protocol(buffer);
  writeUpdate(head, rows, &protocol);
  uint8_t* bytes = nullptr;
  uint32_t size = 0;
  buffer->getBuffer(&bytes, &size);
  return frameOf(kind, {reinterpret_cast<const char*>(bytes), size});
}

}  // namespace

FramePtr encodeSliceUpdate(const RowFrameHead& head, std::span<const Row* const> rows) {
  return encode(kindOf<SliceUpdate>(), head, rows);
}

FramePtr encodeTableUpdate(const RowFrameHead& head, std::span<const Row* const> rows) {
  return encode(kindOf<TableUpdate>(), head, rows);
}

}  // namespace driftlug::wire
