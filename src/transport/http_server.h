/// HTTP/1.1 server that delivers complete requests to a handler.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "transport/event_loop.h"
#include "transport/http.h"
#include "transport/http_reader.h"
#include "transport/tcp_stream.h"

namespace driftlug::transport {

/// Identifies a request of a server; never reused.
using ExchangeId = uint64_t;

/// Limits of a server. They can be changed while it runs.
struct HttpServerOptions {
  size_t maxHeadBytes = 64U << 10;
  size_t maxBodyBytes = 8U << 20;
  size_t maxPipelined = 64;                                ///< unanswered requests of one connection
  base::Duration headTimeout = base::seconds(10);          ///< to receive the head of a request
  base::Duration idleTimeout = base::seconds(60);          ///< between requests, and between pieces of a body
  base::Duration lingerTimeout = base::milliseconds(800);  ///< for the peer to close after the last response
  size_t maxConnections = SIZE_MAX;                        ///< open connections; more wait in the listen backlog
  /// Minimum idle time before a connection is evicted for a new one: a client that has just connected or received a
  /// response needs time to send its next request.
  base::Duration minIdleBeforeEviction = base::seconds(1);
  /// Budget of request bodies; null for none. With one, requests are delivered with their sharedBody.
  memory::body_budget* budget = nullptr;
  /// Time for which a request whose body has no room waits unread. Callers give up on a request that is not read for
  /// a second.
  base::Duration roomTimeout = base::milliseconds(800);
  base::Duration noRoomRetryAfter = base::seconds(1);  ///< Retry-After of requests without room for their bodies
};

/// Counters of a server.
struct HttpServerCounters {
  int64_t requests = 0;
  int64_t tooLarge = 0;
  int64_t aborted = 0;
  int64_t malformed = 0;
  int64_t timedOut = 0;
  int64_t connections = 0;
  int64_t idleConnectionsEvicted = 0;  ///< idle connections closed to accept new ones
  int64_t acceptPauses = 0;            ///< times that accepting was paused at the connection limit
  int64_t waitedForRoom = 0;           ///< requests that waited unread until there was room for their bodies
  int64_t noRoom = 0;                  ///< requests refused for lack of room for their bodies
};

/// Accepts requests and sends responses. Requests of one connection may be answered in any order; the responses are
/// sent in the order of the requests.
///
/// At the connection limit the longest idle connections are closed. While all are in use, new connections wait in the
/// listen backlog: a client whose connection is accepted and closed does not know whether its request ran.
class HttpServer {
 public:
  /// Handles a complete request. respond() must be called once for it, from within the handler or later.
  using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;
  /// Called if the client disconnects before its response. If set, requests whose clients disconnected before the
  /// request was read are not delivered.
  using AbortHandler = std::function<void(ExchangeId)>;

  HttpServer(EventLoop& loop, std::string name, const HttpServerOptions& options, RequestHandler onRequest,
             AbortHandler onAbort);
  ~HttpServer();

  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port);

  /// @return the port that the server listens on.
  int port() const { return listener_.port(); }

  /// Changes the limits, also for open connections.
  void setOptions(const HttpServerOptions& options);

  const HttpServerOptions& options() const { return options_; }

  /// Sends the response to a request; ignored if the client has disconnected.
  void respond(ExchangeId exchange, HttpResponse response);

  /// Closes each connection after the response to its last accepted request; an idle connection accepts one more.
  void setDraining();

  /// Stops reading requests: connections without pending requests are closed now, the others after their last response.
  /// Incompletely read requests are not processed, so that clients can safely retry them elsewhere.
  void stopReadingRequests();

  const HttpServerCounters& counters() const { return counters_; }

  /// @return number of requests without a response.
  size_t pending() const { return exchanges_.size(); }

  /// @return response bytes that clients have not acknowledged.
  size_t unsentBytes() const;

  /// @return number of open connections, including those that wait for the peer to close.
  size_t connections() const { return connections_.size(); }

  /// @return whether new connections are accepted: neither the limit nor a lack of descriptors prevents it.
  bool accepting() const { return listener_.accepting(); }

  /// @return number of times a connection could not be accepted for lack of descriptors.
  int64_t descriptorShortages() const { return listener_.descriptorShortages(); }

 private:
  using ConnectionId = uint64_t;

  struct Connection : public StreamHandler {
    Connection(HttpServer& owner, ConnectionId connectionId, const HttpReaderLimits& limits)
        : server(owner), id(connectionId), reader(HttpReader::Kind::kRequests, limits) {}
    ~Connection() override {
      if (stream) stream->close();
    }
    void onBytes(std::string_view bytes) override { server.onBytes(this, bytes); }
    void onDrained() override { server.onDrained(this); }
    void onClosed(bool /*orderly*/) override { server.drop(id); }

    HttpServer& server;
    ConnectionId id;
    std::shared_ptr<TcpStream> stream;
    HttpReader reader;
    std::string unparsed;                     // received bytes that the pipelining limit keeps from being parsed
    std::deque<ExchangeId> pendingExchanges;  // unanswered requests, oldest first
    int64_t requests = 0;
    bool continueSent = false;  // 100 Continue was sent for the request in progress
    bool reading = true;
    bool closing = false;                              // no further request is accepted
    bool lingering = false;                            // the last response was written; the peer is to close
    std::optional<base::TimePoint> awaitingRoomSince;  // set while the request in progress waits for room for its body
    base::TimePoint lastActiveAt{};
    base::TimePoint messageStartedAt{};
  };

  struct Exchange {
    ConnectionId connection = 0;
    bool keepAlive = true;
    bool headRequest = false;
    bool responded = false;
    HttpResponse response;
  };

  void onAccepted(std::shared_ptr<TcpStream> stream);
  void onBytes(Connection* connection, std::string_view bytes);
  bool parseRequests(Connection* connection, std::string_view* bytes);
  HttpReaderLimits readerLimits() const;
  void pauseReading(Connection* connection);
  void resumeReading(Connection* connection);
  void awaitRoom(Connection* connection);
  void checkAwaitingRoom();
  void lingerUntilSilent(ConnectionId id, base::TimePoint since);
  void dispatchRequest(Connection* connection);
  void rejectRequest(Connection* connection, HttpProgress problem);
  void rejectRequest(Connection* connection, int status, const char* error, const char* message);
  void rejectForRoom(Connection* connection);
  void rejectRequest(Connection* connection, HttpResponse response);
  void closeAfterLastRequest(Connection* connection);
  void sendReadyResponses(Connection* connection);
  void writeResponse(Connection* connection, const Exchange& exchange);
  void onDrained(Connection* connection);
  void drop(ConnectionId id);
  void checkPausedConnections();
  void sweep();
  void sweepConnection(Connection* connection, base::TimePoint now);
  static bool isIdle(const Connection& connection);
  void enforceConnectionLimit();
  void evictIdleConnections();

  EventLoop& loop_;
  std::string name_;
  HttpServerOptions options_;
  RequestHandler onRequest_;
  AbortHandler onAbort_;
  TcpListener listener_;
  ConnectionId nextConnection_ = 1;
  ExchangeId nextExchange_ = 1;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::map<ExchangeId, Exchange> exchanges_;
  base::Timer sweepTimer_;     // runs while there are connections
  base::Timer pausedTimer_;    // runs while reading from a connection is paused
  base::Timer roomTimer_;      // runs while a request waits for room for its body
  base::Timer evictionTimer_;  // runs while the listener is paused
  base::DecisionLog limitLog_;
  bool draining_ = false;
  bool acceptingRequests_ = true;  // false once stopReadingRequests() was called
  HttpServerCounters counters_;
};

}  // namespace driftlug::transport
