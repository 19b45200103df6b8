/// Message connections between processes, as the decision logic sees them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "wire/frame.h"

namespace driftlug::base {

/// Identifies one connection within a process; never reused, 0 is never used.
using ConnectionId = uint64_t;

/// Where a process listens for frames.
struct Address {
  std::string host;  ///< IP number
  int port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;
};

/// Receives what happens on the connections of a process.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;

  /// Both sides have exchanged their Hello.
  virtual void onOpen(ConnectionId connection, const wire::Hello& peer) = 0;

  /// A whole message arrived.
  virtual void onMessage(ConnectionId connection, wire::Message message) = 0;

  /// The connection is gone, or could not be opened; no further events follow.
  virtual void onClose(ConnectionId connection) = 0;
};

/// How often a connection that may be idle carries a keep-alive, so that a peer whose machine lost the connection
/// in silence resets it.
constexpr Duration kKeepAliveInterval = seconds(1);

/// Opens connections and sends frames on them, in order for each connection.
class Network {
 public:
  virtual ~Network() = default;

  /// Sets what later connections say of this process.
  virtual void setHello(const wire::Hello& hello) = 0;

  /// Starts to connect; onOpen or onClose follows later, never from within this call.
  virtual ConnectionId connect(const Address& address) = 0;

  /// As connect(), with another time than the network's own after which a connection that is not up counts as gone.
  virtual ConnectionId connectWithTimeout(const Address& address, Duration /*timeout*/) { return connect(address); }

  /// Queues an encoded frame; ignored when the connection is gone.
  virtual void send(ConnectionId connection, const wire::FramePtr& frame) = 0;

  /// Closes a connection; no onClose follows.
  virtual void close(ConnectionId connection) = 0;

  /// @return bytes queued on a connection and not yet taken by the system.
  virtual size_t queuedBytes(ConnectionId connection) const = 0;

  /// @return when bytes last came of a message that has begun to arrive and is not whole yet; nullopt when there is
  /// none.
  virtual std::optional<TimePoint> partialMessageReceivedAt(ConnectionId /*connection*/) const { return std::nullopt; }
};

}  // namespace driftlug::base
