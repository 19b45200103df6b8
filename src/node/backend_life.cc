#include "node/backend_life.h"

#include <algorithm>

namespace driftlug::node {
namespace {

/// Between the name and the mark of a start. A name that contains it gets a mark in any case, so that the last one is
/// always the separator.
constexpr char kSeparator = '~';
constexpr char kDigits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
constexpr uint64_t kBase = 36;  // eight digits for a time of our days, where decimals take thirteen on every call

std::string markOf(int64_t startedAtMs) {
  std::string mark;
  auto rest = static_cast<uint64_t>(startedAtMs);
  do {
    mark.push_back(kDigits[rest % kBase]);
    rest /= kBase;
  } while (rest > 0);
  std::reverse(mark.begin(), mark.end());
  return mark;
}

}  // namespace

std::string endpointNameOf(std::string_view backend, int64_t startedAtMs) {
  std::string name(backend);
  if (startedAtMs == 0 && name.find(kSeparator) == std::string::npos) return name;
  return name + kSeparator + markOf(startedAtMs);
}

std::string_view backendNameOf(std::string_view endpoint) { return endpoint.substr(0, endpoint.rfind(kSeparator)); }

}  // namespace driftlug::node
