/// Comparison of freshness values, each a round that a quorum of controllers has confirmed.
#pragma once

#include <tuple>

#include "wire/gen/driftlug_types.h"

namespace driftlug::membership {

/// @return whether `left` is newer than `right`.
inline bool isNewer(const wire::Freshness& left, const wire::Freshness& right) {
  return std::tie(left.term, left.round) > std::tie(right.term, right.round);
}

}  // namespace driftlug::membership
