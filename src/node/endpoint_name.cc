#include "node/endpoint_name.h"

#include <algorithm>

namespace driftlug::node {
namespace {

/// Separates the name from the suffix of a start. A name that contains it always gets a suffix, so that the last
/// occurrence is the separator.
constexpr char kSeparator = '~';
constexpr char kDigits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
constexpr uint64_t kBase = 36;  // a current time takes 8 digits instead of 13 decimal ones, in every call

std::string startSuffixOf(int64_t startedAtMs) {
  std::string suffix;
  auto remaining = static_cast<uint64_t>(startedAtMs);
  do {
    suffix.push_back(kDigits[remaining % kBase]);
    remaining /= kBase;
  } while (remaining > 0);
  std::reverse(suffix.begin(), suffix.end());
  return suffix;
}

}  // namespace

std::string endpointNameOf(std::string_view backend, int64_t startedAtMs) {
  std::string name(backend);
  if (startedAtMs == 0 && name.find(kSeparator) == std::string::npos) return name;
  return name + kSeparator + startSuffixOf(startedAtMs);
}

std::string_view backendNameOf(std::string_view endpoint) { return endpoint.substr(0, endpoint.rfind(kSeparator)); }

}  // namespace driftlug::node
