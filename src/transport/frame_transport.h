/// Frames over TCP, driven by libwebsockets.
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
  int64_t refused = 0;                                    ///< connections of others closed at the bound, ungreeted
  int64_t keepAliveTimeouts = 0;                          ///< connections on which keep-alives were not returned
  std::array<int64_t, wire::kPurposes> bytesByPurpose{};  ///< sent, by wire::Purpose

  int64_t sentFor(wire::Purpose purpose) const { return bytesByPurpose[static_cast<size_t>(purpose)]; }
};

/// base::Network over real sockets. Every connection begins with a Hello from each side.
///
/// A connection to the own listening address never leaves the process: its frames are handed over in memory.
class FrameTransport : public base::Network {
 public:
  FrameTransport(EventLoop& loop, std::string name);
  ~FrameTransport() override;

  /// Sets who receives events; must outlive the transport's use.
  void setHandler(base::ConnectionHandler* handler) { handler_ = handler; }

  /// Accepts connections.
  /// @return OK, or kConnectFailed when the address can't be used
  absl::Status listen(const std::string& host, int port);

  /// Delays frames to peers in other zones; for tests only.
  void setEmulatedZoneDelay(base::Duration delay) { zoneDelay_ = delay; }

  /// Compresses what is sent to peers in other zones that can take it. Set before the first connection.
  void enableCrossZoneCompression() { compressionEnabled_ = true; }

  /// Changes how many connections that others opened there may be. One more is closed before its greeting, so that its
  /// peer knows that nothing it would send there was taken, and turns to others.
  void setMaxAcceptedConnections(size_t limit) { maxAccepted_ = limit; }

  /// Returns the keep-alives of others, and closes a connection on which one's own are not returned: one that lost its
  /// way for good ends by itself only if nothing on the way acknowledges its bytes. Set before the first connection.
  /// @param limit how long a keep-alive may go without anything being heard
  void enableKeepAlives(base::Duration limit = base::seconds(2));

  const FrameCounters& counters() const { return counters_; }

  /// @return connections that others opened.
  size_t accepted() const { return accepted_; }

  /// @return connections that this side opened, or is opening, over sockets.
  size_t opened() const;

  void setHello(const wire::Hello& hello) override;
  base::ConnectionId connect(const base::Address& address) override;
  base::ConnectionId connectWithTimeout(const base::Address& address, base::Duration timeout) override;
  void send(base::ConnectionId connection, const wire::FramePtr& frame) override;
  void close(base::ConnectionId connection) override;
  size_t queuedBytes(base::ConnectionId connection) const override;
  std::optional<base::TimePoint> partialMessageReceivedAt(base::ConnectionId connection) const override;

  /// @return bytes queued on all connections that are up.
  size_t unsentBytes() const;

 private:
  /// One connection and its socket, or its other end in this process.
  struct Connection : public StreamHandler {
    Connection(FrameTransport& owner, base::ConnectionId connectionId) : transport(owner), id(connectionId) {}
    ~Connection() override {
      if (stream) stream->close();
    }
    void onConnected() override { transport.onEstablished(this); }
    void onBytes(std::string_view bytes) override { transport.onReceived(id, bytes); }
    void onClosed(bool /*orderly*/) override { transport.closeAndNotify(id); }

    FrameTransport& transport;
    base::ConnectionId id;
    std::shared_ptr<TcpStream> stream;     // null on a connection within the process
    base::ConnectionId inProcessPeer = 0;  // of a connection within the process
    bool accepted = false;                 // the peer opened it
    bool helloReceived = false;            // the peer's Hello arrived
    wire::Hello peer;
    wire::FramePtr helloFrame;  // what this side said of itself when the connection began
    wire::FrameReader reader;
    std::unique_ptr<wire::Deflater> deflater;  // of what is sent, once compression began
    std::unique_ptr<wire::Inflater> inflater;  // of what is received, once the peer began
    base::TimerId helloTimer = 0;
    base::TimePoint lastReceivedAt{};
    std::optional<base::TimePoint> unansweredSince;  // when the first keep-alive since lastReceivedAt was sent
    bool peerSendsKeepAlives = false;                // the peer sends keep-alives on it
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
  base::Duration keepAliveTimeout_{0};  // 0 without keep-alives
  base::Timer keepAliveTimer_;          // runs with keep-alives
  base::ConnectionId nextId_ = 1;
  std::map<base::ConnectionId, std::unique_ptr<Connection>> connections_;
  size_t maxAccepted_ = SIZE_MAX;
  size_t accepted_ = 0;  // of connections_
  base::DecisionLog limitLog_;
  FrameCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace driftlug::transport
