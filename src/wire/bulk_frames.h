/// Frames that carry many rows or log entries, encoded from these where they are.
#pragma once

#include <cstdint>
#include <span>

#include "wire/frame.h"

namespace driftlug::wire {

/// What a message with rows says beside them.
struct RowUpdateHeader {
  int64_t fromRevision = 0;
  int64_t toRevision = 0;
  bool full = false;
  Digest digest;
};

/// @return the frame of a SliceUpdate with these rows.
FramePtr encodeSliceUpdate(const RowUpdateHeader& head, std::span<const Row* const> rows);

/// @return the frame of a TableUpdate with these rows.
FramePtr encodeTableUpdate(const RowUpdateHeader& head, std::span<const Row* const> rows);

/// @param head its own entries are left out
/// @return the frame of an AppendRequest with these entries.
FramePtr encodeAppendRequest(const AppendRequest& head, std::span<const LogEntry* const> entries);

/// @return the encoding of an EditCommand that has these mutations and nothing else.
std::string encodeMutations(const std::vector<Mutation>& mutations);

}  // namespace driftlug::wire
