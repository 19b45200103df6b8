/// Connections between processes of one role: one outgoing connection to each known address.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/connection_attempts.h"

namespace driftlug::membership {

/// Keeps connections to other processes open and maps their ids to them.
///
/// Messages are sent on the connection that this process opened and accepted from any connection.
class PeerLinks {
 public:
  PeerLinks(base::Network& network, base::Scheduler& scheduler, base::RandomSource random);

  /// Sets the addresses to keep connections to; connections to others are closed.
  void setAddresses(const std::set<base::Address>& addresses);

  /// @return whether the connection was opened by this object.
  bool owns(base::ConnectionId connection) const {
    return byConnection_.count(connection) > 0 || connectionAttempts_.owns(connection);
  }

  /// Handles an established connection, opened by this process or by a peer.
  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onClose(base::ConnectionId connection);

  /// Handles an updated hello of the process on a connection.
  void onHello(base::ConnectionId connection, const wire::Hello& peer);

  /// Sends to the process with this id; dropped if no connection to it is open.
  void sendTo(const std::string& peerId, const wire::FramePtr& frame);

  /// Sends to every process with an open connection.
  void sendToAll(const wire::Message& message);

  /// @return the hello of the process at an address, or null while no connection is open.
  const wire::Hello* helloOf(const base::Address& address) const;

 private:
  struct Link {
    base::ConnectionId connection = 0;  // 0 while not open
    wire::Hello hello;                  // valid while open

    bool open() const { return connection != 0; }
  };

  void connect(const base::Address& address);
  void onPeerConnected(const wire::Hello& peer);
  void sendKeepAlive();

  base::Network& network_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<base::Address, Link> links_;
  std::map<base::ConnectionId, base::Address> byConnection_;  // open connections
  ConnectionAttempts connectionAttempts_;
  base::Timer keepAliveTimer_;
};

}  // namespace driftlug::membership
