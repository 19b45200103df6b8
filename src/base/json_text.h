/// Serialization of JSON values.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace driftlug::base {

/// @return the value on one line. Invalid UTF-8, for instance from a received path, is replaced by U+FFFD; plain dump()
/// would throw.
inline std::string jsonText(const nlohmann::json& value) {
  constexpr int kOneLine = -1;
  return value.dump(kOneLine, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace driftlug::base
