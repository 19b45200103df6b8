#include "transport/http_client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace driftlug::transport {
namespace {

constexpr int kFirstFinalStatus = 200;
/// If a request ends without a response byte at least this long after it was sent, the idle connections are suspect
/// too: all may have failed at the same moment, and each would cost another request its timeout. Below the TCP user
/// timeout of 800 ms, so that a request that ends by that timeout counts too. A request that is cancelled sooner is no
/// evidence of a failed connection. The cost is a new connection for each idle one without received bytes since then.
constexpr base::Duration kUnresponsiveThreshold = base::milliseconds(700);

/// @return the idle timeout from the Keep-Alive header of a response, or 0 if it has none.
base::Duration advertisedIdleTimeout(const std::vector<wire::HttpHeader>& headers) {
  for (const auto& part : absl::StrSplit(std::string(findHeader(headers, "keep-alive")), ',')) {
    auto text = absl::StripAsciiWhitespace(part);
    int seconds = 0;
    if (absl::ConsumePrefix(&text, "timeout=") && absl::SimpleAtoi(text, &seconds)) return base::seconds(seconds);
  }
  return base::Duration(0);
}

/// Interval at which responses that wait for room for their bodies are looked at.
constexpr base::Duration kRoomInterval = base::milliseconds(10);

}  // namespace

HttpClientPool::HttpClientPool(EventLoop& loop, std::string name, std::string host, int port, size_t maxConnections)
    : HttpClientPool(loop, std::move(name), base::Address{std::move(host), port}, [&] {
        HttpPoolOptions options;
        options.maxConnections = maxConnections;
        return options;
      }()) {}

HttpClientPool::HttpClientPool(EventLoop& loop, std::string name, const base::Address& address, HttpPoolOptions options)
    : loop_(loop),
      name_(std::move(name)),
      address_(address),
      options_(std::move(options)),
      roomTimer_(loop, [this] { checkAwaitingRoom(); }),
      malformedLog_(name_, loop, base::kOneLinePerSecond) {}

HttpClientPool::~HttpClientPool() {
  *alive_ = false;
  for (const auto& [id, pending] : pending_) loop_.cancel(pending.timer);
}

HttpRequestId HttpClientPool::send(HttpRequest request, base::Duration timeout, Callback done) {
  const auto id = nextId_++;
  ++counters_.requests;
  auto& pending = pending_[id];
  pending.request = std::move(request);
  pending.done = std::move(done);
  pending.timer = loop_.schedule(timeout, [this, alive = alive_, id] {
    if (*alive) onTimeout(id);
  });
  start(id);
  return id;
}

HttpClientPool::Connection* HttpClientPool::takeIdle() {
  const auto now = loop_.now();
  while (!idle_.empty()) {
    const auto id = idle_.back();
    idle_.pop_back();
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    if (found->second->idleUntil > now) return found->second.get();
    connections_.erase(found);
  }
  return nullptr;
}

HttpReaderLimits HttpClientPool::readerLimits() const {
  HttpReaderLimits limits;
  limits.maxBodyBytes = options_.maxBodyBytes;
  limits.budget = options_.budget;
  limits.use = memory::body_use::backend_response;
  return limits;
}

HttpClientPool::Connection* HttpClientPool::open() {
  const auto id = nextConnection_++;
  ++counters_.connections;
  auto& slot = connections_[id];
  slot = std::make_unique<Connection>(*this, id, readerLimits());
  slot->stream = TcpStream::connect(loop_, address_, slot.get(), {});
  return slot.get();
}

void HttpClientPool::start(HttpRequestId id) {
  auto* connection = takeIdle();
  if (connection == nullptr && connections_.size() >= options_.maxConnections) {
    queue_.push_back(id);
    return;
  }
  if (connection == nullptr) connection = open();
  auto& pending = pending_[id];
  pending.connection = connection->id;
  connection->request = id;
  connection->sentBytesAtStart = connection->stream->sentBytes();
  connection->startedAt = loop_.now();
  connection->receivedSinceStart = false;
  connection->otherResponses = 0;
  write(connection, &pending.request);
}

void HttpClientPool::startQueued() {
  while (!queue_.empty()) {
    if (idle_.empty() && connections_.size() >= options_.maxConnections) return;
    const auto id = queue_.front();
    queue_.pop_front();
    if (pending_.count(id) > 0) start(id);
  }
}

/// Writes a request; its body is then only held by the stream, until that has sent it.
void HttpClientPool::write(Connection* connection, HttpRequest* pending) {
  auto& request = *pending;
  std::string bytes = request.method + " " + request.path;
  if (!request.query.empty()) bytes += "?" + request.query;
  bytes += " HTTP/1.1\r\n";
  if (request.header("host").empty()) {
    bytes += "host: " + address_.host + ":" + std::to_string(address_.port) + "\r\n";
  }
  for (const auto& header : request.headers) {
    if (!isHopByHop(header.name)) bytes += header.name + ": " + header.value + "\r\n";
  }
  const bool bodyExpected = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
  const auto content = request.content();
  if (!content.empty() || bodyExpected) {
    bytes += "content-length: " + std::to_string(content.size()) + "\r\n";
  }
  bytes += "\r\n";
  const bool copied = !request.body.empty() || content.size() <= kMaxCopiedBodyBytes;
  if (copied) bytes += content;
  if (request.method == "HEAD") connection->reader.expectNoBody();
  connection->stream->write(bytes);
  if (!copied) connection->stream->writeBody(std::move(request.sharedBody));
  request.body = {};
  request.sharedBody = {};
}

void HttpClientPool::onBytes(Connection* connection, std::string_view bytes) {
  connection->receivedSinceStart = true;
  connection->lastReceivedAt = loop_.now();
  if (connection->awaitsRoom) {
    connection->unparsed.append(bytes);
    return;
  }
  parse(connection, bytes);
}

void HttpClientPool::parse(Connection* connection, std::string_view bytes) {
  const auto id = connection->id;
  while (!bytes.empty()) {
    if (connection->request == 0) {
      // Bytes on an idle connection belong to no request.
      ++counters_.strayResponses;
      connections_.erase(id);
      return;
    }
    const auto progress = connection->reader.feed(&bytes);
    if (progress == HttpProgress::kAwaitingRoom) return awaitRoom(connection, bytes);
    if (connection->awaitsRoom) {
      connection->awaitsRoom = false;
      connection->stream->setReading(true);
    }
    if (progress == HttpProgress::kIncomplete) return;
    if (progress == HttpProgress::kMalformed) {
      onMalformed(*connection);
      return fail(id, FailureCause::kNoResponse);
    }
    if (progress != HttpProgress::kMessage) return fail(id, FailureCause::kOverLimit);
    if (!onResponse(connection, !bytes.empty())) return;
  }
}

void HttpClientPool::awaitRoom(Connection* connection, std::string_view bytes) {
  connection->unparsed.assign(bytes);
  if (!connection->awaitsRoom) {
    connection->awaitsRoom = true;
    connection->stream->setReading(false);
    ++counters_.waitedForRoom;
  }
  if (!roomTimer_.running()) roomTimer_.start(kRoomInterval);
}

/// Continues with the responses for whose bodies there is room now.
void HttpClientPool::checkAwaitingRoom() {
  std::vector<ConnectionId> waiting;
  for (const auto& [id, connection] : connections_) {
    if (connection->awaitsRoom) waiting.push_back(id);
  }
  const auto alive = alive_;
  for (const auto id : waiting) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) continue;
    const auto bytes = std::exchange(found->second->unparsed, {});
    parse(found->second.get(), bytes);
    if (!*alive) return;
  }
}

bool HttpClientPool::matchesRequest(const Connection& connection, const HttpHead& head) const {
  if (options_.correlationHeader.empty()) return true;
  const auto expected = pending_.at(connection.request).request.header(options_.correlationHeader);
  const auto received = findHeader(head.headers, options_.correlationHeader);
  return expected.empty() || received.empty() || expected == received;
}

bool HttpClientPool::onResponse(Connection* connection, bool moreBytes) {
  auto head = connection->reader.takeHead();
  auto body = connection->reader.takeSharedBody();
  const bool interim = head.status < kFirstFinalStatus;
  if (interim || !matchesRequest(*connection, head)) {
    counters_.strayResponses += interim ? 0 : 1;
    connection->reusable = connection->reusable && interim;
    if (++connection->otherResponses <= options_.maxOtherResponses) return true;
    fail(connection->id, FailureCause::kOverLimit);
    return false;
  }
  HttpResult result;
  result.outcome = HttpOutcome::kCompleted;
  result.response.status = head.status;
  if (options_.budget != nullptr) {
    result.response.sharedBody = std::move(body);
  } else {
    result.response.body = body.take();
  }
  const auto request = connection->request;
  returnToPool(connection, head, moreBytes);
  result.response.headers = endToEndHeaders(std::move(head.headers));
  finish(request, std::move(result));
  return false;
}

void HttpClientPool::returnToPool(Connection* connection, const HttpHead& head, bool moreBytes) {
  const bool sentWhole = connection->stream->queuedBytes() == 0;
  if (!head.keepAlive || moreBytes || !sentWhole || !connection->reusable) {
    connections_.erase(connection->id);
    return;
  }
  const auto advertised = advertisedIdleTimeout(head.headers);
  const auto idle = advertised.count() > 0 ? advertised - options_.idleMargin : options_.maxIdle;
  connection->request = 0;
  connection->idleUntil = loop_.now() + idle;
  idle_.push_back(connection->id);
}

void HttpClientPool::onClosed(ConnectionId id, bool orderly) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  auto* connection = found->second.get();
  if (connection->request != 0 && orderly && connection->reader.finish() == HttpProgress::kMessage) {
    connection->reusable = false;
    if (!onResponse(connection, false)) return;
  }
  fail(id, FailureCause::kNoResponse);
}

void HttpClientPool::onMalformed(const Connection& connection) {
  const auto error = connection.reader.headError();
  ++counters_.malformed[static_cast<size_t>(error)];
  malformedLog_.write(base::LinePriority::kFailure, [&] {
    const auto& request = pending_.at(connection.request).request;
    return fmt::format("pool={} got a malformed response: server={}:{} method={} path={} error={}", name_,
                       address_.host, address_.port, request.method, request.path, wire::nameOf(error));
  });
}

void HttpClientPool::fail(ConnectionId id, FailureCause cause) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const auto request = found->second->request;
  HttpResult result;
  result.timedOut = cause == FailureCause::kTimedOut;
  result.overLimit = cause == FailureCause::kOverLimit;
  counters_.overLimit += result.overLimit ? 1 : 0;
  const bool sent = found->second->stream->sentBytes() > found->second->sentBytesAtStart;
  result.outcome = sent ? HttpOutcome::kUnknown : HttpOutcome::kNotSent;
  closeUnresponsiveIdle(*found->second);
  connections_.erase(found);
  if (request == 0) return startQueued();
  ++counters_.failures;
  finish(request, std::move(result));
}

void HttpClientPool::finish(HttpRequestId id, HttpResult result) {
  auto node = pending_.extract(id);
  if (!node.empty()) {
    loop_.cancel(node.mapped().timer);
    const auto alive = alive_;
    node.mapped().done(std::move(result));
    if (!*alive) return;
  }
  startQueued();
}

/// Closes the idle connections that received nothing since `connection` sent a request that ends unanswered.
void HttpClientPool::closeUnresponsiveIdle(const Connection& connection) {
  const bool unresponsive = connection.request != 0 && !connection.receivedSinceStart &&
                            loop_.now() - connection.startedAt >= kUnresponsiveThreshold;
  if (!unresponsive) return;
  std::erase_if(idle_, [&](ConnectionId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return true;
    if (found->second->lastReceivedAt > connection.startedAt) return false;
    connections_.erase(found);
    return true;
  });
}

void HttpClientPool::closeIdleConnections() {
  for (const auto id : std::exchange(idle_, {})) connections_.erase(id);
}

void HttpClientPool::onTimeout(HttpRequestId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  if (found->second.connection != 0) return fail(found->second.connection, FailureCause::kTimedOut);
  HttpResult result;
  result.outcome = HttpOutcome::kNotSent;
  result.timedOut = true;
  ++counters_.failures;
  finish(id, std::move(result));
}

void HttpClientPool::cancel(HttpRequestId id) {
  auto node = pending_.extract(id);
  if (node.empty()) return;
  loop_.cancel(node.mapped().timer);
  if (const auto found = connections_.find(node.mapped().connection); found != connections_.end()) {
    closeUnresponsiveIdle(*found->second);
    connections_.erase(found);
  }
  startQueued();
}

}  // namespace driftlug::transport
