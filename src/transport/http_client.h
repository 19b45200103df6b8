/// A pool of keep-alive HTTP/1.1 connections to one endpoint.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/decision_log.h"
#include "transport/event_loop.h"
#include "transport/http.h"
#include "transport/http_reader.h"
#include "transport/tcp_stream.h"

namespace driftlug::transport {

/// Outcome of a request, as far as it is known to the client.
enum class HttpOutcome {
  kCompleted,  ///< a complete response arrived
  kNotSent,    ///< nothing of the request was sent
  kUnknown,    ///< at least a part of the request was sent, and no complete response arrived
};

/// Result of one request.
struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kUnknown;
  bool timedOut = false;
  bool overLimit = false;  ///< the server sent more than the pool reads of one response, or of others before it
  HttpResponse response;
};

/// Identifies a request of a pool; never reused.
using HttpRequestId = uint64_t;

/// Settings of a pool.
struct HttpPoolOptions {
  size_t maxConnections = 1;
  /// Lower-case name of a header that the server echoes. A response with another value belongs to an earlier request
  /// and is dropped. Empty to disable the check.
  std::string correlationHeader;
  /// Maximum idle time after which a connection is still reused, if the server sends no Keep-Alive timeout.
  base::Duration maxIdle = base::seconds(4);
  /// Subtracted from the server's Keep-Alive timeout, because a close may already be in flight.
  base::Duration idleMargin = base::milliseconds(800);
  size_t maxBodyBytes = size_t{64} << 20;  ///< of a response
  /// Budget of response bodies; null for none. With one, responses have a sharedBody. A response whose body has no room
  /// is not read until there is.
  memory::body_budget* budget = nullptr;
  /// Interim responses, and ones to other requests, after which a request fails: a server may send them without end.
  int maxOtherResponses = 16;
};

/// Counters of a pool.
struct HttpPoolCounters {
  int64_t requests = 0;
  int64_t failures = 0;
  int64_t connections = 0;     ///< opened
  int64_t strayResponses = 0;  ///< dropped because no pending request matched
  int64_t overLimit = 0;       ///< requests that failed because the server sent more than is read
  int64_t waitedForRoom = 0;   ///< responses that waited unread until there was room for their bodies
  /// Malformed responses by the error of their head; kNone where another part of them is invalid.
  std::array<int64_t, wire::kHttpHeadErrors> malformed{};
};

/// Sends requests over a limited number of connections; further requests wait in a FIFO queue. A connection carries one
/// request at a time. It is reused only after a complete response to a completely sent request with no further bytes
/// received, and not if a request on another connection got no response byte while this connection was silent too. A
/// malformed response fails its request at once.
class HttpClientPool {
 public:
  using Callback = std::function<void(HttpResult)>;

  HttpClientPool(EventLoop& loop, std::string name, std::string host, int port, size_t maxConnections);
  HttpClientPool(EventLoop& loop, std::string name, const base::Address& address, HttpPoolOptions options);
  ~HttpClientPool();

  /// Sends a request. The callback runs later, never from within this call.
  HttpRequestId send(HttpRequest request, base::Duration timeout, Callback done);

  /// Cancels a request and closes its connection; the callback does not run.
  void cancel(HttpRequestId id);

  /// Closes the connections without a request.
  void closeIdleConnections();

  /// Changes the maximum number of connections.
  void setMaxConnections(size_t maxConnections) { options_.maxConnections = maxConnections; }

  size_t maxConnections() const { return options_.maxConnections; }

  size_t inFlight() const { return pending_.size(); }

  /// @return number of connections that are open or being opened.
  size_t connections() const { return connections_.size(); }

  /// @return number of requests that wait for a connection.
  size_t queued() const { return queue_.size(); }
  const HttpPoolCounters& counters() const { return counters_; }

 private:
  using ConnectionId = uint64_t;

  struct Connection : public StreamHandler {
    Connection(HttpClientPool& owner, ConnectionId connectionId, const HttpReaderLimits& limits)
        : pool(owner), id(connectionId), reader(HttpReader::Kind::kResponses, limits) {}
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
    int64_t sentBytesAtStart = 0;  // bytes sent before the request in progress
    base::TimePoint idleUntil{};
    base::TimePoint startedAt{};       // of the request in progress
    base::TimePoint lastReceivedAt{};  // when the last bytes arrived
    bool receivedSinceStart = false;   // bytes arrived since startedAt
    bool reusable = true;
    int otherResponses = 0;   // interim or stray, since startedAt
    bool awaitsRoom = false;  // the response waits unread for room for its body
    std::string unparsed;     // its bytes that were received
  };

  struct PendingRequest {
    HttpRequest request;
    Callback done;
    ConnectionId connection = 0;
    base::TimerId timer = 0;
  };

  /// Why a request got no response.
  enum class FailureCause { kNoResponse, kTimedOut, kOverLimit };

  void start(HttpRequestId id);
  void startQueued();
  Connection* takeIdle();
  Connection* open();
  void write(Connection* connection, HttpRequest* request);
  HttpReaderLimits readerLimits() const;
  void onBytes(Connection* connection, std::string_view bytes);
  void parse(Connection* connection, std::string_view bytes);
  bool onResponse(Connection* connection, bool moreBytes);
  void onClosed(ConnectionId id, bool orderly);
  void awaitRoom(Connection* connection, std::string_view bytes);
  void checkAwaitingRoom();
  void onTimeout(HttpRequestId id);
  void finish(HttpRequestId id, HttpResult result);
  void fail(ConnectionId id, FailureCause cause);
  void onMalformed(const Connection& connection);
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
  std::deque<HttpRequestId> queue_;  // entries of pending_ without a connection
  base::Timer roomTimer_;            // runs while a response waits for room for its body
  HttpPoolCounters counters_;
  base::DecisionLog malformedLog_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::transport
