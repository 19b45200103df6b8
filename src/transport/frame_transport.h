/// Frame connections over TCP, driven by the event loop.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/decision_log.h"
#include "base/log.h"
#include "base/network.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"
#include "wire/deflate.h"

namespace driftlug::transport {

/// Counters of one transport.
struct FrameCounters {
  int64_t bytesSent = 0;
  int64_t bytesReceived = 0;
  int64_t framesSent = 0;
  int64_t framesReceived = 0;
  int64_t badFrames = 0;
  int64_t slowPeersClosed = 0;
  int64_t refused = 0;                                    ///< incoming connections closed at the limit, without a Hello
  int64_t keepAliveTimeouts = 0;                          ///< connections closed because keep-alives were not answered
  std::array<int64_t, wire::kPurposes> bytesByPurpose{};  ///< sent, by wire::Purpose

  int64_t sentFor(wire::Purpose purpose) const { return bytesByPurpose[static_cast<size_t>(purpose)]; }
};

/// Implements base::Network over TCP sockets. Each side of a connection first sends a Hello.
///
/// A connection to the own listening address stays within the process: its frames are passed in memory.
class FrameTransport : public base::Network {
 public:
  FrameTransport(EventLoop& loop, std::string name);
  ~FrameTransport() override;

  /// Sets the receiver of events, which must outlive its use by the transport.
  void setHandler(base::ConnectionHandler* handler) { handler_ = handler; }

  /// Listens for connections.
  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port);

  /// Delays frames to peers in other zones; for tests only.
  void setEmulatedZoneDelay(base::Duration delay) { zoneDelay_ = delay; }

  /// Compresses frames to peers in other zones that support it. Call before the first connection.
  void enableCrossZoneCompression() { compressionEnabled_ = true; }

  /// Limits the number of accepted connections. A connection over the limit is closed before the Hello, so that its
  /// peer knows that none of its frames was processed and can use another endpoint.
  void setMaxAcceptedConnections(size_t limit) { maxAccepted_ = limit; }

  /// Answers the keep-alives of peers, and closes a connection on which a sent keep-alive is not answered. TCP alone
  /// does not detect a broken path if something on the way still acknowledges the bytes. Call before the first
  /// connection.
  /// @param timeout time after an unanswered keep-alive without any received bytes
  void enableKeepAlives(base::Duration timeout = base::seconds(2));

  const FrameCounters& counters() const { return counters_; }

  /// @return number of open connections that peers opened.
  size_t accepted() const { return accepted_; }

  /// @return number of connections that this side opened or is opening, without those within the process.
  size_t opened() const;

  void setHello(const wire::Hello& hello) override;
  base::ConnectionId connect(const base::Address& address) override;
  base::ConnectionId connectWithTimeout(const base::Address& address, base::Duration timeout) override;
  void send(base::ConnectionId connection, const wire::FramePtr& frame) override;
  void close(base::ConnectionId connection) override;
  size_t queuedBytes(base::ConnectionId connection) const override;
  size_t unacknowledgedBytes(base::ConnectionId connection) const override;
  bool isWithinProcess(base::ConnectionId connection) const override;
  std::optional<base::TimePoint> partialMessageReceivedAt(base::ConnectionId connection) const override;

  /// @return bytes queued on all connections whose Hello arrived.
  size_t unsentBytes() const;

 private:
  /// Maximum length of the first frame: nothing is known yet of who sends it.
  static constexpr size_t kMaxHelloBytes = size_t{64} << 10;

  /// One connection over a socket, or one end of a connection within the process.
  struct Connection : public StreamHandler {
    Connection(FrameTransport& owner, base::ConnectionId connectionId) : transport(owner), id(connectionId) {
      reader.setMaxFrameBytes(kMaxHelloBytes);
    }
    ~Connection() override {
      if (stream) stream->close();
    }
    void onConnected() override { transport.onEstablished(this); }
    void onBytes(std::string_view bytes) override { transport.onReceived(id, bytes); }
    void onClosed(bool /*orderly*/) override { transport.closeAndNotify(id); }

    FrameTransport& transport;
    base::ConnectionId id;
    std::shared_ptr<TcpStream> stream;     // null for a connection within the process
    base::ConnectionId inProcessPeer = 0;  // the other end of a connection within the process; else 0
    bool accepted = false;                 // opened by the peer
    bool helloReceived = false;            // the Hello of the peer arrived
    wire::Hello peer;
    wire::FramePtr helloFrame;  // the own Hello as it was encoded when the connection was opened
    wire::FrameReader reader;
    std::unique_ptr<wire::Deflater> deflater;  // for sent frames; null until compression starts
    std::unique_ptr<wire::Inflater> inflater;  // for received frames; null until the peer starts compression
    base::TimerId helloTimer = 0;
    base::TimePoint lastReceivedAt{};
    std::optional<base::TimePoint> unansweredSince;  // send time of the first keep-alive since lastReceivedAt
    bool peerSendsKeepAlives = false;                // set by the first keep-alive of the peer
  };

  Connection* find(base::ConnectionId id);
  Connection* add();
  base::ConnectionId connectInProcess();
  void onAccepted(std::shared_ptr<TcpStream> stream);
  void onEstablished(Connection* connection);
  void onReceived(base::ConnectionId id, std::string_view bytes);
  absl::Status read(Connection* connection, std::string_view bytes);
  void onFrame(base::ConnectionId id, wire::Message message);
  void onHello(Connection* connection, const wire::Hello& hello);
  void closeAndNotify(base::ConnectionId id);
  void scheduleClose(base::ConnectionId id);
  void scheduleKeepAliveCheck();
  void checkKeepAlives();
  bool isKeepAliveOverdue(const Connection& connection, base::TimePoint readUntil) const;
  void enqueue(base::ConnectionId id, const wire::FramePtr& frame);
  void deliverInProcess(base::ConnectionId to, const wire::FramePtr& frame);

  EventLoop& loop_;
  std::string name_;
  base::Logger log_{"frames"};
  base::ConnectionHandler* handler_ = nullptr;
  TcpListener listener_;
  base::Address listening_;  // port 0 while not listening
  wire::Hello hello_;
  bool compressionEnabled_ = false;
  base::Duration zoneDelay_{0};
  base::Duration keepAliveTimeout_{0};  // 0 if keep-alives are disabled
  base::Timer keepAliveTimer_;          // runs if keep-alives are enabled
  base::ConnectionId nextId_ = 1;
  std::map<base::ConnectionId, std::unique_ptr<Connection>> connections_;
  size_t maxAccepted_ = SIZE_MAX;
  size_t accepted_ = 0;  // number of accepted entries of connections_
  base::DecisionLog limitLog_;
  FrameCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::transport
