/// Encoding of frames with many rows or log entries, directly from the caller's objects without copying them into a
/// message.
#pragma once

#include <cstdint>
#include <span>

#include "wire/frame.h"

namespace driftlug::wire {

/// Fields of SliceUpdate and TableUpdate other than the rows.
struct RowUpdateHeader {
  int64_t fromRevision = 0;
  int64_t toRevision = 0;
  bool full = false;
  Digest digest;
};

/// @return the frame of a SliceUpdate with the given rows.
FramePtr encodeSliceUpdate(const RowUpdateHeader& head, std::span<const Row* const> rows);

/// @return the frame of a TableUpdate with the given rows.
FramePtr encodeTableUpdate(const RowUpdateHeader& head, std::span<const Row* const> rows);

/// @param head fields of the message; its own entries are ignored
/// @return the frame of an AppendRequest with the given entries.
FramePtr encodeAppendRequest(const AppendRequest& head, std::span<const LogEntry* const> entries);

/// @return the encoding of an EditCommand with the given mutations and default values for all other fields.
std::string encodeMutations(const std::vector<Mutation>& mutations);

}  // namespace driftlug::wire
