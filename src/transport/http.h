/// HTTP messages as the project's parts see them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::transport {

/// A whole request.
struct HttpRequest {
  std::string method;
  std::string path;                       ///< without the query
  std::string query;                      ///< without '?'
  std::vector<wire::HttpHeader> headers;  ///< names in lower case, hop-by-hop ones left out
  std::string body;
  bool firstOnConnection = false;  ///< set by a server for the first request of a connection

  /// @return the value of a header, or empty.
  std::string_view header(std::string_view name) const;

  /// @return the value of a query parameter, or empty.
  std::string parameter(std::string_view name) const;
};

/// A whole response.
struct HttpResponse {
  int status = 200;
  std::vector<wire::HttpHeader> headers;
  std::string body;
};

/// @return a header.
wire::HttpHeader makeHeader(std::string name, std::string value);

/// @return a response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

/// @return the value of a header in a list, or empty.
std::string_view findHeader(const std::vector<wire::HttpHeader>& headers, std::string_view name);

/// @return whether a header belongs to one connection only and is never forwarded.
bool isHopByHop(std::string_view name);

}  // namespace driftlug::transport
