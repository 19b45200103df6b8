/// Seeded random numbers, so that simulations are reproducible.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>

#include "base/time.h"

namespace driftlug::base {

/// Seeded pseudo-random number generator (PCG-64).
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  /// @return a number in [0, bound); 0 when bound is 0.
  uint64_t below(uint64_t bound) {
    if (bound == 0) return 0;
    const auto wide = static_cast<unsigned __int128>(engine_()) * bound;
    return static_cast<uint64_t>(wide >> 64);
  }

  /// @return a number in [0, 1).
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  /// @return true with the given probability.
  bool chance(double probability) { return unit() < probability; }

  /// @return a duration in [0, bound).
  Duration duration(Duration bound) { return Duration(below(static_cast<uint64_t>(bound.count()))); }

  /// @return 64 random bits.
  uint64_t bits() { return engine_(); }

 private:
  pcg64 engine_;
};

}  // namespace driftlug::base
