#include "transport/http_headers.h"

#include <algorithm>
#include <cctype>

#include "transport/http.h"

namespace driftlug::transport {
namespace {

std::vector<std::string>& mutableCustomNames() {
  static std::vector<std::string> names = {"idempotency-key", "x-request-id", "x-load",
                                           "x-deadline-ms",   "x-shed",       "x-priority"};
  return names;
}

/// @return the header name of a token, or empty when the token is no header.
std::string tokenName(int token) {
  const auto* text = lws_token_to_string(static_cast<lws_token_indexes>(token));
  if (text == nullptr) return "";
  std::string name(reinterpret_cast<const char*>(text));
  if (name.size() < 2 || name.back() != ':' || name[0] == ':') return "";
  name.pop_back();
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

void readCustom(lws* wsi, const std::string& name, std::vector<wire::HttpHeader>* headers) {
  const std::string key = name + ":";
  const int length = lws_hdr_custom_length(wsi, key.c_str(), static_cast<int>(key.size()));
  if (length < 0) return;
  std::string value(static_cast<size_t>(length) + 1, '\0');
  if (lws_hdr_custom_copy(wsi, value.data(), static_cast<int>(value.size()), key.c_str(),
                          static_cast<int>(key.size())) < 0) {
    return;
  }
  value.resize(static_cast<size_t>(length));
  headers->push_back(makeHeader(name, value));
}

}  // namespace

const std::vector<std::string>& customHeaderNames() { return mutableCustomNames(); }

void addCustomHeaderName(const std::string& name) { mutableCustomNames().push_back(name); }

std::string readToken(lws* wsi, lws_token_indexes token) {
  const int length = lws_hdr_total_length(wsi, token);
  if (length <= 0) return "";
  std::string value(static_cast<size_t>(length) + 1, '\0');
  if (lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), token) < 0) return "";
  value.resize(static_cast<size_t>(length));
  return value;
}

std::vector<wire::HttpHeader> readHeaders(lws* wsi) {
  std::vector<wire::HttpHeader> headers;
  for (int token = 0; token < WSI_TOKEN_COUNT; ++token) {
    const auto index = static_cast<lws_token_indexes>(token);
    if (lws_hdr_total_length(wsi, index) <= 0) continue;
    const auto name = tokenName(token);
    if (name.empty() || isHopByHop(name)) continue;
    headers.push_back(makeHeader(name, readToken(wsi, index)));
  }
  for (const auto& name : customHeaderNames()) readCustom(wsi, name, &headers);
  return headers;
}

bool writeHeaders(lws* wsi, const std::vector<wire::HttpHeader>& headers, unsigned char** position,
                  unsigned char* end) {
  for (const auto& header : headers) {
    if (isHopByHop(header.name)) continue;
    const std::string name = header.name + ":";
    const auto* nameBytes = reinterpret_cast<const unsigned char*>(name.c_str());
    const auto* valueBytes = reinterpret_cast<const unsigned char*>(header.value.data());
    const int length = static_cast<int>(header.value.size());
    if (lws_add_http_header_by_name(wsi, nameBytes, valueBytes, length, position, end) != 0) return false;
  }
  return true;
}

}  // namespace driftlug::transport
