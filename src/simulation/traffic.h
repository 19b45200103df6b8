/// Traffic counters of the simulated network.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

#include "wire/frame.h"

namespace driftlug::simulation {

constexpr size_t kMessageKinds = std::variant_size_v<wire::Message>;

/// @return the name of a message kind by its type byte.
std::string_view messageKindName(size_t kind);

/// Frames and bytes by message kind.
struct Traffic {
  std::array<int64_t, kMessageKinds> frames{};
  std::array<int64_t, kMessageKinds> bytes{};

  void add(const std::string& frame) {
    const auto kind = wire::kindOf(frame);
    ++frames[kind];
    bytes[kind] += static_cast<int64_t>(frame.size());
  }

  int64_t totalBytes() const {
    int64_t sum = 0;
    for (const auto count : bytes) sum += count;
    return sum;
  }
};

}  // namespace driftlug::simulation
