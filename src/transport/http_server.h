/// An HTTP/1.1 server on libwebsockets that hands over whole requests.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/event_loop.h"
#include "transport/http.h"

namespace driftlug::transport {

/// Identifies one request within a server; never reused.
using ExchangeId = uint64_t;

/// Limits of a server.
struct HttpServerOptions {
  size_t maxBodyBytes = 8U << 20;
};

/// Counters of a server.
struct HttpServerCounters {
  int64_t requests = 0;
  int64_t tooLarge = 0;
  int64_t aborted = 0;
  int64_t badLength = 0;
};

/// Accepts requests and sends responses, in any order, each to the connection its request came on.
class HttpServer {
 public:
  /// Takes a whole request; respond() is called for it once, then or later.
  using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;
  /// The caller went away before it was answered.
  using AbortHandler = std::function<void(ExchangeId)>;

  HttpServer(EventLoop& loop, std::string name, HttpServerOptions options, RequestHandler onRequest,
             AbortHandler onAbort);

  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port);

  /// Answers a request; ignored when the caller went away.
  void respond(ExchangeId exchange, HttpResponse response);

  /// Asks callers to close their connections after the next response.
  void setDraining() { draining_ = true; }

  const HttpServerCounters& counters() const { return counters_; }

  /// @return requests that were not answered yet.
  size_t pending() const { return exchanges_.size(); }

 private:
  struct Exchange {
    lws* wsi = nullptr;
    HttpRequest request;
    size_t expectedBytes = 0;
    bool dispatched = false;  // the request is whole and was handed over
    bool refused = false;     // answered before its body was read; the connection closes
    bool responded = false;
    bool headersSent = false;
    HttpResponse response;
    size_t offset = 0;  // bytes of the response body already written
  };

  static int onEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);
  int handleEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);
  int onRequestHead(lws* wsi, int* requestsBefore, std::string path);
  void dispatch(ExchangeId id);
  void refuse(ExchangeId id, int status, const char* error, const char* sentence);
  int onWriteable(lws* wsi);
  int writeHead(Exchange* exchange);
  Exchange* exchangeOf(lws* wsi, ExchangeId* id);

  EventLoop& loop_;
  std::string name_;
  HttpServerOptions options_;
  RequestHandler onRequest_;
  AbortHandler onAbort_;
  lws_protocols protocols_[2];
  ExchangeId nextId_ = 1;
  std::map<ExchangeId, Exchange> exchanges_;
  bool draining_ = false;
  HttpServerCounters counters_;
};

}  // namespace driftlug::transport
