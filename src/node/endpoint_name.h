/// Endpoint names, which distinguish the starts of a back end.
///
/// A back end may restart under its previous name without any of its state. Each start is a separate endpoint to all
/// other nodes, so that state that they keep by endpoint (links, latencies, ejections, fullness, drains) is not carried
/// over from one start to the next.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace driftlug::node {

/// @param startedAtMs Unix time of the start by the back end's own clock, in milliseconds; 0 if unknown
/// @return the endpoint's name: the name of the back end, followed by a suffix for this start
std::string endpointNameOf(std::string_view backend, int64_t startedAtMs);

/// @return the back end's own name, without the suffix.
std::string_view backendNameOf(std::string_view endpoint);

}  // namespace driftlug::node
