#include "transport/frame_transport.h"

#include <vector>

#include "base/error.h"

namespace driftlug::transport {
namespace {

const size_t kKeepAliveKind = wire::Message(wire::KeepAlive()).index();

/// A peer that does not read is closed when this much is queued for it.
constexpr size_t kMaxQueuedBytes = 64U << 20;
constexpr base::Duration kGreetingTimeout = base::seconds(2);
/// How often in the time that a silent peer is given connections are looked at.
constexpr int kWatchesPerLimit = 8;
/// A connection that a peer opened is held for so many times that limit without a keep-alive: the peer notices first
/// and opens another, and this end is only to be freed.
constexpr int kAbandonedLimits = 5;

}  // namespace

FrameTransport::FrameTransport(EventLoop& loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      listener_(loop, [this](std::shared_ptr<TcpStream> stream) { onAccepted(std::move(stream)); }),
      watchTimer_(loop, [this] { watch(); }),
      boundLog_("frames", loop, base::kOneLineASecond) {}

FrameTransport::~FrameTransport() { *alive_ = false; }

void FrameTransport::setHello(const wire::Hello& hello) {
  hello_ = hello;
  hello_.compresses = compresses_;
  if (silenceLimit_.count() > 0) hello_.acknowledgesCalls = true;  // which says that keep-alives are returned
}

void FrameTransport::useKeepAlives(base::Duration limit) {
  silenceLimit_ = limit;
  hello_.acknowledgesCalls = true;
  watchLater();
}

void FrameTransport::watchLater() { watchTimer_.start(silenceLimit_ / kWatchesPerLimit); }

bool FrameTransport::isSilent(const Connection& connection, base::TimePoint heardUntil) const {
  if (connection.awaitedSince) return heardUntil - *connection.awaitedSince > silenceLimit_;
  return connection.keptAlive && heardUntil - connection.heardAt > silenceLimit_ * kAbandonedLimits;
}

void FrameTransport::watch() {
  const auto heardUntil = loop_.inputReadUntil();
  std::vector<base::ConnectionId> silent;
  for (auto& [id, connection] : connections_) {
    if (isSilent(*connection, heardUntil)) silent.push_back(id);
  }
  watchLater();
  for (const auto id : silent) {
    const auto* connection = find(id);
    if (connection == nullptr) continue;
    ++counters_.silentClosed;
    log_.warn("{} closes connection {} with {}: it is silent", name_, id, connection->peer.id);
    onGone(id);
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
  if (listening_.port != 0 && address == listening_) return connectWithin();
  auto* connection = add();
  connection->greeting = wire::encodeFrame(hello_);
  StreamOptions options;
  options.connectTimeout = timeout;
  connection->stream = TcpStream::connect(loop_, address, connection, options);
  return connection->id;
}

base::ConnectionId FrameTransport::connectWithin() {
  const auto near = add()->id;
  const auto far = add()->id;
  const auto open = [this](base::ConnectionId id, base::ConnectionId other) {
    auto* connection = find(id);
    connection->otherEnd = other;
    connection->greeted = true;
    connection->peer = hello_;
    loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
      if (*alive && find(id) != nullptr && handler_ != nullptr) handler_->onOpen(id, find(id)->peer);
    });
  };
  open(far, near);
  open(near, far);
  return near;
}

void FrameTransport::onAccepted(std::shared_ptr<TcpStream> stream) {
  if (accepted_ >= maxAccepted_) {
    ++counters_.refused;
    boundLog_.write(base::LineWorth::kFailure,
                    [this] { return fmt::format("{} refuses a connection, accepted={}", name_, accepted_); });
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
  const bool remote = zoneDelay_.count() > 0 && connection->greeted && connection->peer.zone != hello_.zone;
  if (!remote) return enqueue(id, frame);
  loop_.schedule(zoneDelay_, [this, alive = alive_, id, frame] {
    if (*alive) enqueue(id, frame);
  });
}

void FrameTransport::enqueue(base::ConnectionId id, const wire::FramePtr& frame) {
  auto* connection = find(id);
  if (connection == nullptr) return;
  if (connection->otherEnd != 0) return deliverWithin(connection->otherEnd, frame);
  if (connection->stream->queuedBytes() > kMaxQueuedBytes) {
    ++counters_.slowClosed;
    log_.warn("{} closes connection {}, the peer does not read", name_, id);
    return closeLater(id);
  }
  const std::string packed = connection->deflater ? connection->deflater->add(*frame) : std::string();
  const std::string& bytes = connection->deflater ? packed : *frame;
  ++counters_.framesSent;
  counters_.bytesSent += static_cast<int64_t>(bytes.size());
  const auto purpose = wire::purposeOf(wire::kindOf(*frame));
  counters_.bytesByPurpose[static_cast<size_t>(purpose)] += static_cast<int64_t>(bytes.size());
  connection->stream->write(bytes);
  const bool isKeepAlive = wire::kindOf(*frame) == kKeepAliveKind;
  const bool returned = !connection->accepted && connection->greeted && connection->peer.acknowledgesCalls;
  if (silenceLimit_.count() > 0 && isKeepAlive && returned && !connection->awaitedSince) {
    connection->awaitedSince = loop_.now();
  }
}

void FrameTransport::deliverWithin(base::ConnectionId to, const wire::FramePtr& frame) {
  loop_.schedule(base::Duration(0), [this, alive = alive_, to, frame] {
    if (!*alive || find(to) == nullptr || handler_ == nullptr) return;
    loop_.describe(wire::messageName(wire::kindOf(*frame)));
    auto message = wire::decodeFrame(std::string_view(*frame).substr(wire::kLengthBytes));
    if (message.ok()) handler_->onMessage(to, std::move(*message));
  });
}

void FrameTransport::close(base::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  loop_.cancel(found->second->greetingTimer);
  const auto otherEnd = found->second->otherEnd;
  if (found->second->accepted) --accepted_;
  connections_.erase(found);
  if (otherEnd != 0) closeLater(otherEnd);
}

size_t FrameTransport::opened() const {
  size_t count = 0;
  for (const auto& [id, connection] : connections_) count += connection->stream && !connection->accepted ? 1 : 0;
  return count;
}

void FrameTransport::closeLater(base::ConnectionId id) {
  loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
    if (*alive) onGone(id);
  });
}

size_t FrameTransport::queuedBytes(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  const bool queues = found != connections_.end() && found->second->stream;
  return queues ? found->second->stream->queuedBytes() : 0;
}

std::optional<base::TimePoint> FrameTransport::partArrivedAt(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  if (found == connections_.end() || !found->second->reader.hasPartialFrame()) return std::nullopt;
  return found->second->heardAt;
}

size_t FrameTransport::unsentBytes() const {
  size_t bytes = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection->greeted && connection->stream) bytes += connection->stream->queuedBytes();
  }
  return bytes;
}

void FrameTransport::onEstablished(Connection* connection) {
  if (!connection->greeting) connection->greeting = wire::encodeFrame(hello_);
  enqueue(connection->id, connection->greeting);
  connection->greetingTimer = loop_.schedule(kGreetingTimeout, [this, alive = alive_, id = connection->id] {
    if (!*alive || find(id) == nullptr || find(id)->greeted) return;
    log_.warn("{} closes connection {}, no greeting came", name_, id);
    onGone(id);
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
  find(id)->heardAt = loop_.now();
  find(id)->awaitedSince.reset();
  auto status = read(find(id), bytes);
  while (auto* connection = find(id)) {
    wire::Message message;
    const auto complete = status.ok() ? connection->reader.next(&message) : absl::StatusOr<bool>(status);
    if (!complete.ok()) {
      ++counters_.badFrames;
      log_.warn("{} closes connection {}: {}", name_, id, base::errorText(complete.status()));
      return onGone(id);
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
  loop_.describe(wire::messageName(message.index()));
  if (connection->greeted) {
    const bool keepAlive = std::holds_alternative<wire::KeepAlive>(message);
    if (silenceLimit_.count() > 0 && keepAlive && connection->accepted) {
      connection->keptAlive = true;
      enqueue(id, wire::encodeFrame(wire::KeepAlive()));
    }
    if (handler_ != nullptr) handler_->onMessage(id, std::move(message));
    return;
  }
  if (const auto* hello = std::get_if<wire::Hello>(&message)) return onHello(connection, *hello);
  ++counters_.badFrames;
  log_.warn("{} closes connection {}: the first frame is no greeting", name_, id);
  onGone(id);
}

void FrameTransport::onHello(Connection* connection, const wire::Hello& hello) {
  const auto id = connection->id;
  connection->greeted = true;
  connection->peer = hello;
  loop_.cancel(connection->greetingTimer);
  if (compresses_ && hello.compresses && hello.zone != hello_.zone) {
    enqueue(id, wire::encodeFrame(wire::StartCompression()));
    connection->deflater = std::make_unique<wire::Deflater>();
  }
  if (handler_ != nullptr) handler_->onOpen(id, hello);
}

void FrameTransport::onGone(base::ConnectionId id) {
  if (find(id) == nullptr) return;
  close(id);
  if (handler_ != nullptr) handler_->onClose(id);
}

}  // namespace driftlug::transport
