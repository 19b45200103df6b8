/// The HTTP listener of a node for callers.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "node/entry_calls.h"
#include "transport/http_server.h"

namespace driftlug::apps {

/// Names of the headers that carry metadata of calls between callers and nodes, in lower case.
struct EntryHeaders {
  std::string deadline = "x-deadline-ms";  ///< milliseconds that the caller waits for an answer
  std::string credential;                  ///< API key of a tenant, not forwarded; empty for none
  std::string caller;                      ///< set by the entry node to its local service; empty for none
  std::string callerService;               ///< value of the caller header
  std::vector<std::string> reserved;       ///< headers that only nodes may set; removed from requests of callers
  bool fractionalRetryAfter = false;       ///< Retry-After in fractions of a second instead of whole ones
};

/// Accepts calls over HTTP, passes them to the entry side and returns the answers.
class EntryServer {
 public:
  /// @param maxConnections limit of concurrent caller connections
  /// @param budget of the bodies of requests; null for none
  EntryServer(transport::EventLoop& loop, node::EntryCalls& entry, EntryHeaders headers,
              size_t maxConnections = SIZE_MAX, memory::body_budget* budget = nullptr);

  transport::HttpServer& server() { return server_; }
  const transport::HttpServer& server() const { return server_; }

  /// Applies the ingress limits of a new version of the table.
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
  memory::body_budget* budget_;  // may be null
  std::map<transport::ExchangeId, node::CallId> calls_;
  transport::HttpServer server_;
};

}  // namespace driftlug::apps
