/// HTTP client for the local back end of a node.
#pragma once

#include <string>

#include "base/network.h"
#include "node/call_types.h"
#include "transport/http_client.h"

namespace driftlug::apps {

/// Names of the headers sent to a back end, in lower case; an empty name disables the header.
struct BackendHeaders {
  std::string deadline = "x-deadline-ms";  ///< milliseconds left until the deadline
  std::string correlation;                 ///< request id that the back end echoes
  std::string incarnation;                 ///< incarnation that the request is addressed to
};

/// Implements node::BackendClient with a pool of HTTP connections.
class HttpBackend : public node::BackendClient {
 public:
  /// @param budget of the bodies of responses; null for none
  HttpBackend(transport::EventLoop& loop, const base::Address& address, size_t maxConnections, BackendHeaders headers,
              memory::body_budget* budget = nullptr);

  /// Sets the maximum number of connections.
  void setMaxConnections(size_t maxConnections) { pool_.setMaxConnections(maxConnections); }

  /// @return the pool of connections.
  const transport::HttpClientPool& pool() const { return pool_; }

  const transport::HttpPoolCounters& counters() const { return pool_.counters(); }

  uint64_t send(const wire::CallRequest& request, base::Duration timeout,
                std::function<void(node::BackendAnswer)> done) override;
  uint64_t sendWithBody(const wire::CallRequest& request, memory::shared_body body, base::Duration timeout,
                        std::function<void(node::BackendAnswer)> done) override;
  void cancel(uint64_t id) override;
  void dropIdleConnections() override { pool_.closeIdleConnections(); }

 private:
  BackendHeaders headers_;
  transport::HttpClientPool pool_;
};

}  // namespace driftlug::apps
