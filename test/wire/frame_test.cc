#include "wire/frame.h"

#include <catch2/catch.hpp>

#include "base/error.h"
#include "base/random.h"
#include "wire/bulk_frames.h"
#include "wire/deflate.h"

using namespace driftlug;

namespace {

wire::CallRequest someRequest() {
  wire::CallRequest request;
  request.callId = 77;
  request.serviceName = "claims";
  request.body = std::string(3000, 'x');
  return request;
}

}  // namespace

TEST_CASE("a frame is decoded wherever its bytes are split") {
  const auto frame = wire::encodeFrame(someRequest());
  for (size_t cut = 0; cut <= frame->size(); cut += 7) {
    wire::FrameReader reader;
    wire::Message message;
    reader.append(std::string_view(*frame).substr(0, cut));
    const auto first = reader.next(&message);
    REQUIRE(first.ok());
    if (!*first) {
      reader.append(std::string_view(*frame).substr(cut));
      REQUIRE(*reader.next(&message));
    }
    CHECK(std::get<wire::CallRequest>(message).body.size() == 3000);
    CHECK_FALSE(reader.hasPartialFrame());
  }
}

TEST_CASE("a frame over the size limit is refused before its content arrives") {
  wire::FrameReader reader;
  wire::Message message;
  reader.append(std::string("\xff\xff\xff\xff", 4));
  CHECK(base::errorCodeOf(reader.next(&message).status()) == base::ErrorCode::kFrameTooLarge);
}

TEST_CASE("random bytes never crash the decoder") {
  base::RandomSource random(7);
  int refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(1 + random.below(60), '\0');
    for (auto& byte : bytes) byte = static_cast<char>(random.below(256));
    bytes[0] = static_cast<char>(random.below(30));
    if (!wire::decodeFrame(bytes).ok()) ++refused;
  }
  CHECK(refused > 10000);
}

TEST_CASE("a damaged frame is refused or decodes to another whole message") {
  base::RandomSource random(8);
  const auto frame = wire::encodeFrame(someRequest());
  for (int round = 0; round < 2000; ++round) {
    auto damaged = frame->substr(wire::kLengthBytes);
    damaged[random.below(damaged.size())] ^= static_cast<char>(1 + random.below(255));
    const auto decoded = wire::decodeFrame(damaged);
    if (!decoded.ok()) CHECK(base::errorCodeOf(decoded.status()) == base::ErrorCode::kBadFrame);
  }
}

TEST_CASE("a large frame is packed and decodes to the original message; a small one stays unpacked") {
  wire::SliceUpdate update;
  update.full = true;
  for (int i = 0; i < 1200; ++i) {
    wire::Row row;
    row.key.name = "r-" + std::to_string(i * 7919);
    row.__isset.routeRow = true;
    row.routeRow.host = "shop" + std::to_string(i % 20) + ".example";
    row.routeRow.pathPrefix = "/path" + std::to_string(i) + "/";
    update.rows.push_back(row);
  }
  const auto plain = wire::encodeFrame(update);
  const auto packed = wire::packFrame(plain);
  CHECK(packed->size() * 2 < plain->size());
  const auto message = wire::decodeFrame(std::string_view(*packed).substr(wire::kLengthBytes));
  REQUIRE(message.ok());
  CHECK(std::get<wire::SliceUpdate>(*message).rows == update.rows);
  const auto small = wire::encodeFrame(wire::KeepAlive());
  CHECK(wire::packFrame(small) == small);
}

TEST_CASE("a packed frame that is broken, too long or packed twice is refused") {
  const auto decode = [](const std::string& deflated) {
    wire::PackedFrame packed;
    packed.deflated = deflated;
    const auto frame = wire::encodeFrame(packed);
    return wire::decodeFrame(std::string_view(*frame).substr(wire::kLengthBytes)).status();
  };
  CHECK(base::errorCodeOf(decode("no deflated bytes")) == base::ErrorCode::kBadFrame);
  const auto cut = wire::deflateBuffer(std::string(100'000, 'x'));
  CHECK(base::errorCodeOf(decode(cut.substr(0, cut.size() / 2))) == base::ErrorCode::kBadFrame);
  CHECK(base::errorCodeOf(decode(wire::deflateBuffer(std::string((64U << 20) + 1, 'x')))) ==
        base::ErrorCode::kBadFrame);
  wire::PackedFrame inner;
  inner.deflated = wire::deflateBuffer("x");
  const auto twice = wire::encodeFrame(inner);
  CHECK(base::errorCodeOf(decode(wire::deflateBuffer(std::string_view(*twice).substr(wire::kLengthBytes)))) ==
        base::ErrorCode::kBadFrame);
}

TEST_CASE("bulk-encoded row frames equal the encoded messages") {
  wire::SliceUpdate slice;
  slice.fromRevision = 7;
  slice.toRevision = 9;
  slice.full = true;
  slice.digest.low = 5;
  slice.digest.high = -5;
  std::vector<const wire::Row*> rows;
  for (const char* name : {"a", "b", "c"}) {
    wire::Row row;
    row.key.kind = wire::RowKind::SECRET;
    row.key.name = name;
    row.__isset.secretRow = true;
    slice.rows.push_back(row);
  }
  for (const auto& row : slice.rows) rows.push_back(&row);
  const wire::RowUpdateHeader head{slice.fromRevision, slice.toRevision, slice.full, slice.digest};
  CHECK(*wire::encodeSliceUpdate(head, rows) == *wire::encodeFrame(slice));
  wire::TableUpdate table;
  table.fromRevision = slice.fromRevision;
  table.toRevision = slice.toRevision;
  table.full = slice.full;
  table.rows = slice.rows;
  table.digest = slice.digest;
  CHECK(*wire::encodeTableUpdate(head, rows) == *wire::encodeFrame(table));
}

TEST_CASE("a bulk-encoded append equals the encoded message") {
  wire::AppendRequest append;
  append.term = 3;
  append.leader = "leader";
  append.previousIndex = 8;
  append.previousTerm = 2;
  append.commitIndex = 7;
  append.round = 99;
  for (int64_t index = 9; index < 12; ++index) {
    wire::LogEntry entry;
    entry.index = index;
    entry.kind = wire::EntryKind::EDIT;
    entry.__isset.edit = true;
    entry.edit.requestId = "request";
    append.entries.push_back(entry);
  }
  std::vector<const wire::LogEntry*> entries;
  for (const auto& entry : append.entries) entries.push_back(&entry);
  CHECK(*wire::encodeAppendRequest(append, entries) == *wire::encodeFrame(append));
}

TEST_CASE("encoded mutations equal a command with mutations only") {
  wire::EditCommand command;
  command.mutations.resize(3);
  command.mutations[1].row.key.name = "name";
  command.mutations[2].expectedRevision = -1;
  CHECK(wire::encodeMutations(command.mutations) == wire::encodeStruct(command));
}
