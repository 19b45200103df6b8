/// Connections of a relay to all controllers. The leader is the source of its table.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/network.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/connection_attempts.h"

namespace driftlug::relay {

/// Keeps a connection to every controller and follows the one whose freshness is newest.
///
/// Invariant: at most one controller is the source. It is replaced only by one with a newer freshness, and given up
/// only when its connection closes or it reports that it is not the leader.
class ControllerLinks {
 public:
  ControllerLinks(base::Network& network, base::Scheduler& scheduler, base::RandomSource random,
                  std::vector<base::Address> controllers);

  /// Opens all connections.
  void start();

  /// Sets the configured controllers; connections to those neither configured nor learned are closed.
  void setConfigured(const std::vector<base::Address>& configured);

  /// Sets the controllers learned from the member list; connections to those neither configured nor learned are closed.
  void setLearned(const std::set<base::Address>& learned);

  bool owns(base::ConnectionId connection) const {
    return open_.count(connection) > 0 || connectionAttempts_.owns(connection);
  }

  /// Handles an opened connection.
  void onOpen(base::ConnectionId connection);

  /// Handles a closed connection; it is reopened after a random delay.
  /// @return whether it was the source
  bool onClose(base::ConnectionId connection);

  /// Reopens all connections after this process was stopped or its machine suspended: messages that controllers sent
  /// meanwhile are stale.
  void onResumed();

  /// Handles a leader's heartbeat with this freshness.
  /// @return whether the controller has just become the source
  bool onLeader(base::ConnectionId connection, const wire::Freshness& freshness);

  /// Handles a controller's report that it is not the leader.
  /// @return whether it was the source
  bool onNotLeader(base::ConnectionId connection);

  /// Sends to the source.
  /// @return false if there is none
  bool send(const wire::Message& message);

  /// Sends to every open controller connection.
  void sendToAll(const wire::Message& message);

  base::ConnectionId source() const { return source_; }

  /// @return when the freshness last advanced.
  base::TimePoint freshnessAdvancedAt() const { return freshnessAdvancedAt_; }

 private:
  bool isWanted(const base::Address& address) const;
  void reconcileConnections();
  bool isOpen(const base::Address& address) const;
  void reconnectLater(const base::Address& address);
  void drop(base::ConnectionId connection);
  void connect(const base::Address& address);
  void sendKeepAlive();

  base::Network& network_;
  base::Scheduler& scheduler_;
  base::RandomSource random_;
  std::set<base::Address> configured_;
  std::set<base::Address> learned_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  membership::ConnectionAttempts connectionAttempts_;
  std::map<base::ConnectionId, base::Address> open_;
  bool started_ = false;
  base::ConnectionId source_ = 0;
  wire::Freshness freshness_;
  base::TimePoint freshnessAdvancedAt_{};
  base::Timer keepAliveTimer_;
};

}  // namespace driftlug::relay
