/// Reading and writing headers of libwebsockets connections.
#pragma once

#include <libwebsockets.h>

#include <string>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::transport {

/// Names of headers unknown to libwebsockets that are taken from messages; the library can't list others.
const std::vector<std::string>& customHeaderNames();

/// Adds a name to customHeaderNames().
void addCustomHeaderName(const std::string& name);

/// @return all end-to-end headers of the message that a connection has read.
std::vector<wire::HttpHeader> readHeaders(lws* wsi);

/// @return the value of one token, such as WSI_TOKEN_HTTP_URI_ARGS, or empty.
std::string readToken(lws* wsi, lws_token_indexes token);

/// Writes headers behind *position.
/// @return whether they fitted before end
bool writeHeaders(lws* wsi, const std::vector<wire::HttpHeader>& headers, unsigned char** position, unsigned char* end);

}  // namespace driftlug::transport
