/// An HTTP/1.1 server that hands over whole requests.
#pragma once

#include <absl/status/status.h>

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
};

/// Counters of a server.
struct HttpServerCounters {
  int64_t requests = 0;
  int64_t tooLarge = 0;
  int64_t aborted = 0;
  int64_t malformed = 0;
  int64_t timedOut = 0;
  int64_t connections = 0;
};

/// Accepts requests and sends responses. Requests of one connection may be answered in any order; the responses leave
/// in the order of the requests.
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

  /// Asks callers to close their connections after the next response.
  void setDraining() { draining_ = true; }

  const HttpServerCounters& counters() const { return counters_; }

  /// @return requests that were not answered yet.
  size_t pending() const { return exchanges_.size(); }

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
    std::string unread;              // bytes behind a request that can't be taken yet
    std::deque<ExchangeId> waiting;  // requests to be answered, oldest first
    int64_t requests = 0;
    bool continued = false;  // the sender of the request in progress was told to go on
    bool reading = true;
    bool closing = false;    // no further request is taken
    bool lingering = false;  // the last answer has left; the peer is to close
    base::TimePoint lastActive{};
    base::TimePoint messageBegan{};
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
  bool takeRequests(Connection* connection, std::string_view* bytes);
  void takeRequest(Connection* connection);
  void refuse(Connection* connection, HttpProgress problem);
  void refuse(Connection* connection, int status, const char* error, const char* sentence);
  void sendReady(Connection* connection);
  void writeResponse(Connection* connection, const Exchange& exchange);
  void onDrained(Connection* connection);
  void drop(ConnectionId id);
  void watchPaused();
  void sweep();
  void sweepConnection(Connection* connection, base::TimePoint now);

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
  base::Timer sweepTimer_;   // runs while there are connections
  base::Timer pausedTimer_;  // runs while a connection is not read
  bool draining_ = false;
  HttpServerCounters counters_;
};

}  // namespace driftlug::transport
