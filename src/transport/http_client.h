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
#include "transport/http_reader.h"
#include "transport/tcp_stream.h"

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

/// Settings of a pool.
struct HttpPoolOptions {
  size_t maxConnections = 1;
  /// A header, in lower case, that the server returns as the request had it; a response with another value belongs to
  /// an earlier request and is dropped. Empty when there is none.
  std::string correlationHeader;
  /// How long a connection may have been idle and be used again, where the server does not state a time.
  base::Duration maxIdle = base::seconds(4);
  /// Taken off the time that the server states, for a close that is already on its way.
  base::Duration idleMargin = base::milliseconds(800);
};

/// Counters of a pool.
struct HttpPoolCounters {
  int64_t requests = 0;
  int64_t failures = 0;
  int64_t connections = 0;     ///< opened
  int64_t strayResponses = 0;  ///< dropped because they belonged to no waiting request
};

/// Sends requests over at most a given number of connections; more wait in order. One request is on a connection at a
/// time. A connection is used again only behind a whole response to a request that was sent whole, with nothing else
/// behind it, and not behind a request of its time on another connection that got no byte of an answer.
class HttpClientPool {
 public:
  using Callback = std::function<void(HttpResult)>;

  HttpClientPool(EventLoop& loop, std::string name, std::string host, int port, size_t maxConnections);
  HttpClientPool(EventLoop& loop, std::string name, const base::Address& address, HttpPoolOptions options);
  ~HttpClientPool();

  /// Sends a request; the callback comes later, never from within this call.
  HttpRequestId send(HttpRequest request, base::Duration timeout, Callback done);

  /// Gives up a request and closes its connection; no callback follows.
  void cancel(HttpRequestId id);

  /// Closes the connections that no request is on.
  void closeIdleConnections();

  /// Changes how many connections there may be.
  void setMaxConnections(size_t maxConnections) { options_.maxConnections = maxConnections; }

  size_t maxConnections() const { return options_.maxConnections; }

  size_t inFlight() const { return pending_.size(); }

  /// @return connections that are open or being opened.
  size_t connections() const { return connections_.size(); }

  /// @return requests that wait for a connection.
  size_t waiting() const { return queue_.size(); }
  const HttpPoolCounters& counters() const { return counters_; }

 private:
  using ConnectionId = uint64_t;

  struct Connection : public StreamHandler {
    Connection(HttpClientPool& owner, ConnectionId connectionId)
        : pool(owner), id(connectionId), reader(HttpReader::Kind::kResponses, {}) {}
    ~Connection() override {
      if (stream) stream->close();
    }
    void onBytes(std::string_view bytes) override { pool.onBytes(this, bytes); }
    void onClosed(bool orderly) override { pool.onClosed(id, orderly); }

    HttpClientPool& pool;
    ConnectionId id;
    std::shared_ptr<TcpStream> stream;
    HttpReader reader;
    HttpRequestId request = 0;     // 0 while idle
    int64_t sentBytesAtStart = 0;  // bytes sent on the connection before the request in progress
    base::TimePoint idleUntil{};
    base::TimePoint startedAt{};       // of the request in progress
    base::TimePoint lastReceivedAt{};  // when anything came on the connection
    bool receivedSinceStart = false;   // something came since startedAt
    bool reusable = true;
  };

  struct PendingRequest {
    HttpRequest request;
    Callback done;
    ConnectionId connection = 0;
    base::TimerId timer = 0;
  };

  void start(HttpRequestId id);
  void startQueued();
  Connection* takeIdle();
  Connection* open();
  void write(Connection* connection, const HttpRequest& request);
  void onBytes(Connection* connection, std::string_view bytes);
  bool onResponse(Connection* connection, bool moreBytes);
  void onClosed(ConnectionId id, bool orderly);
  void onTimeout(HttpRequestId id);
  void finish(HttpRequestId id, HttpResult result);
  void fail(ConnectionId id, bool timedOut);
  bool matchesRequest(const Connection& connection, const HttpHead& head) const;
  void returnToPool(Connection* connection, const HttpHead& head, bool moreBytes);
  void closeUnresponsiveIdle(const Connection& connection);

  EventLoop& loop_;
  std::string name_;
  base::Address address_;
  HttpPoolOptions options_;
  HttpRequestId nextId_ = 1;
  ConnectionId nextConnection_ = 1;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::vector<ConnectionId> idle_;  // most recently used last
  std::map<HttpRequestId, PendingRequest> pending_;
  std::deque<HttpRequestId> queue_;  // in active_, without a connection
  HttpPoolCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::transport
