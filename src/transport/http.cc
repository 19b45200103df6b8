#include "transport/http.h"

#include <absl/strings/str_split.h>

#include <array>

namespace driftlug::transport {
namespace {

constexpr std::array<std::string_view, 10> kHopByHop = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "proxy-connection"};

}  // namespace

std::string_view findHeader(const std::vector<wire::HttpHeader>& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

std::string_view HttpRequest::header(std::string_view name) const { return findHeader(headers, name); }

std::string HttpRequest::parameter(std::string_view name) const {
  for (const auto& part : absl::StrSplit(query, '&')) {
    const std::string text(part);
    if (text.size() > name.size() && text.compare(0, name.size(), name) == 0 && text[name.size()] == '=') {
      return text.substr(name.size() + 1);
    }
  }
  return "";
}

wire::HttpHeader makeHeader(std::string name, std::string value) {
  wire::HttpHeader header;
  header.name = std::move(name);
  header.value = std::move(value);
  return header;
}

HttpResponse jsonResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back(makeHeader("content-type", "application/json"));
  response.body = std::move(body);
  return response;
}

bool statusHasBody(int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status >= kFirstFinal && status != kNoContent && status != kNotModified;
}

bool isHopByHop(std::string_view name) {
  for (const auto& entry : kHopByHop) {
    if (entry == name) return true;
  }
  return false;
}

}  // namespace driftlug::transport
