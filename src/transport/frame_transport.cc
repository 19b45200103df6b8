#include "transport/frame_transport.h"

#include <cstring>

#include "base/error.h"

namespace driftlug::transport {
namespace {

/// A peer that does not read is closed when this much is queued for it.
constexpr size_t kMaxQueuedBytes = 256U << 20;
constexpr size_t kMaxWriteBytes = 256U << 10;
constexpr base::Duration kGreetingTimeout = base::seconds(5);

}  // namespace

FrameTransport::FrameTransport(EventLoop& loop, std::string name) : loop_(loop), name_(std::move(name)) {
  std::memset(protocols_, 0, sizeof(protocols_));
  protocols_[0].name = "frames";
  protocols_[0].callback = &FrameTransport::onEvent;
  protocols_[0].user = this;
  protocols_[0].rx_buffer_size = size_t{64} * 1024;
  clientVhost_ = loop_.createClientVhost(name_ + "-client", protocols_);
}

FrameTransport::~FrameTransport() { *alive_ = false; }

absl::Status FrameTransport::listen(const std::string& host, int port) {
  if (loop_.listen(name_ + "-server", host, port, protocols_, "raw-skt") != nullptr) return absl::OkStatus();
  return base::makeError(base::ErrorCode::kConnectFailed, "can't listen on " + host + ":" + std::to_string(port));
}

FrameTransport::Connection* FrameTransport::find(base::ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

FrameTransport::Connection* FrameTransport::connectionOf(lws* wsi) {
  return find(reinterpret_cast<base::ConnectionId>(lws_get_opaque_user_data(wsi)));
}

base::ConnectionId FrameTransport::connect(const base::Address& address) {
  const auto id = nextId_++;
  auto connection = std::make_unique<Connection>();
  connection->id = id;
  connection->greeting = wire::encodeFrame(hello_);
  connections_[id] = std::move(connection);
  lws_client_connect_info info{};
  info.context = loop_.context();
  info.vhost = clientVhost_;
  info.address = address.host.c_str();
  info.host = address.host.c_str();
  info.port = address.port;
  info.method = "RAW";
  info.local_protocol_name = protocols_[0].name;
  info.opaque_user_data = reinterpret_cast<void*>(id);
  lws* wsi = nullptr;
  info.pwsi = &wsi;
  const auto* result = lws_client_connect_via_info(&info);
  if (auto* opened = find(id); result != nullptr && opened != nullptr) {
    opened->wsi = wsi;
    return id;
  }
  loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
    if (*alive) onGone(id);
  });
  return id;
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
  if (connection->queuedBytes > kMaxQueuedBytes) {
    ++counters_.slowClosed;
    log_.warn("{} closes connection {}, the peer does not read", name_, id);
    close(id);
    loop_.schedule(base::Duration(0), [this, alive = alive_, id] {
      if (*alive && handler_ != nullptr) handler_->onClose(id);
    });
    return;
  }
  connection->queue.push_back(frame);
  connection->queuedBytes += frame->size();
  ++counters_.framesSent;
  const auto purpose = wire::purposeOf(wire::kindOf(*frame));
  counters_.bytesByPurpose[static_cast<size_t>(purpose)] += static_cast<int64_t>(frame->size());
  if (connection->established) lws_callback_on_writable(connection->wsi);
}

void FrameTransport::close(base::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  auto* wsi = found->second->wsi;
  loop_.cancel(found->second->greetingTimer);
  connections_.erase(found);
  if (wsi == nullptr) return;
  lws_set_opaque_user_data(wsi, nullptr);
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

size_t FrameTransport::queuedBytes(base::ConnectionId id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? 0 : found->second->queuedBytes;
}

int FrameTransport::onEvent(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* in, size_t length) {
  const auto* protocol = lws_get_protocol(wsi);
  if (protocol == nullptr || protocol->user == nullptr) return 0;
  return static_cast<FrameTransport*>(protocol->user)->handleEvent(wsi, reason, in, length);
}

int FrameTransport::handleEvent(lws* wsi, lws_callback_reasons reason, void* in, size_t length) {
  switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT: {
      if (lws_get_opaque_user_data(wsi) != nullptr) return 0;
      auto connection = std::make_unique<Connection>();
      connection->id = nextId_++;
      connection->wsi = wsi;
      lws_set_opaque_user_data(wsi, reinterpret_cast<void*>(connection->id));
      auto* accepted = connection.get();
      connections_[accepted->id] = std::move(connection);
      onEstablished(accepted);
      return 0;
    }
    case LWS_CALLBACK_RAW_CONNECTED: {
      auto* connection = connectionOf(wsi);
      if (connection == nullptr) return -1;
      connection->wsi = wsi;
      onEstablished(connection);
      return 0;
    }
    case LWS_CALLBACK_RAW_RX: {
      auto* connection = connectionOf(wsi);
      if (connection == nullptr) return -1;
      return onReceived(connection, {static_cast<const char*>(in), length});
    }
    case LWS_CALLBACK_RAW_WRITEABLE: {
      auto* connection = connectionOf(wsi);
      if (connection == nullptr) return -1;
      return onWriteable(connection);
    }
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR: {
      auto* connection = connectionOf(wsi);
      lws_set_opaque_user_data(wsi, nullptr);
      if (connection == nullptr) return 0;
      connection->wsi = nullptr;
      connection->established = false;
      loop_.schedule(base::Duration(0), [this, alive = alive_, id = connection->id] {
        if (*alive) onGone(id);
      });
      return 0;
    }
    default:
      return 0;
  }
}

void FrameTransport::onEstablished(Connection* connection) {
  connection->established = true;
  if (!connection->greeting) connection->greeting = wire::encodeFrame(hello_);
  enqueue(connection->id, connection->greeting);
  lws_callback_on_writable(connection->wsi);
  connection->greetingTimer = loop_.schedule(kGreetingTimeout, [this, alive = alive_, id = connection->id] {
    if (!*alive || find(id) == nullptr || find(id)->greeted) return;
    log_.warn("{} closes connection {}, no greeting came", name_, id);
    close(id);
    if (handler_ != nullptr) handler_->onClose(id);
  });
}

int FrameTransport::onReceived(Connection* connection, std::string_view bytes) {
  counters_.bytesReceived += static_cast<int64_t>(bytes.size());
  const auto id = connection->id;
  connection->reader.append(bytes);
  while ((connection = find(id)) != nullptr) {
    wire::Message message;
    const auto complete = connection->reader.next(&message);
    if (!complete.ok()) {
      ++counters_.badFrames;
      log_.warn("{} closes connection {}: {}", name_, id, base::errorText(complete.status()));
      return -1;
    }
    if (!*complete) return 0;
    ++counters_.framesReceived;
    if (connection->greeted) {
      if (handler_ != nullptr) handler_->onMessage(id, std::move(message));
      continue;
    }
    const auto* hello = std::get_if<wire::Hello>(&message);
    if (hello == nullptr) {
      ++counters_.badFrames;
      log_.warn("{} closes connection {}: the first frame is no greeting", name_, id);
      return -1;
    }
    connection->greeted = true;
    connection->peer = *hello;
    loop_.cancel(connection->greetingTimer);
    if (handler_ != nullptr) handler_->onOpen(id, *hello);
  }
  return -1;
}

int FrameTransport::onWriteable(Connection* connection) {
  std::string buffer(LWS_PRE, '\0');
  while (!connection->queue.empty() && buffer.size() < LWS_PRE + kMaxWriteBytes) {
    const auto& frame = connection->queue.front();
    const size_t count = std::min(frame->size() - connection->offset, LWS_PRE + kMaxWriteBytes - buffer.size());
    buffer.append(*frame, connection->offset, count);
    connection->offset += count;
    if (connection->offset < frame->size()) break;
    connection->offset = 0;
    connection->queue.pop_front();
  }
  const size_t length = buffer.size() - LWS_PRE;
  if (length == 0) return 0;
  connection->queuedBytes -= std::min(connection->queuedBytes, length);
  counters_.bytesSent += static_cast<int64_t>(length);
  auto* bytes = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  if (lws_write(connection->wsi, bytes, length, LWS_WRITE_RAW) < static_cast<int>(length)) return -1;
  if (!connection->queue.empty()) lws_callback_on_writable(connection->wsi);
  return 0;
}

void FrameTransport::onGone(base::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  loop_.cancel(found->second->greetingTimer);
  connections_.erase(found);
  if (handler_ != nullptr) handler_->onClose(id);
}

}  // namespace driftlug::transport
