#include "transport/http_server.h"

#include <algorithm>
#include <vector>

namespace driftlug::transport {
namespace {

constexpr base::Duration kSweepInterval = base::seconds(1);
/// Interval at which a server with a paused listener looks for idle connections to evict. Short compared with the
/// connect timeout of about one second that clients use.
constexpr base::Duration kEvictionInterval = base::milliseconds(100);
/// One in this many connections may be evicted at a time, so that a burst of new connections needs few passes.
constexpr size_t kEvictionDivisor = 32;
/// Maximum time for which a client may leave response bytes unacknowledged. A 2 Mbit/s link with 1 MB queued ahead
/// delays a response by 4 s. With the 0.8 s of frame connections, a client that paused for 2 s received only 128 kB of
/// 16 MB.
constexpr base::Duration kSlowReaderTimeout = base::seconds(10);
constexpr size_t kMaxUnparsedBytes = 256U << 10;
/// Interval at which paused connections are checked for a close by the client. The calls of a client must end within
/// 500 ms of its close, on other nodes too.
constexpr base::Duration kPausedCheckInterval = base::milliseconds(100);
/// Interval at which requests that wait for room for their bodies are looked at.
constexpr base::Duration kRoomInterval = base::milliseconds(10);
/// Maximum time for which the rest of a rejected request is read and dropped, so that its response is not lost by
/// a reset.
constexpr base::Duration kMaxLinger = base::seconds(10);
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

const char* reasonOf(int status) {
  const char* reason = http_status_str(static_cast<http_status>(status));
  return reason == nullptr ? "Unknown" : reason;
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, std::string name, const HttpServerOptions& options, RequestHandler onRequest,
                       AbortHandler onAbort)
    : loop_(loop),
      name_(std::move(name)),
      options_(options),
      onRequest_(std::move(onRequest)),
      onAbort_(std::move(onAbort)),
      listener_(
          loop, [this](std::shared_ptr<TcpStream> stream) { onAccepted(std::move(stream)); },
          [this] { evictIdleConnections(); }),
      sweepTimer_(loop, [this] { sweep(); }),
      pausedTimer_(loop, [this] { checkPausedConnections(); }),
      roomTimer_(loop, [this] { checkAwaitingRoom(); }),
      evictionTimer_(loop, [this] { enforceConnectionLimit(); }),
      limitLog_(name_, loop, base::kOneLinePerSecond) {}

HttpServer::~HttpServer() = default;

absl::Status HttpServer::listen(const std::string& host, int port) {
  StreamOptions options;
  options.unacknowledgedTimeout = kSlowReaderTimeout;
  return listener_.listen(host, port, options);
}

void HttpServer::setOptions(const HttpServerOptions& options) {
  options_ = options;
  for (const auto& [id, connection] : connections_) {
    connection->reader.setLimits(readerLimits());
  }
  enforceConnectionLimit();
}

void HttpServer::setDraining() {
  draining_ = true;
  for (const auto& [id, connection] : connections_) {
    if (!connection->pendingExchanges.empty()) closeAfterLastRequest(connection.get());
  }
}

/// Closes the connection after the response to the last accepted request, not after the next response. Accepted
/// requests may already run, and a client that sees the connection close before its response can't safely retry.
void HttpServer::closeAfterLastRequest(Connection* connection) {
  connection->closing = true;
  exchanges_.at(connection->pendingExchanges.back()).keepAlive = false;
}

void HttpServer::stopReadingRequests() {
  acceptingRequests_ = false;
  setDraining();
  std::vector<ConnectionId> unused;
  for (const auto& [id, connection] : connections_) {
    if (!connection->pendingExchanges.empty() || connection->lingering) continue;
    if (connection->stream->unacknowledgedBytes() == 0) {
      unused.push_back(id);
      continue;
    }
    // If the connection were closed now, a request in flight would cause a reset and lose the bytes on the way: only
    // 128 kB of a 3 MB response arrived.
    connection->closing = true;
    connection->lingering = true;
    if (connection->stream->queuedBytes() == 0) onDrained(connection.get());
  }
  for (const auto id : unused) drop(id);
}

size_t HttpServer::unsentBytes() const {
  size_t bytes = 0;
  for (const auto& [id, connection] : connections_) bytes += connection->stream->unacknowledgedBytes();
  return bytes;
}

void HttpServer::onAccepted(std::shared_ptr<TcpStream> stream) {
  if (!acceptingRequests_) return stream->close();
  const auto id = nextConnection_++;
  ++counters_.connections;
  auto connection = std::make_unique<Connection>(*this, id, readerLimits());
  connection->stream = std::move(stream);
  connection->stream->setHandler(connection.get());
  connection->lastActiveAt = loop_.now();
  connections_[id] = std::move(connection);
  if (!sweepTimer_.running()) sweepTimer_.start(kSweepInterval);
  enforceConnectionLimit();
}

HttpReaderLimits HttpServer::readerLimits() const {
  return {options_.maxHeadBytes, options_.maxBodyBytes, options_.budget, memory::body_use::caller_request};
}

void HttpServer::onBytes(Connection* connection, std::string_view bytes) {
  const auto id = connection->id;
  connection->lastActiveAt = loop_.now();
  if (connection->closing) return;  // bytes after the last request are ignored
  std::string kept;
  if (!connection->unparsed.empty()) {
    kept = std::move(connection->unparsed);
    connection->unparsed.clear();
    kept.append(bytes);
    bytes = kept;
  }
  if (!parseRequests(connection, &bytes)) return;
  if (connections_.count(id) == 0 || connection->closing || bytes.empty()) return;
  connection->unparsed.assign(bytes);
  if (connection->unparsed.size() > kMaxUnparsedBytes || connection->awaitingRoomSince) pauseReading(connection);
}

void HttpServer::pauseReading(Connection* connection) {
  if (!connection->reading) return;
  connection->reading = false;
  connection->stream->setReading(false);
  if (!pausedTimer_.running()) pausedTimer_.start(kPausedCheckInterval);
}

void HttpServer::resumeReading(Connection* connection) {
  if (connection->reading) return;
  connection->reading = true;
  connection->stream->setReading(true);
}

void HttpServer::awaitRoom(Connection* connection) {
  if (connection->awaitingRoomSince) return;
  connection->awaitingRoomSince = loop_.now();
  ++counters_.waitedForRoom;
  if (!roomTimer_.running()) roomTimer_.start(kRoomInterval);
}

/// Continues with the requests for whose bodies there is room now, in the order in which they began to wait, and
/// rejects those that have waited too long.
void HttpServer::checkAwaitingRoom() {
  std::vector<std::pair<base::TimePoint, ConnectionId>> waiting;
  for (const auto& [id, connection] : connections_) {
    if (connection->awaitingRoomSince) waiting.emplace_back(*connection->awaitingRoomSince, id);
  }
  std::sort(waiting.begin(), waiting.end());
  bool stillWaiting = false;
  for (const auto& [since, id] : waiting) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    auto* connection = found->second.get();
    onBytes(connection, {});
    if (connections_.count(id) == 0 || !connection->awaitingRoomSince) continue;
    if (loop_.now() - since >= options_.roomTimeout) {
      rejectForRoom(connection);
    } else {
      stillWaiting = true;
    }
  }
  if (stillWaiting && !roomTimer_.running()) roomTimer_.start(kRoomInterval);
}

/// Drops paused connections that the client has closed. The end of a connection is delivered after its bytes, so that
/// it must be polled while they are not read.
void HttpServer::checkPausedConnections() {
  std::vector<ConnectionId> closed;
  bool paused = false;
  for (const auto& [id, connection] : connections_) {
    if (connection->reading) continue;
    paused = true;
    if (connection->stream->peerHasClosed()) closed.push_back(id);
  }
  for (const auto id : closed) drop(id);
  if (paused) pausedTimer_.start(kPausedCheckInterval);
}

bool HttpServer::parseRequests(Connection* connection, std::string_view* bytes) {
  const auto id = connection->id;
  bool checked = false;  // whether the client is known to be connected
  while (!bytes->empty() && connection->pendingExchanges.size() < options_.maxPipelined) {
    if (!connection->reader.midMessage()) connection->messageStartedAt = loop_.now();
    const auto progress = connection->reader.feed(bytes);
    if (progress == HttpProgress::kAwaitingRoom) {
      awaitRoom(connection);
      return true;
    }
    if (connection->awaitingRoomSince) {
      connection->awaitingRoomSince.reset();
      resumeReading(connection);
    }
    if (progress == HttpProgress::kIncomplete) break;
    if (progress != HttpProgress::kMessage) {
      rejectRequest(connection, progress);
      return false;
    }
    // The request would reach a backend in this iteration, but the end of its connection is read in the next one. The
    // check costs one system call per read that completes a request.
    if (onAbort_ && !checked && connection->stream->peerHasClosed()) {
      ++counters_.aborted;
      drop(id);
      return false;
    }
    checked = true;
    dispatchRequest(connection);
    if (connections_.count(id) == 0 || connection->closing) return false;
  }
  if (!connection->reader.headComplete() || connection->continueSent) return true;
  const auto& head = connection->reader.head();
  if (!head.http10 && findHeader(head.headers, "expect") == "100-continue" && connection->pendingExchanges.empty()) {
    connection->continueSent = true;
    connection->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void HttpServer::dispatchRequest(Connection* connection) {
  auto head = connection->reader.takeHead();
  HttpRequest request;
  if (options_.budget != nullptr) {
    request.sharedBody = connection->reader.takeSharedBody();
  } else {
    request.body = connection->reader.takeBody();
  }
  connection->continueSent = false;
  size_t hosts = 0;
  for (const auto& header : head.headers) hosts += header.name == "host" ? 1 : 0;
  if (hosts > 1 || (hosts == 0 && !head.http10)) {
    ++counters_.malformed;
    return rejectRequest(connection, kBadRequest, "bad_request", "one host is needed");
  }
  request.method = std::move(head.method);
  const auto question = head.target.find('?');
  request.path = head.target.substr(0, question);
  if (question != std::string::npos) request.query = head.target.substr(question + 1);
  request.headers = endToEndHeaders(std::move(head.headers));
  std::erase_if(request.headers, [](const auto& header) { return header.name == "expect"; });
  request.firstOnConnection = connection->requests++ == 0;
  const auto id = nextExchange_++;
  auto& exchange = exchanges_[id];
  exchange.connection = connection->id;
  exchange.keepAlive = head.keepAlive;
  exchange.headRequest = request.method == "HEAD";
  connection->pendingExchanges.push_back(id);
  if (!head.keepAlive) connection->closing = true;
  if (draining_) closeAfterLastRequest(connection);
  ++counters_.requests;
  loop_.setEventDescription("an HTTP request");
  onRequest_(id, std::move(request));
}

void HttpServer::rejectRequest(Connection* connection, HttpProgress problem) {
  if (problem == HttpProgress::kBodyTooLarge) {
    ++counters_.tooLarge;
    return rejectRequest(connection, kBodyTooLarge, "body_too_large", "the body is over the limit");
  }
  if (problem == HttpProgress::kHeadTooLarge) {
    ++counters_.tooLarge;
    return rejectRequest(connection, kHeadTooLarge, "head_too_large", "the head is over the limit");
  }
  if (problem == HttpProgress::kNoRoom) return rejectForRoom(connection);
  ++counters_.malformed;
  rejectRequest(connection, kBadRequest, "bad_request", "this is no HTTP request");
}

/// The request was not delivered, so that its client may repeat it, whatever it is.
void HttpServer::rejectForRoom(Connection* connection) {
  ++counters_.noRoom;
  limitLog_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("server={} has no room for the body of a request: held={} limit={}", name_,
                       options_.budget->heldBytes(), options_.budget->options().totalBytes);
  });
  auto response = jsonResponse(kUnavailable, "{\"error\":\"no_body_memory\",\"outcome\":\"not_run\"}\n");
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(options_.noRoomRetryAfter).count();
  response.headers.push_back(makeHeader("retry-after", std::to_string(seconds)));
  rejectRequest(connection, std::move(response));
}

void HttpServer::rejectRequest(Connection* connection, int status, const char* error, const char* message) {
  rejectRequest(connection,
                jsonResponse(status, std::string(R"({"error":")") + error + R"(","message":")" + message + "\"}\n"));
}

/// Answers the request in progress, and drops the rest of it.
void HttpServer::rejectRequest(Connection* connection, HttpResponse response) {
  const auto id = nextExchange_++;
  auto& exchange = exchanges_[id];
  exchange.connection = connection->id;
  exchange.keepAlive = false;
  connection->pendingExchanges.push_back(id);
  connection->closing = true;
  connection->awaitingRoomSince.reset();
  connection->unparsed.clear();
  resumeReading(connection);
  respond(id, std::move(response));
}

void HttpServer::respond(ExchangeId id, HttpResponse response) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || found->second.responded) return;
  found->second.responded = true;
  found->second.response = std::move(response);
  sendReadyResponses(connections_.at(found->second.connection).get());
}

void HttpServer::sendReadyResponses(Connection* connection) {
  bool sent = false;
  while (!connection->pendingExchanges.empty() && !connection->lingering) {
    const auto found = exchanges_.find(connection->pendingExchanges.front());
    if (!found->second.responded) break;
    writeResponse(connection, found->second);
    exchanges_.erase(found);
    connection->pendingExchanges.pop_front();
    sent = true;
  }
  if (!sent) return;
  connection->lastActiveAt = loop_.now();
  // Bytes that the pipelining limit held back are parsed in a separate iteration.
  if (connection->closing || (connection->unparsed.empty() && connection->reading)) return;
  loop_.schedule(base::Duration(0), [this, id = connection->id] {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    resumeReading(found->second.get());
    onBytes(found->second.get(), {});
  });
}

void HttpServer::writeResponse(Connection* connection, const Exchange& exchange) {
  const auto& response = exchange.response;
  const bool last = !exchange.keepAlive;
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " + reasonOf(response.status) + "\r\n";
  for (const auto& header : response.headers) {
    if (isHopByHop(header.name)) continue;
    head += header.name + ": " + header.value + "\r\n";
  }
  const auto content = response.content();
  if (statusHasBody(response.status)) head += "content-length: " + std::to_string(content.size()) + "\r\n";
  if (last) head += "connection: close\r\n";
  head += "\r\n";
  const bool withBody = statusHasBody(response.status) && !exchange.headRequest;
  const bool copied = response.sharedBody.empty() || content.size() <= kMaxCopiedBodyBytes;
  if (withBody && copied) head += content;
  connection->stream->write(head);
  if (withBody && !copied) connection->stream->writeBody(response.sharedBody);
  if (!last) return;
  connection->closing = true;
  connection->lingering = true;
}

void HttpServer::onDrained(Connection* connection) {
  if (!connection->lingering) return;
  // An immediate close could reset the connection before the peer has read the response.
  connection->stream->shutdownWrite();
  lingerUntilSilent(connection->id, loop_.now());
}

/// Drops a connection after its last response once its client sends nothing more.
void HttpServer::lingerUntilSilent(ConnectionId id, base::TimePoint since) {
  loop_.schedule(options_.lingerTimeout, [this, id, since] {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    const auto now = loop_.now();
    const bool sending = now - found->second->lastActiveAt < options_.lingerTimeout;
    if (sending && now - since < kMaxLinger) return lingerUntilSilent(id, since);
    drop(id);
  });
}

void HttpServer::drop(ConnectionId id) {
  auto node = connections_.extract(id);
  if (node.empty()) return;
  for (const auto exchange : node.mapped()->pendingExchanges) {
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) continue;
    const bool unanswered = !found->second.responded;
    exchanges_.erase(found);
    if (!unanswered) continue;
    ++counters_.aborted;
    if (onAbort_) onAbort_(exchange);
  }
  if (connections_.size() < options_.maxConnections) listener_.setPaused(false);
}

void HttpServer::sweep() {
  const auto now = loop_.now();
  std::vector<ConnectionId> ids;
  ids.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  for (const auto id : ids) {
    if (const auto found = connections_.find(id); found != connections_.end()) {
      sweepConnection(found->second.get(), now);
    }
  }
  if (!connections_.empty()) sweepTimer_.start(kSweepInterval);
}

void HttpServer::sweepConnection(Connection* connection, base::TimePoint now) {
  if (connection->closing) return;
  const bool inHead = connection->reader.midMessage() && !connection->reader.headComplete();
  const bool lateHead = inHead && now - connection->messageStartedAt > options_.headTimeout;
  const bool lateBody =
      connection->reader.midMessage() && !inHead && now - connection->lastActiveAt > options_.idleTimeout;
  if (lateHead || lateBody) {
    ++counters_.timedOut;
    return rejectRequest(connection, kRequestTimeout, "request_timeout", "the rest of the request did not come");
  }
  if (isIdle(*connection) && now - connection->lastActiveAt > options_.idleTimeout) drop(connection->id);
}

bool HttpServer::isIdle(const Connection& connection) {
  // Closing a connection with queued bytes would truncate its response.
  return !connection.closing && connection.pendingExchanges.empty() && !connection.reader.midMessage() &&
         connection.unparsed.empty() && connection.stream->queuedBytes() == 0;
}

void HttpServer::enforceConnectionLimit() {
  evictionTimer_.stop();
  if (connections_.size() < options_.maxConnections) return listener_.setPaused(false);
  evictIdleConnections();
  if (connections_.size() < options_.maxConnections) return listener_.setPaused(false);
  if (listener_.accepting()) ++counters_.acceptPauses;
  listener_.setPaused(true);
  evictionTimer_.start(kEvictionInterval);
  limitLog_.write(base::LinePriority::kFailure, [this] {
    return fmt::format("server={} pauses accepting: connections={} max_connections={} pending={}", name_,
                       connections_.size(), options_.maxConnections, exchanges_.size());
  });
}

void HttpServer::evictIdleConnections() {
  const auto unusedSince = loop_.now() - options_.minIdleBeforeEviction;
  std::vector<Connection*> idle;
  for (const auto& [id, connection] : connections_) {
    if (isIdle(*connection) && connection->lastActiveAt <= unusedSince) idle.push_back(connection.get());
  }
  std::sort(idle.begin(), idle.end(),
            [](const auto* left, const auto* right) { return left->lastActiveAt < right->lastActiveAt; });
  const auto maxEvicted =
      std::max<size_t>(1, std::min(options_.maxConnections, connections_.size()) / kEvictionDivisor);
  size_t closed = 0;
  for (auto* connection : idle) {
    if (closed == maxEvicted) break;
    // Closing the connection would lose a request that has arrived but is not read yet.
    if (connection->stream->hasUnread()) continue;
    ++closed;
    drop(connection->id);
  }
  if (closed == 0) return;
  counters_.idleConnectionsEvicted += static_cast<int64_t>(closed);
  limitLog_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("server={} evicts idle connections: closed={} connections={} max_connections={}", name_, closed,
                       connections_.size(), options_.maxConnections);
  });
}

}  // namespace driftlug::transport
