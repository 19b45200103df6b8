#include "transport/frame_transport.h"

#include <vector>

#include "base/error.h"

namespace driftlug::transport {
namespace {

const size_t kKeepAliveKind = wire::Message(wire::KeepAlive()).index();

/// A connection is closed when this many bytes are queued for a peer that does not read.
constexpr size_t kMaxQueuedBytes = 64U << 20;
constexpr base::Duration kHelloTimeout = base::seconds(2);
/// Number of checks of the connections during one keep-alive timeout.
constexpr int kChecksPerKeepAliveTimeout = 8;
/// An accepted connection without keep-alives is closed after this many keep-alive timeouts. The peer detects the
/// failure first and reconnects; this side only frees the connection.
constexpr int kAbandonedTimeoutFactor = 5;

}  // namespace

FrameTransport::FrameTransport(EventLoop& loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      listener_(loop, [this](std::shared_ptr<TcpStream> stream) { onAccepted(std::move(stream)); }),
      keepAliveTimer_(loop, [this] { checkKeepAlives(); }),
      limitLog_("frames", loop, base::kOneLinePerSecond) {}

FrameTransport::~FrameTransport() { *alive_ = false; }

void FrameTransport::setHello(const wire::Hello& hello) {
  hello_ = hello;
  hello_.compresses = compressionEnabled_;
  if (keepAliveTimeout_.count() > 0) hello_.acknowledgesCalls = true;  // also announces that keep-alives are answered
}

void FrameTransport::enableKeepAlives(base::Duration timeout) {
  keepAliveTimeout_ = timeout;
  hello_.acknowledgesCalls = true;
  scheduleKeepAliveCheck();
}

void FrameTransport::scheduleKeepAliveCheck() { keepAliveTimer_.start(keepAliveTimeout_ / kChecksPerKeepAliveTimeout); }

bool FrameTransport::isKeepAliveOverdue(const Connection& connection, base::TimePoint readUntil) const {
  if (connection.unansweredSince) return readUntil - *connection.unansweredSince > keepAliveTimeout_;
  return connection.peerSendsKeepAlives &&
         readUntil - connection.lastReceivedAt > keepAliveTimeout_ * kAbandonedTimeoutFactor;
}

void FrameTransport::checkKeepAlives() {
  const auto readUntil = loop_.inputReadUntil();
  std::vector<base::ConnectionId> overdue;
  for (auto& [id, connection] : connections_) {
    if (isKeepAliveOverdue(*connection, readUntil)) overdue.push_back(id);
  }
  scheduleKeepAliveCheck();
  for (const auto id : overdue) {
    const auto* connection = find(id);
    if (connection == nullptr) continue;
    ++counters_.keepAliveTimeouts;
    log_.warn("{} closes connection {} with {}: it is silent", name_, id, connection->peer.id);
    closeAndNotify(id);
  }
}

absl::Status FrameTransport::listen(const std::string& host, int port) {
  auto status = listener_.listen(host, port, {});
  if (status.ok()) listening_ = {host, listener_.port()};
  return status;
}

FrameTransport::Connection* FrameTransport::find(base::ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

FrameTransport::Connection* FrameTransport::add() {
  const auto id = nextId_++;
  auto& slot = connections_[id];
  slot = std::make_unique<Connection>(*this, id);
  return slot.get();
}

base::ConnectionId FrameTransport::connect(const base::Address& address) {
  return connectWithTimeout(address, StreamOptions().connectTimeout);
}

base::ConnectionId FrameTransport::connectWithTimeout(const base::Address& address, base::Duration timeout) {
  if (listening_.port != 0 && address == listening_) return connectInProcess();
  auto* connection = add();
  connection->helloFrame = wire::encodeFrame(hello_);
  StreamOptions options;
  options.connectTimeout = timeout;
  connection->stream = TcpStream::connect(loop_, address, connection, options);
  return connection->id;
}

base::ConnectionId FrameTransport::connectInProcess() {
  const auto localId = add()->id;
  const auto remoteId = add()->id;
  const auto open = [this](base::ConnectionId id, base::ConnectionId other) {
    auto* connection = find(id);
    connection->inProcessPeer = other;
    connection->helloReceived = true;
    connection->peer = hello_;
    loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
      if (*alive && find(id) != nullptr && handler_ != nullptr) handler_->onOpen(id, find(id)->peer);
    });
  };
  open(remoteId, localId);
  open(localId, remoteId);
  return localId;
}

void FrameTransport::onAccepted(std::shared_ptr<TcpStream> stream) {
  if (accepted_ >= maxAccepted_) {
    ++counters_.refused;
    limitLog_.write(base::LinePriority::kFailure, [this] {
      return fmt::format("{} rejects a connection at the limit, accepted={}", name_, accepted_);
    });
    return stream->close();
  }
  ++accepted_;
  auto* connection = add();
  connection->accepted = true;
  connection->stream = std::move(stream);
  connection->stream->setHandler(connection);
  onEstablished(connection);
}

void FrameTransport::send(base::ConnectionId id, const wire::FramePtr& frame) {
  const auto* connection = find(id);
  if (connection == nullptr) return;
  const bool remote = zoneDelay_.count() > 0 && connection->helloReceived && connection->peer.zone != hello_.zone;
  if (!remote) return enqueue(id, frame);
  loop_.schedule(zoneDelay_, [this, alive = alive_, id, frame] {
    if (*alive) enqueue(id, frame);
  });
}

void FrameTransport::enqueue(base::ConnectionId id, const wire::FramePtr& frame) {
  auto* connection = find(id);
  if (connection == nullptr) return;
  if (connection->inProcessPeer != 0) return deliverInProcess(connection->inProcessPeer, frame);
  if (connection->stream->queuedBytes() > kMaxQueuedBytes) {
    ++counters_.slowPeersClosed;
    log_.warn("{} closes connection {}: send queue full, the peer does not read", name_, id);
    return scheduleClose(id);
  }
  const std::string packed = connection->deflater ? connection->deflater->add(*frame) : std::string();
  const std::string& bytes = connection->deflater ? packed : *frame;
  ++counters_.framesSent;
  counters_.bytesSent += static_cast<int64_t>(bytes.size());
  const auto purpose = wire::purposeOf(wire::kindOf(*frame));
  counters_.bytesByPurpose[static_cast<size_t>(purpose)] += static_cast<int64_t>(bytes.size());
  connection->stream->write(bytes);
  const bool isKeepAlive = wire::kindOf(*frame) == kKeepAliveKind;
  const bool expectsReply = !connection->accepted && connection->helloReceived && connection->peer.acknowledgesCalls;
  if (keepAliveTimeout_.count() > 0 && isKeepAlive && expectsReply && !connection->unansweredSince) {
    connection->unansweredSince = loop_.now();
  }
}

void FrameTransport::deliverInProcess(base::ConnectionId to, const wire::FramePtr& frame) {
  loop_.schedule(base::Duration(0), [this, alive = alive_, to, frame] {
    if (!*alive || find(to) == nullptr || handler_ == nullptr) return;
    loop_.setEventDescription(wire::messageName(wire::kindOf(*frame)));
    auto message = wire::decodeFrame(std::string_view(*frame).substr(wire::kLengthBytes));
    if (message.ok()) handler_->onMessage(to, std::move(*message));
  });
}

void FrameTransport::close(base::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  loop_.cancel(found->second->helloTimer);
  const auto inProcessPeer = found->second->inProcessPeer;
  if (found->second->accepted) --accepted_;
  connections_.erase(found);
  if (inProcessPeer != 0) scheduleClose(inProcessPeer);
}

size_t FrameTransport::opened() const {
  size_t count = 0;
  for (const auto& [id, connection] : connections_) count += connection->stream && !connection->accepted ? 1 : 0;
  return count;
}

void FrameTransport::scheduleClose(base::ConnectionId id) {
  loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
    if (*alive) closeAndNotify(id);
  });
}

size_t FrameTransport::queuedBytes(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  const bool queues = found != connections_.end() && found->second->stream;
  return queues ? found->second->stream->queuedBytes() : 0;
}

size_t FrameTransport::unacknowledgedBytes(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  const bool queues = found != connections_.end() && found->second->stream;
  return queues ? found->second->stream->unacknowledgedBytes() : 0;
}

bool FrameTransport::isWithinProcess(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  return found != connections_.end() && found->second->inProcessPeer != 0;
}

std::optional<base::TimePoint> FrameTransport::partialMessageReceivedAt(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  if (found == connections_.end() || !found->second->reader.hasPartialFrame()) return std::nullopt;
  return found->second->lastReceivedAt;
}

size_t FrameTransport::unsentBytes() const {
  size_t bytes = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection->helloReceived && connection->stream) bytes += connection->stream->queuedBytes();
  }
  return bytes;
}

void FrameTransport::onEstablished(Connection* connection) {
  if (!connection->helloFrame) connection->helloFrame = wire::encodeFrame(hello_);
  enqueue(connection->id, connection->helloFrame);
  connection->helloTimer = loop_.schedule(kHelloTimeout, [this, alive = alive_, id = connection->id] {
    if (!*alive || find(id) == nullptr || find(id)->helloReceived) return;
    log_.warn("{} closes connection {}: no Hello received", name_, id);
    closeAndNotify(id);
  });
}

absl::Status FrameTransport::read(Connection* connection, std::string_view bytes) {
  if (!connection->inflater) {
    connection->reader.append(bytes);
    return absl::OkStatus();
  }
  std::string restored;
  auto status = connection->inflater->add(bytes, &restored);
  connection->reader.append(restored);
  return status;
}

void FrameTransport::onReceived(base::ConnectionId id, std::string_view bytes) {
  counters_.bytesReceived += static_cast<int64_t>(bytes.size());
  find(id)->lastReceivedAt = loop_.now();
  find(id)->unansweredSince.reset();
  auto status = read(find(id), bytes);
  while (auto* connection = find(id)) {
    wire::Message message;
    const auto complete = status.ok() ? connection->reader.next(&message) : absl::StatusOr<bool>(status);
    if (!complete.ok()) {
      ++counters_.badFrames;
      log_.warn("{} closes connection {}: {}", name_, id, base::errorText(complete.status()));
      return closeAndNotify(id);
    }
    if (!*complete) return;
    ++counters_.framesReceived;
    if (std::holds_alternative<wire::StartCompression>(message) && !connection->inflater) {
      connection->inflater = std::make_unique<wire::Inflater>();
      status = read(connection, connection->reader.takeRemainingBytes());
      continue;
    }
    onFrame(id, std::move(message));
  }
}

void FrameTransport::onFrame(base::ConnectionId id, wire::Message message) {
  auto* connection = find(id);
  loop_.setEventDescription(wire::messageName(message.index()));
  if (connection->helloReceived) {
    const bool keepAlive = std::holds_alternative<wire::KeepAlive>(message);
    if (keepAliveTimeout_.count() > 0 && keepAlive && connection->accepted) {
      connection->peerSendsKeepAlives = true;
      enqueue(id, wire::encodeFrame(wire::KeepAlive()));
    }
    if (handler_ != nullptr) handler_->onMessage(id, std::move(message));
    return;
  }
  if (const auto* hello = std::get_if<wire::Hello>(&message)) return onHello(connection, *hello);
  ++counters_.badFrames;
  log_.warn("{} closes connection {}: the first frame is not a Hello", name_, id);
  closeAndNotify(id);
}

void FrameTransport::onHello(Connection* connection, const wire::Hello& hello) {
  const auto id = connection->id;
  connection->helloReceived = true;
  connection->reader.setMaxFrameBytes(wire::kMaxFrameBytes);
  connection->peer = hello;
  loop_.cancel(connection->helloTimer);
  if (compressionEnabled_ && hello.compresses && hello.zone != hello_.zone) {
    enqueue(id, wire::encodeFrame(wire::StartCompression()));
    connection->deflater = std::make_unique<wire::Deflater>();
  }
  if (handler_ != nullptr) handler_->onOpen(id, hello);
}

void FrameTransport::closeAndNotify(base::ConnectionId id) {
  if (find(id) == nullptr) return;
  close(id);
  if (handler_ != nullptr) handler_->onClose(id);
}

}  // namespace driftlug::transport
