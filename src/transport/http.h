/// HTTP requests and responses, and helpers for headers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "memory/shared_body.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::transport {

/// Bodies up to this size are copied behind the head of their message, which is cheaper than a buffer of their own.
constexpr size_t kMaxCopiedBodyBytes = size_t{16} << 10;

/// A complete HTTP request.
struct HttpRequest {
  std::string method;
  std::string path;                       ///< without the query
  std::string query;                      ///< without '?'
  std::vector<wire::HttpHeader> headers;  ///< lower-case names, without hop-by-hop headers
  std::string body;
  memory::shared_body sharedBody;  ///< in place of `body` where that is empty: of servers with a budget, and of clients
  bool firstOnConnection = false;  ///< set by HttpServer for the first request of a connection

  /// @return the body, whichever field holds it.
  std::string_view content() const { return body.empty() ? sharedBody.view() : std::string_view(body); }

  /// @return the value of a header, or an empty string.
  std::string_view header(std::string_view name) const;

  /// @return the value of a query parameter, not percent-decoded, or an empty string.
  std::string parameter(std::string_view name) const;
};

/// A complete HTTP response.
struct HttpResponse {
  int status = 200;
  std::vector<wire::HttpHeader> headers;
  std::string body;
  memory::shared_body sharedBody;  ///< in place of `body` where that is empty: of pools with a budget, and of servers

  /// @return the body, whichever field holds it.
  std::string_view content() const { return body.empty() ? sharedBody.view() : std::string_view(body); }
};

/// @return a header with the given name and value.
wire::HttpHeader makeHeader(std::string name, std::string value);

/// @return a response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

/// @return the value of the first header with that name, or an empty string.
std::string_view findHeader(const std::vector<wire::HttpHeader>& headers, std::string_view name);

/// @return whether responses with a status may have a body; others end with their head (RFC 9112, section 6.3).
bool statusHasBody(int status);

/// @return whether a header is hop-by-hop: it applies to one connection and is never forwarded.
bool isHopByHop(std::string_view name);

}  // namespace driftlug::transport
