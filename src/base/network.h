/// Interface for message connections between processes.
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

/// Address and port on which a process listens.
struct Address {
  std::string host;  ///< IPv4 address in dotted notation
  int port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;
};

/// Receives the connection events of a process.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;

  /// Called when both sides have exchanged their Hello.
  virtual void onOpen(ConnectionId connection, const wire::Hello& peer) = 0;

  /// Called with a complete message.
  virtual void onMessage(ConnectionId connection, wire::Message message) = 0;

  /// Called when the connection was closed or could not be opened; no further events follow.
  virtual void onClose(ConnectionId connection) = 0;
};

/// Interval of keep-alives on connections that may be idle. A peer whose machine has lost the connection without a
/// close answers with a reset.
constexpr Duration kKeepAliveInterval = seconds(1);

/// Opens connections and sends frames, in order per connection.
class Network {
 public:
  virtual ~Network() = default;

  /// Sets the Hello that later connections send.
  virtual void setHello(const wire::Hello& hello) = 0;

  /// Starts to connect; onOpen or onClose follows later, never from within this call.
  virtual ConnectionId connect(const Address& address) = 0;

  /// Same as connect() with a connect timeout other than the default of the network.
  virtual ConnectionId connectWithTimeout(const Address& address, Duration /*timeout*/) { return connect(address); }

  /// Queues an encoded frame; ignored if the connection is closed.
  virtual void send(ConnectionId connection, const wire::FramePtr& frame) = 0;

  /// Closes a connection; no onClose follows.
  virtual void close(ConnectionId connection) = 0;

  /// @return bytes queued on a connection that the kernel has not accepted yet.
  virtual size_t queuedBytes(ConnectionId connection) const = 0;

  /// @return bytes sent on a connection, here or in the kernel, that the peer has not acknowledged.
  virtual size_t unacknowledgedBytes(ConnectionId connection) const { return queuedBytes(connection); }

  /// @return whether both ends of a connection are in this process.
  virtual bool isWithinProcess(ConnectionId /*connection*/) const { return false; }

  /// @return when the last bytes of a partially received message arrived; nullopt if no message is incomplete.
  virtual std::optional<TimePoint> partialMessageReceivedAt(ConnectionId /*connection*/) const { return std::nullopt; }
};

}  // namespace driftlug::base
