/// Overlapping attempts to open connections to addresses.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/network.h"
#include "base/time.h"

namespace driftlug::membership {

/// Opens one connection to each requested address.
///
/// Establishing a connection over a congested link takes longer than the timeout that suits an unreachable machine.
/// With one short attempt at a time, each new attempt queues behind the traffic on the link again: if a handshake
/// takes 1.5 s and attempts end after 0.7 s, no connection is ever established (see the test). So an attempt continues
/// while the next one starts, and the first connection that is established is used.
///
/// Invariants: an address has attempts until one succeeds, all have failed, or it is stopped; at most kMaxAttempts at a
/// time.
class ConnectionAttempts {
 public:
  ConnectionAttempts(base::Network& network, base::Scheduler& scheduler) : network_(network), scheduler_(scheduler) {}

  /// Starts to open a connection, unless that is in progress.
  void start(const base::Address& address);

  /// Cancels all attempts to an address.
  void stop(const base::Address& address);

  bool inProgress(const base::Address& address) const { return attempts_.count(address) > 0; }
  /// @return the addresses with attempts in progress
  std::vector<base::Address> addresses() const;

  bool owns(base::ConnectionId connection) const { return addressOf_.count(connection) > 0; }

  /// @return the time since the newest attempt to an address started; nullopt if there is none
  std::optional<base::Duration> sinceLastAttempt(const base::Address& address) const;

  /// Handles an established connection: its ownership passes to the caller, and the other attempts to its address end.
  /// @return its address; nullopt if it is not one of these attempts
  std::optional<base::Address> onOpen(base::ConnectionId connection);

  /// Handles a failed attempt.
  /// @return its address if it was the last attempt to it; nullopt while others continue
  std::optional<base::Address> onClose(base::ConnectionId connection);

 private:
  struct Attempts {
    std::set<base::ConnectionId> connections;  // oldest first
    base::TimePoint lastStartedAt{};
    std::unique_ptr<base::Timer> next;
  };

  void startAttempt(const base::Address& address);

  base::Network& network_;
  base::Scheduler& scheduler_;
  std::map<base::Address, Attempts> attempts_;
  std::map<base::ConnectionId, base::Address> addressOf_;
};

}  // namespace driftlug::membership
