/// Comparison of what controllers' quorums have confirmed.
#pragma once

#include <tuple>

#include "wire/gen/driftlug_types.h"

namespace driftlug::membership {

/// @return whether `left` is newer than `right`.
inline bool isNewer(const wire::Freshness& left, const wire::Freshness& right) {
  return std::tie(left.term, left.round) > std::tie(right.term, right.round);
}

}  // namespace driftlug::membership
