/// Where a relay gets its table: connections to all controllers, of which the leader feeds it.
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

/// Keeps a connection to every controller; follows the one whose freshness is newest.
///
/// Invariant: at most one controller is the source; it is left only for one with a newer freshness or when its
/// connection closes.
class ControllerLinks {
 public:
  ControllerLinks(base::Network& network, base::Scheduler& scheduler, base::RandomSource random,
                  std::vector<base::Address> controllers);

  /// Opens all connections.
  void start();

  /// Keeps connections to these controllers and the learned ones, and closes all others.
  void setConfigured(const std::vector<base::Address>& configured);

  /// Keeps connections to these controllers besides the configured ones, and closes all others.
  void setLearned(const std::set<base::Address>& learned);

  bool owns(base::ConnectionId connection) const {
    return open_.count(connection) > 0 || connectionAttempts_.owns(connection);
  }

  /// A connection opened.
  void onOpen(base::ConnectionId connection);

  /// A connection closed; it is opened again after a random delay.
  /// @return whether it was the source
  bool onClose(base::ConnectionId connection);

  /// This process was stopped, or its machine suspended: what controllers have sent meanwhile is as old, so each is
  /// asked anew.
  void onAway();

  /// A controller answered as the leader with this freshness.
  /// @return whether it became the source just now
  bool onLeader(base::ConnectionId connection, const wire::Freshness& freshness);

  /// A controller said that it does not lead.
  /// @return whether it was the source
  bool onNotLeader(base::ConnectionId connection);

  /// Sends to the source.
  /// @return whether there is one
  bool send(const wire::Message& message);

  /// Sends to every open controller connection.
  void sendToAll(const wire::Message& message);

  base::ConnectionId source() const { return source_; }

  /// @return when the freshness last advanced.
  base::TimePoint freshSince() const { return freshSince_; }

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
  base::TimePoint freshSince_{};
  base::Timer keepAliveTimer_;
};

}  // namespace driftlug::relay
