/// The back end beside a node, reached over HTTP.
#pragma once

#include <string>

#include "base/network.h"
#include "node/call_types.h"
#include "transport/http_client.h"

namespace driftlug::apps {

/// node::BackendClient over a pool of HTTP connections.
class HttpBackend : public node::BackendClient {
 public:
  HttpBackend(transport::EventLoop& loop, const base::Address& address, size_t maxConnections);

  uint64_t send(const wire::CallRequest& request, base::Duration timeout,
                std::function<void(node::BackendAnswer)> done) override;
  void cancel(uint64_t id) override;

 private:
  transport::HttpClientPool pool_;
};

}  // namespace driftlug::apps
