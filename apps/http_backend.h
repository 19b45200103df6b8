/// The back end beside a node, reached over HTTP.
#pragma once

#include <string>

#include "base/network.h"
#include "node/call_types.h"
#include "transport/http_client.h"

namespace driftlug::apps {

/// Headers that a back end understands, in lower case; an empty one is not used.
struct BackendHeaders {
  std::string deadline = "x-deadline-ms";  ///< milliseconds left
  std::string correlation;                 ///< returned as it was sent
  std::string incarnation;                 ///< the incarnation that the request is meant for
};

/// node::BackendClient over a pool of HTTP connections.
class HttpBackend : public node::BackendClient {
 public:
  HttpBackend(transport::EventLoop& loop, const base::Address& address, size_t maxConnections, BackendHeaders headers);

  /// Changes how many connections there may be.
  void setMaxConnections(size_t maxConnections) { pool_.setMaxConnections(maxConnections); }

  /// @return the pool of connections.
  const transport::HttpClientPool& pool() const { return pool_; }

  const transport::HttpPoolCounters& counters() const { return pool_.counters(); }

  uint64_t send(const wire::CallRequest& request, base::Duration timeout,
                std::function<void(node::BackendAnswer)> done) override;
  void cancel(uint64_t id) override;
  void forgetConnections() override { pool_.closeIdleConnections(); }

 private:
  BackendHeaders headers_;
  transport::HttpClientPool pool_;
};

}  // namespace driftlug::apps
