/// TCP connections and listeners on the event loop. IPv4 only.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/decision_log.h"
#include "base/network.h"
#include "base/time.h"
#include "memory/shared_body.h"
#include "transport/event_loop.h"

namespace driftlug::transport {

/// Receives the events of one stream. No event follows after its user has closed the stream.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  /// Called when an outgoing connection is established.
  virtual void onConnected() {}

  /// Called with received bytes.
  virtual void onBytes(std::string_view bytes) = 0;

  /// Called when the kernel has accepted all written bytes.
  virtual void onDrained() {}

  /// Called when the connection has ended or could not be opened; the last event.
  /// @param orderly whether the peer closed it without a reset, so that all bytes it sent have arrived
  virtual void onClosed(bool orderly) = 0;
};

/// Timeouts after which an unresponsive peer is treated as disconnected.
struct StreamOptions {
  base::Duration connectTimeout = base::milliseconds(700);
  base::Duration unacknowledgedTimeout = base::milliseconds(800);  ///< for the acknowledgement of sent bytes
};

/// One TCP connection. Owned by its user and, as long as the socket is open, by the event loop.
///
/// Invariants: onClosed is called at most once and never from within a call by the user; no event follows close().
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Starts to connect; onConnected or onClosed follows.
  static std::shared_ptr<TcpStream> connect(EventLoop& loop, const base::Address& address, StreamHandler* handler,
                                            const StreamOptions& options);

  /// Takes over an accepted socket.
  /// @return null if the loop can't register the socket, which is then closed
  static std::shared_ptr<TcpStream> accept(EventLoop& loop, int socket, const StreamOptions& options);

  ~TcpStream();

  /// Sets the handler of an accepted stream.
  void setHandler(StreamHandler* handler) { handler_ = handler; }

  /// Queues bytes, which are sent at the end of the loop's iteration.
  void write(std::string_view bytes);

  /// Queues a body without a copy; the stream refers to it until the kernel has accepted its last byte.
  void writeBody(memory::shared_body body);

  /// @return queued bytes that the kernel has not accepted yet.
  size_t queuedBytes() const { return bodyBytes_ + out_.size() - offset_; }

  /// @return whether unread input, bytes or the end of the connection, has arrived; true also if poll() fails.
  bool hasUnread() const;

  /// @return bytes queued here or in the kernel that the peer has not acknowledged.
  size_t unacknowledgedBytes() const;

  /// @return total bytes that the kernel has accepted.
  int64_t sentBytes() const { return sentBytes_; }

  /// @return whether the connection was refused because nothing listens at the address.
  bool refused() const { return refused_; }

  /// Pauses or resumes reading, as back-pressure on the peer.
  void setReading(bool reading);

  /// @return whether the peer has closed the connection or its sending direction, even if unread bytes precede the end.
  bool peerHasClosed() const;

  /// Closes the sending direction once all queued bytes are sent.
  void shutdownWrite();

  /// Closes the connection; queued bytes are dropped.
  void close();

 private:
  friend class EventLoop;

  TcpStream(EventLoop& loop, StreamHandler* handler, const StreamOptions& options)
      : loop_(loop), handler_(handler), options_(options) {}

  void attach(lws* wsi, int socket);
  bool onReadable();
  bool onWritable();
  void onSocketClosed();
  void scheduleFlush();
  void flush();
  void advance(size_t sent);
  void fail();
  void onConnectTimeout();

  EventLoop& loop_;
  StreamHandler* handler_;  // null once the user has closed the stream
  StreamOptions options_;
  lws* wsi_ = nullptr;  // null once the socket is closed
  int socket_ = -1;
  bool orderly_ = false;  // the peer closed its direction without a reset
  bool connected_ = false;
  bool refused_ = false;
  bool reading_ = true;
  bool closing_ = false;  // the socket is closed at the next event
  bool flushScheduled_ = false;
  bool shutdownRequested_ = false;
  std::vector<memory::shared_body> bodies_;  // sent before out_
  size_t bodyBytes_ = 0;                     // in bodies_
  std::string out_;
  size_t offset_ = 0;  // number of sent bytes of the first of bodies_, or of out_ if there is none
  int64_t sentBytes_ = 0;
  base::TimerId connectTimer_ = 0;
};

/// Accepts connections on one address.
///
/// While the process has no free descriptor, or the listener is paused, connections wait in the listen backlog.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(std::shared_ptr<TcpStream>)>;
  /// Called when a connection can't be accepted for lack of descriptors.
  using DescriptorShortageHandler = std::function<void()>;

  /// @param onDescriptorShortage may be empty
  TcpListener(EventLoop& loop, AcceptHandler onAccept, DescriptorShortageHandler onDescriptorShortage = nullptr);

  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port, const StreamOptions& options);

  /// @return the port; the assigned one if listen() was called with 0.
  int port() const { return port_; }

  /// Pauses or resumes accepting.
  void setPaused(bool paused);

  /// @return whether connections are accepted: the listener is not paused and does not wait for a free descriptor.
  bool accepting() const { return !paused_ && !retryTimer_.running(); }

  /// @return number of times a connection could not be accepted for lack of descriptors, including retries.
  int64_t descriptorShortages() const { return descriptorShortages_; }

 private:
  void acceptAll();
  void handleAcceptFailure(int error);
  void updateWatch();

  EventLoop& loop_;
  AcceptHandler onAccept_;
  DescriptorShortageHandler onDescriptorShortage_;
  StreamOptions options_;
  int socket_ = -1;
  int port_ = 0;
  bool paused_ = false;
  base::Timer retryTimer_;  // runs while the listener waits for a free descriptor
  base::DecisionLog log_;
  int64_t descriptorShortages_ = 0;
};

}  // namespace driftlug::transport
