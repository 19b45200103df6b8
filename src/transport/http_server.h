/// An HTTP/1.1 server that hands over whole requests.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/event_loop.h"
#include "transport/http.h"
#include "transport/http_reader.h"
#include "transport/tcp_stream.h"

namespace driftlug::transport {

/// Identifies one request within a server; never reused.
using ExchangeId = uint64_t;

/// Limits of a server; they may change while it runs.
struct HttpServerOptions {
  size_t maxHeadBytes = 64U << 10;
  size_t maxBodyBytes = 8U << 20;
  size_t maxPipelined = 64;                                ///< requests of one connection that wait for their answers
  base::Duration headTimeout = base::seconds(10);          ///< for the head of a request
  base::Duration idleTimeout = base::seconds(60);          ///< between requests, and between pieces of a body
  base::Duration lingerTimeout = base::milliseconds(800);  ///< for the peer to close after the last answer
  size_t maxConnections = SIZE_MAX;                        ///< open at once; more wait in the system's queue
  /// How long a connection must have been unused to make room for a new one: long enough for a caller that has just
  /// connected, or was just answered, to send its next request.
  base::Duration minIdleBeforeEviction = base::seconds(1);
};

/// Counters of a server.
struct HttpServerCounters {
  int64_t requests = 0;
  int64_t tooLarge = 0;
  int64_t aborted = 0;
  int64_t malformed = 0;
  int64_t timedOut = 0;
  int64_t connections = 0;
  int64_t idleConnectionsEvicted = 0;  ///< idle connections that were closed for new ones
  int64_t acceptPauses = 0;            ///< times that accepting stopped at the bound of connections
};

/// Accepts requests and sends responses. Requests of one connection may be answered in any order; the responses leave
/// in the order of the requests.
///
/// At the bound of connections those that were unused the longest are closed; while all are in use, new callers wait in
/// the system's queue, unharmed: a connection that is accepted and closed would not tell them whether their request
/// ran.
class HttpServer {
 public:
  /// Takes a whole request; respond() is called for it once, then or later.
  using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;
  /// The caller went away before it was answered. With this handler, requests whose callers had gone before they were
  /// read are not handed over.
  using AbortHandler = std::function<void(ExchangeId)>;

  HttpServer(EventLoop& loop, std::string name, const HttpServerOptions& options, RequestHandler onRequest,
             AbortHandler onAbort);
  ~HttpServer();

  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port);

  /// @return the port listened on.
  int port() const { return listener_.port(); }

  /// Uses other limits from now on, also on open connections.
  void setOptions(const HttpServerOptions& options);

  const HttpServerOptions& options() const { return options_; }

  /// Answers a request; ignored when the caller went away.
  void respond(ExchangeId exchange, HttpResponse response);

  /// Ends each connection with the answer to the last request that was taken on it; an idle one takes one more.
  void setDraining();

  /// Reads no further request: connections that wait for no answer end now, the others with their last answer. What
  /// has not been read whole was not taken, and its caller may send it again elsewhere.
  void stopReadingRequests();

  const HttpServerCounters& counters() const { return counters_; }

  /// @return requests that were not answered yet.
  size_t pending() const { return exchanges_.size(); }

  /// @return bytes of answers that callers have not acknowledged.
  size_t unsentBytes() const;

  /// @return connections that are open, those included that wait for the peer to close.
  size_t connections() const { return connections_.size(); }

  /// @return whether new connections are taken: neither the bound nor a want of descriptors keeps them waiting.
  bool accepting() const { return listener_.accepting(); }

  /// @return how often a connection could not be taken for want of descriptors.
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
    std::string unparsed;                     // bytes behind a request that can't be taken yet
    std::deque<ExchangeId> pendingExchanges;  // requests to be answered, oldest first
    int64_t requests = 0;
    bool continueSent = false;  // the sender of the request in progress was told to go on
    bool reading = true;
    bool closing = false;    // no further request is taken
    bool lingering = false;  // the last answer has left; the peer is to close
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
  void dispatchRequest(Connection* connection);
  void rejectRequest(Connection* connection, HttpProgress problem);
  void rejectRequest(Connection* connection, int status, const char* error, const char* message);
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
  base::Timer pausedTimer_;    // runs while a connection is not read
  base::Timer evictionTimer_;  // runs while the listener is held
  base::DecisionLog limitLog_;
  bool draining_ = false;
  bool acceptingRequests_ = true;  // requests
  HttpServerCounters counters_;
};

}  // namespace driftlug::transport
