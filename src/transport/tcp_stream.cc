#include "transport/tcp_stream.h"

#include <arpa/inet.h>
#include <libwebsockets.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/error.h"

namespace driftlug::transport {
namespace {

constexpr int kBacklog = 1024;
constexpr size_t kReadBytes = size_t{64} * 1024;
constexpr size_t kCompactThresholdBytes = size_t{64} * 1024;
/// Number of queued buffers that one system call sends.
constexpr size_t kMaxBuffersPerSend = 8;
/// Buffer capacity that an idle stream retains. Small, because there are many streams and most are idle.
constexpr size_t kMaxRetainedBufferBytes = 2048;
/// Delay before a listener retries after it found no free descriptor. If it were still polled, it would wake the loop
/// continuously: 195,808 times in 300 ms. Short compared with the connect timeout of about one second that clients use.
constexpr base::Duration kAcceptRetryDelay = base::milliseconds(50);

bool fillAddress(const std::string& host, int port, sockaddr_in* address) {
  std::memset(address, 0, sizeof(*address));
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<uint16_t>(port));
  return inet_pton(AF_INET, host.c_str(), &address->sin_addr) == 1;
}

void setUserTimeout(int socket, base::Duration unacknowledgedTimeout) {
  const auto timeout = static_cast<unsigned>(unacknowledgedTimeout.count() / 1000);
  ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

void setOptions(int socket, base::Duration unacknowledgedTimeout) {
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setUserTimeout(socket, unacknowledgedTimeout);
}

}  // namespace

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop& loop, const base::Address& address, StreamHandler* handler,
                                              const StreamOptions& options) {
  std::shared_ptr<TcpStream> stream(new TcpStream(loop, handler, options));
  sockaddr_in target{};
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool good = socket >= 0 && fillAddress(address.host, address.port, &target);
  if (good) {
    // The user timeout also applies to the SYN: with 0.8 s, connecting failed after 1.03 s whatever connectTimeout was.
    setOptions(socket, std::max(options.unacknowledgedTimeout, options.connectTimeout));
    const int result = ::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    good = result == 0 || errno == EINPROGRESS;
    stream->refused_ = !good && errno == ECONNREFUSED;
  }
  if (!good) {
    if (socket >= 0) ::close(socket);
    loop.schedule(base::Duration(0), [stream] { stream->onSocketClosed(); });
    return stream;
  }
  if (!loop.adopt(socket, stream)) {
    loop.schedule(base::Duration(0), [stream] { stream->onSocketClosed(); });
    return stream;
  }
  lws_callback_on_writable(stream->wsi_);
  stream->connectTimer_ = loop.schedule(options.connectTimeout, [weak = std::weak_ptr<TcpStream>(stream)] {
    if (const auto waiting = weak.lock()) waiting->onConnectTimeout();
  });
  return stream;
}

std::shared_ptr<TcpStream> TcpStream::accept(EventLoop& loop, int socket, const StreamOptions& options) {
  std::shared_ptr<TcpStream> stream(new TcpStream(loop, nullptr, options));
  setOptions(socket, options.unacknowledgedTimeout);
  stream->connected_ = true;
  return loop.adopt(socket, stream) ? stream : nullptr;
}

TcpStream::~TcpStream() { loop_.cancel(connectTimer_); }

void TcpStream::attach(lws* wsi, int socket) {
  wsi_ = wsi;
  socket_ = socket;
}

void TcpStream::onConnectTimeout() {
  connectTimer_ = 0;
  if (!connected_) fail();
}

void TcpStream::fail() {
  auto* handler = handler_;
  close();
  if (handler != nullptr) handler->onClosed(false);
}

void TcpStream::write(std::string_view bytes) {
  if (wsi_ == nullptr || closing_) return;
  out_.append(bytes);
  scheduleFlush();
}

void TcpStream::writeBody(memory::shared_body body) {
  if (wsi_ == nullptr || closing_ || body.empty()) return;
  if (!out_.empty()) {
    // The offset now counts from the start of this buffer, or of a body in front of it.
    bodyBytes_ += out_.size();
    bodies_.emplace_back(std::move(out_));
    out_ = {};
  }
  bodyBytes_ += body.size();
  bodies_.push_back(std::move(body));
  scheduleFlush();
}

void TcpStream::scheduleFlush() {
  if (flushScheduled_ || !connected_) return;
  flushScheduled_ = true;
  loop_.scheduleFlush(weak_from_this());
}

/// Drops bytes that the kernel has accepted.
void TcpStream::advance(size_t sent) {
  sentBytes_ += static_cast<int64_t>(sent);
  offset_ += sent;
  while (!bodies_.empty() && offset_ >= bodies_.front().size()) {
    offset_ -= bodies_.front().size();
    bodyBytes_ -= bodies_.front().size();
    bodies_.erase(bodies_.begin());
  }
}

void TcpStream::flush() {
  flushScheduled_ = false;
  if (wsi_ == nullptr || closing_ || !connected_) return;
  const bool hadBytes = queuedBytes() > 0;
  while (queuedBytes() > 0) {
    std::array<iovec, kMaxBuffersPerSend> buffers;
    size_t count = 0;
    size_t skipped = offset_;
    const auto add = [&](std::string_view bytes) {
      bytes.remove_prefix(std::exchange(skipped, 0));
      buffers[count++] = {const_cast<char*>(bytes.data()), bytes.size()};
    };
    for (auto body = bodies_.begin(); body != bodies_.end() && count < buffers.size(); ++body) add(body->view());
    if (count < buffers.size() && !out_.empty()) add(out_);
    msghdr message{};
    message.msg_iov = buffers.data();
    message.msg_iovlen = count;
    const auto sent = count == 1 ? ::send(socket_, buffers[0].iov_base, buffers[0].iov_len, MSG_NOSIGNAL)
                                 : ::sendmsg(socket_, &message, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      lws_callback_on_writable(wsi_);
      break;
    }
    if (sent <= 0) {
      // Nothing more can be sent; closing the socket reports the end of the connection.
      closing_ = true;
      lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
      return;
    }
    advance(static_cast<size_t>(sent));
  }
  if (queuedBytes() == 0) {
    out_.clear();
    offset_ = 0;
    if (out_.capacity() > kMaxRetainedBufferBytes) out_.shrink_to_fit();
    if (shutdownRequested_) ::shutdown(socket_, SHUT_WR);
    if (hadBytes && handler_ != nullptr) handler_->onDrained();
  } else if (bodies_.empty() && offset_ > kCompactThresholdBytes && offset_ > out_.size() / 2) {
    out_.erase(0, offset_);
    offset_ = 0;
  }
}

void TcpStream::setReading(bool reading) {
  reading_ = reading;
  if (wsi_ != nullptr && !closing_) lws_rx_flow_control(wsi_, reading ? 1 : 0);
}

size_t TcpStream::unacknowledgedBytes() const {
  int kernelBytes = 0;
  if (wsi_ != nullptr && ::ioctl(socket_, SIOCOUTQ, &kernelBytes) != 0)
    kernelBytes = 0;  // the kernel does not report it
  return queuedBytes() + static_cast<size_t>(std::max(0, kernelBytes));
}

bool TcpStream::hasUnread() const {
  if (wsi_ == nullptr || closing_) return false;
  pollfd descriptor{socket_, POLLIN, 0};
  return ::poll(&descriptor, 1, 0) != 0;
}

bool TcpStream::peerHasClosed() const {
  if (wsi_ == nullptr || closing_) return true;
  // tcpi_state is the first byte of tcp_info; the rest is not requested.
  uint8_t state = 0;
  socklen_t size = sizeof(state);
  return ::getsockopt(socket_, IPPROTO_TCP, TCP_INFO, &state, &size) == 0 &&
         (TCP_CLOSE_WAIT == state || TCP_CLOSE == state);
}

void TcpStream::shutdownWrite() {
  if (shutdownRequested_) return;
  shutdownRequested_ = true;
  if (queuedBytes() == 0 && wsi_ != nullptr && !closing_) ::shutdown(socket_, SHUT_WR);
}

void TcpStream::close() {
  handler_ = nullptr;
  loop_.cancel(connectTimer_);
  connectTimer_ = 0;
  bodies_.clear();
  bodyBytes_ = 0;
  out_.clear();
  offset_ = 0;
  if (wsi_ == nullptr || closing_) return;
  closing_ = true;
  // Notifies the peer now; libwebsockets closes the socket later.
  ::shutdown(socket_, SHUT_RDWR);
  lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

bool TcpStream::onReadable() {
  static thread_local std::array<char, kReadBytes> buffer;
  while (!closing_ && reading_) {
    const auto count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
    if (count <= 0) {
      refused_ = count < 0 && errno == ECONNREFUSED && !connected_;
      orderly_ = count == 0;
      return false;
    }
    if (handler_ != nullptr) handler_->onBytes({buffer.data(), static_cast<size_t>(count)});
    if (static_cast<size_t>(count) < buffer.size()) break;
  }
  return !closing_;
}

bool TcpStream::onWritable() {
  if (closing_) return false;
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    refused_ = error == ECONNREFUSED;
    if (error != 0) return false;
    connected_ = true;
    setUserTimeout(socket_, options_.unacknowledgedTimeout);
    loop_.cancel(connectTimer_);
    connectTimer_ = 0;
    if (handler_ != nullptr) handler_->onConnected();
    if (closing_) return false;
  }
  // Not flushed within this callback: libwebsockets clears the writable request after it, even one made meanwhile.
  if (!flushScheduled_) {
    flushScheduled_ = true;
    loop_.scheduleFlush(weak_from_this());
  }
  return !closing_;
}

void TcpStream::onSocketClosed() {
  wsi_ = nullptr;
  closing_ = true;
  loop_.cancel(connectTimer_);
  connectTimer_ = 0;
  if (handler_ == nullptr) return;
  loop_.schedule(base::Duration(0), [stream = shared_from_this()] {
    auto* handler = stream->handler_;
    stream->handler_ = nullptr;
    if (handler != nullptr) handler->onClosed(stream->orderly_);
  });
}

TcpListener::TcpListener(EventLoop& loop, AcceptHandler onAccept, DescriptorShortageHandler onDescriptorShortage)
    : loop_(loop),
      onAccept_(std::move(onAccept)),
      onDescriptorShortage_(std::move(onDescriptorShortage)),
      retryTimer_(loop, [this] { updateWatch(); }),
      log_("listener", loop, base::kOneLinePerSecond) {}

absl::Status TcpListener::listen(const std::string& host, int port, const StreamOptions& options) {
  options_ = options;
  const auto failed = [&](int socket) {
    const std::string reason = std::strerror(errno);
    if (socket >= 0) ::close(socket);
    return base::makeError(base::ErrorCode::kConnectFailed,
                           "can't listen on " + host + ":" + std::to_string(port) + ": " + reason);
  };
  sockaddr_in address{};
  if (!fillAddress(host, port, &address)) {
    errno = EINVAL;
    return failed(-1);
  }
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) return failed(socket);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) return failed(socket);
  if (::listen(socket, kBacklog) != 0) return failed(socket);
  socklen_t size = sizeof(address);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  socket_ = socket;
  loop_.watchFile(socket_, [this] { acceptAll(); });
  return absl::OkStatus();
}

void TcpListener::setPaused(bool paused) {
  if (paused_ == paused) return;
  paused_ = paused;
  updateWatch();
}

void TcpListener::updateWatch() { loop_.setWatching(socket_, accepting()); }

void TcpListener::acceptAll() {
  constexpr int kMaxAcceptsPerEvent = 64;
  for (int i = 0; i < kMaxAcceptsPerEvent && accepting(); ++i) {
    const int accepted = ::accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      auto stream = TcpStream::accept(loop_, accepted, options_);
      if (!stream) return handleAcceptFailure(EMFILE);  // the loop can't register more descriptors
      onAccept_(std::move(stream));
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) return;
    if (errno != EINTR && errno != ECONNABORTED) return handleAcceptFailure(errno);
  }
}

void TcpListener::handleAcceptFailure(int error) {
  ++descriptorShortages_;
  log_.write(base::LinePriority::kFailure, [&] {
    return fmt::format("port={} can't accept, connections wait in the backlog: {}", port_, std::strerror(error));
  });
  retryTimer_.start(kAcceptRetryDelay);
  updateWatch();
  if (onDescriptorShortage_) onDescriptorShortage_();
}

}  // namespace driftlug::transport
