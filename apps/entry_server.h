/// The HTTP listener of a node for callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "node/entry_calls.h"
#include "transport/http_server.h"

namespace driftlug::apps {

/// How callers and nodes speak of a call beside its own content. Header names are in lower case.
struct EntryHeaders {
  std::string deadline = "x-deadline-ms";  ///< milliseconds that the caller waits
  std::string credential;                  ///< key of a tenant, not passed on; empty for none
  std::string caller;                      ///< set by the entry node to the service beside it; empty for none
  std::string callerService;               ///< the value of that header
  std::vector<std::string> reserved;       ///< headers that only nodes may set; taken off what callers send
  bool fractionalRetryAfter = false;       ///< Retry-After in fractions of a second instead of whole ones
};

/// Takes calls over HTTP, hands them to the entry side and returns the answers.
class EntryServer {
 public:
  /// @param maxConnections of callers, open at once
  EntryServer(transport::EventLoop& loop, node::EntryCalls& entry, EntryHeaders headers,
              size_t maxConnections = SIZE_MAX);

  transport::HttpServer& server() { return server_; }
  const transport::HttpServer& server() const { return server_; }

  /// Takes the limits of a new version of the table.
  void useTable(const routing::RoutingTable& table);

 private:
  transport::HttpServerOptions defaultOptions() const;
  void onRequest(transport::ExchangeId exchange, transport::HttpRequest request);
  void onAbort(transport::ExchangeId exchange);
  node::InboundCall toInbound(transport::HttpRequest request) const;
  transport::HttpResponse toHttp(node::CallAnswer answer) const;

  node::EntryCalls& entry_;
  EntryHeaders headers_;
  size_t maxConnections_;
  std::map<transport::ExchangeId, node::CallId> calls_;
  transport::HttpServer server_;
};

}  // namespace driftlug::apps
