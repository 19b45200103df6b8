/// A pool of keep-alive HTTP/1.1 connections to one endpoint.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/event_loop.h"
#include "transport/http.h"

namespace driftlug::transport {

/// How far a request got.
enum class HttpOutcome {
  kCompleted,  ///< a whole response arrived
  kNotSent,    ///< nothing of the request was sent
  kUnknown,    ///< the request was sent at least in part, and no whole response came
};

/// Result of one request.
struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kUnknown;
  bool timedOut = false;
  HttpResponse response;
};

/// Identifies one request of a pool; never reused.
using HttpRequestId = uint64_t;

/// Counters of a pool.
struct HttpPoolCounters {
  int64_t requests = 0;
  int64_t failures = 0;
};

/// Sends requests over at most a given number of connections; more wait in order.
///
/// Each pool slot is a vhost of its own, because libwebsockets keeps connections per vhost and endpoint. A
/// connection whose request ended without a whole response is closed, never reused.
class HttpClientPool {
 public:
  using Callback = std::function<void(HttpResult)>;

  HttpClientPool(EventLoop& loop, std::string name, std::string host, int port, size_t maxConnections);
  ~HttpClientPool();

  /// Sends a request; the callback comes later, never from within this call.
  HttpRequestId send(HttpRequest request, base::Duration timeout, Callback done);

  /// Gives up a request; no callback follows.
  void cancel(HttpRequestId id);

  size_t inFlight() const { return active_.size(); }
  const HttpPoolCounters& counters() const { return counters_; }

 private:
  struct Active {
    HttpRequest request;
    Callback done;
    size_t slot = 0;
    lws* wsi = nullptr;
    bool handshakeSent = false;
    bool bodySent = false;
    bool completed = false;
    int64_t contentLength = -1;
    HttpResult result;
    base::TimerId timer = 0;
  };

  struct Waiting {
    HttpRequestId id;
    HttpRequest request;
    base::Duration timeout;
    Callback done;
  };

  static int onEvent(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);
  int handleEvent(lws* wsi, lws_callback_reasons reason, void* in, size_t length);
  void start(Waiting waiting);
  void startWaiting();
  Active* find(HttpRequestId id);
  int appendHeaders(Active* active, lws* wsi, unsigned char** position, size_t room);
  int writeBody(Active* active, lws* wsi);
  void readResponseHead(Active* active, lws* wsi);
  void finish(HttpRequestId id);
  void onTimeout(HttpRequestId id);
  void release(Active* active);
  void kill(Active* active);

  EventLoop& loop_;
  std::string name_;
  std::string host_;
  int port_;
  size_t maxConnections_;
  lws_protocols protocols_[2];
  std::vector<lws_vhost*> slots_;  // one connection each
  std::vector<size_t> freeSlots_;  // most recently used last
  HttpRequestId nextId_ = 1;
  std::map<HttpRequestId, std::unique_ptr<Active>> active_;
  std::deque<Waiting> waiting_;
  HttpPoolCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::transport
