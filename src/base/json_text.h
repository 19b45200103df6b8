/// JSON values as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace driftlug::base {

/// @return the value on one line. Bytes that are no UTF-8, such as those of a path that somebody sent, become U+FFFD;
/// dump() by itself throws for them.
inline std::string jsonText(const nlohmann::json& value) {
  constexpr int kOneLine = -1;
  return value.dump(kOneLine, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace driftlug::base
