/// Names of the lives of a back end.
///
/// A back end may start again under the name that it had, and knows nothing of before. Each of its starts is an
/// endpoint of its own to all other nodes, so that nothing that was learned of one life, or said of it, holds for the
/// next: what others keep by endpoint (links, latencies, ejections, fullness, drains) begins anew by itself.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace driftlug::node {

/// @param startedAtMs Unix time of the start by the back end's own clock; 0 when it does not say
/// @return the endpoint's name: that of the back end, followed by a mark of this start
std::string endpointNameOf(std::string_view backend, int64_t startedAtMs);

/// @return the name by which the back end knows itself.
std::string_view backendNameOf(std::string_view endpoint);

}  // namespace driftlug::node
