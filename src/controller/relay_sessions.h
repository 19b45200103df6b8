/// Sessions of the relays connected to this controller: tracks what each was sent and pushes new revisions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/network.h"
#include "base/time.h"
#include "table/table.h"

namespace driftlug::controller {

/// Counters of the messages and bytes sent to relays.
struct RelaySessionCounters {
  int64_t updates = 0;
  int64_t updateBytes = 0;
  int64_t fullUpdates = 0;
  int64_t heartbeats = 0;
  int64_t heartbeatBytes = 0;
};

/// Sends each subscribed relay the rows it lacks; identical updates are encoded once.
///
/// Invariant: a relay is sent only committed rows, and each revision range once per connection.
class RelaySessions {
 public:
  explicit RelaySessions(base::Network& network) : network_(network) {}

  /// Adds the session of a relay's new connection.
  void open(base::ConnectionId connection, const std::string& relayId);

  /// Handles a subscription from a revision; immediately sends the update to the current revision.
  void subscribe(base::ConnectionId connection, const std::string& relayId, const wire::RelaySubscribe& request,
                 const table::Table& table);

  /// Removes a connection.
  /// @return the relay's id, or empty if no relay was subscribed on it
  std::string remove(base::ConnectionId connection);

  /// Ends all subscriptions after leadership was lost, and sends relays the id of the new leader, if known.
  void endSubscriptions(const std::string& leaderId);

  /// Updates the time of a relay's last activity.
  void recordActivity(base::ConnectionId connection, base::TimePoint now);

  /// @return connections of subscribed relays without activity since a time.
  std::vector<base::ConnectionId> connectionsInactiveSince(base::TimePoint then) const;

  /// Sends each relay the rows that changed since its last update.
  void push(const table::Table& table);

  /// Sends the revision and freshness to one relay.
  void heartbeatTo(base::ConnectionId connection, int64_t revision, const wire::Freshness& freshness);

  /// Sends the revision and freshness to all relays.
  void heartbeat(int64_t revision, const wire::Freshness& freshness);

  /// @return the id of the relay subscribed on a connection, or empty.
  std::string relayIdOf(base::ConnectionId connection) const;

  size_t size() const { return sessions_.size(); }
  const RelaySessionCounters& counters() const { return counters_; }

  /// If enabled, each update contains the whole table instead of a delta; baseline for experiments.
  void setFullPush(bool enabled) { fullPush_ = enabled; }

 private:
  struct Session {
    std::string relayId;
    bool subscribed = false;
    bool receivesUpdates = true;
    int64_t sentRevision = 0;
    base::TimePoint lastActivity{};
  };

  /// @return the update from a revision to that of the table, encoded at most once between two heartbeats.
  wire::FramePtr cachedUpdate(int64_t fromRevision, const table::Table& table);
  wire::FramePtr encodeUpdate(const table::Table& table, int64_t fromRevision) const;
  void sendUpdate(base::ConnectionId connection, Session* session, const wire::FramePtr& frame,
                  const table::Table& table);

  base::Network& network_;
  std::map<base::ConnectionId, Session> sessions_;
  // Updates to encodedUpdatesRevision_, by start revision. When all relays reconnect at once, encoding the whole table
  // for each of them would delay a leader on a small machine past the election timeout.
  std::map<int64_t, wire::FramePtr> encodedUpdates_;
  int64_t encodedUpdatesRevision_ = 0;
  RelaySessionCounters counters_;
  bool fullPush_ = false;
};

}  // namespace driftlug::controller
