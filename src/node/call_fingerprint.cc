#include "node/call_fingerprint.h"

#include <string_view>

namespace driftlug::node {
namespace {

std::string_view hostWithoutPort(const std::vector<wire::HttpHeader>& headers) {
  for (const auto& header : headers) {
    if (header.name == "host") return std::string_view(header.value).substr(0, header.value.find(':'));
  }
  return {};
}

}  // namespace

quarantine::request_fingerprint fingerprintOf(const InboundCall& call) {
  return quarantine::fingerprintOf({call.method, call.host, call.path, call.body.view()});
}

quarantine::request_fingerprint fingerprintOf(const wire::CallRequest& call, std::string_view body) {
  return quarantine::fingerprintOf({call.method, hostWithoutPort(call.headers), call.path, body});
}

}  // namespace driftlug::node
