/// TCP connections and listeners of the event loop. IPv4 only.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/decision_log.h"
#include "base/network.h"
#include "base/time.h"
#include "transport/event_loop.h"

namespace driftlug::transport {

/// Takes the events of one stream. Events stop once the stream is closed by its user.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  /// An outgoing connection is up.
  virtual void onConnected() {}

  /// Bytes arrived.
  virtual void onBytes(std::string_view bytes) = 0;

  /// Everything that was written has been taken by the system.
  virtual void onDrained() {}

  /// The connection ended, or could not be opened; the last event.
  /// @param orderly whether the peer ended it in order, so that all it sent has arrived
  virtual void onClosed(bool orderly) = 0;
};

/// Times after which a silent peer counts as gone.
struct StreamOptions {
  base::Duration connectTimeout = base::milliseconds(700);
  base::Duration unacknowledgedTimeout = base::milliseconds(800);  ///< sent bytes that nobody acknowledged
};

/// One TCP connection. Owned by its user and, as long as the socket is open, by the event loop.
///
/// Invariants: onClosed comes at most once and never from within a call of the user; after close() no event comes.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  /// Starts to connect; onConnected or onClosed follows.
  static std::shared_ptr<TcpStream> connect(EventLoop& loop, const base::Address& address, StreamHandler* handler,
                                            const StreamOptions& options);

  /// Takes over an accepted socket.
  /// @return null when there is no room for it; the socket is closed then
  static std::shared_ptr<TcpStream> accept(EventLoop& loop, int socket, const StreamOptions& options);

  ~TcpStream();

  /// Sets who takes the events of an accepted stream.
  void setHandler(StreamHandler* handler) { handler_ = handler; }

  /// Queues bytes; they leave at the end of the loop's turn.
  void write(std::string_view bytes);

  /// @return bytes queued and not yet taken by the system.
  size_t queuedBytes() const { return out_.size() - offset_; }

  /// @return whether something has arrived that was not read yet, bytes or the end of the connection, or may have.
  bool hasUnread() const;

  /// @return bytes queued here or in the system that the peer has not acknowledged.
  size_t unacknowledgedBytes() const;

  /// @return bytes that the system has taken so far.
  int64_t sentBytes() const { return sentBytes_; }

  /// @return whether the connection was not opened since nobody listens at the address.
  bool refused() const { return refused_; }

  /// Stops or resumes reading, to slow down a peer.
  void setReading(bool reading);

  /// @return whether the peer has ended the connection or its sending direction, also behind bytes that were not read.
  bool peerHasClosed() const;

  /// Ends the sending direction once everything queued has left.
  void shutdownWrite();

  /// Closes the connection; bytes that are still queued are dropped.
  void close();

 private:
  friend class EventLoop;

  TcpStream(EventLoop& loop, StreamHandler* handler, const StreamOptions& options)
      : loop_(loop), handler_(handler), options_(options) {}

  void attach(lws* wsi, int socket);
  bool onReadable();
  bool onWritable();
  void onSocketClosed();
  void flush();
  void fail();
  void onConnectTimeout();

  EventLoop& loop_;
  StreamHandler* handler_;  // null once the user has closed the stream
  StreamOptions options_;
  lws* wsi_ = nullptr;  // null once the socket is closed
  int socket_ = -1;
  bool orderly_ = false;  // the peer ended its direction in order
  bool connected_ = false;
  bool refused_ = false;
  bool closing_ = false;  // the socket is to be closed at the next event
  bool flushScheduled_ = false;
  bool shutdownRequested_ = false;
  std::string out_;  // bytes from offset_ on are still to be sent
  size_t offset_ = 0;
  int64_t sentBytes_ = 0;
  base::TimerId connectTimer_ = 0;
};

/// Accepts connections on one address.
///
/// While the process has no descriptor left, or the user holds the listener, connections wait in the system's queue.
class TcpListener {
 public:
  using AcceptHandler = std::function<void(std::shared_ptr<TcpStream>)>;
  /// A connection waits that can't be taken for want of descriptors.
  using DescriptorShortageHandler = std::function<void()>;

  /// @param onDescriptorShortage may be empty
  TcpListener(EventLoop& loop, AcceptHandler onAccept, DescriptorShortageHandler onDescriptorShortage = nullptr);

  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port, const StreamOptions& options);

  /// @return the port, also when it was asked for as 0.
  int port() const { return port_; }

  /// Stops or resumes accepting.
  void setPaused(bool held);

  /// @return whether connections are taken: the listener is not held, and the last one found a descriptor.
  bool accepting() const { return !paused_ && !retryTimer_.running(); }

  /// @return how often a connection could not be taken for want of descriptors; repeated tries count.
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
  base::Timer retryTimer_;  // runs while there is no descriptor
  base::DecisionLog log_;
  int64_t descriptorShortages_ = 0;
};

}  // namespace driftlug::transport
