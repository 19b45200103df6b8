/// Attempts to open connections to addresses, each next to those before it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/network.h"
#include "base/time.h"

namespace driftlug::membership {

/// Opens one connection to each address that is asked for.
///
/// An opening behind a full link takes longer than one to a machine that is away may. With one short attempt at a time,
/// each begins again behind what is queued: with openings of 1.5 s and attempts of 0.7 s no connection ever came up
/// (test). So an attempt goes on while the next one begins, and the first that is up is used.
///
/// Invariants: an address has attempts until one is up, all have ended, or it is stopped; at most kMaxAttempts at a
/// time.
class ConnectionAttempts {
 public:
  ConnectionAttempts(base::Network& network, base::Scheduler& scheduler) : network_(network), scheduler_(scheduler) {}

  /// Begins to open a connection, unless that is in progress.
  void start(const base::Address& address);

  /// Gives up on an address.
  void stop(const base::Address& address);

  bool inProgress(const base::Address& address) const { return attempts_.count(address) > 0; }
  /// @return those that are tried to be reached
  std::vector<base::Address> addresses() const;

  bool owns(base::ConnectionId connection) const { return addressOf_.count(connection) > 0; }

  /// @return how long ago the newest attempt to an address began; nothing when there is none
  std::optional<base::Duration> sinceLastAttempt(const base::Address& address) const;

  /// A connection is up: it is the caller's from now on, and the other attempts to its address end.
  /// @return its address; nothing when it isn't one of these
  std::optional<base::Address> onOpen(base::ConnectionId connection);

  /// An attempt has failed.
  /// @return its address when it was the last one there; nothing while others go on
  std::optional<base::Address> onClose(base::ConnectionId connection);

 private:
  struct Attempts {
    std::set<base::ConnectionId> connections;  // the oldest first
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
