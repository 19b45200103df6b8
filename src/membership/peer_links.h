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
/// Messages go out on the connection that this side opened; they are taken from any connection.
class PeerLinks {
 public:
  PeerLinks(base::Network& network, base::Scheduler& scheduler, base::RandomSource random);

  /// Sets the addresses to hold connections to.
  void setAddresses(const std::set<base::Address>& addresses);

  /// @return whether the connection was opened by this object.
  bool owns(base::ConnectionId connection) const {
    return byConnection_.count(connection) > 0 || connectionAttempts_.owns(connection);
  }

  /// A connection that this side opened is up, or a peer has connected to this side.
  void onOpen(base::ConnectionId connection, const wire::Hello& peer);
  void onClose(base::ConnectionId connection);

  /// The process on a connection said something new of itself.
  void onHello(base::ConnectionId connection, const wire::Hello& peer);

  /// Sends to the process with this id, if a connection to it is open.
  void sendTo(const std::string& peerId, const wire::FramePtr& frame);

  /// Sends to every process that a connection is open to.
  void sendToAll(const wire::Message& message);

  /// @return what the process at an address said of itself, or null while no connection is open.
  const wire::Hello* helloOf(const base::Address& address) const;

 private:
  struct Link {
    base::ConnectionId connection = 0;  // 0 while it isn't open
    wire::Hello hello;                  // of an open one

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
  std::map<base::ConnectionId, base::Address> byConnection_;  // of open ones
  ConnectionAttempts connectionAttempts_;
  base::Timer keepAliveTimer_;
};

}  // namespace driftlug::membership
